#include "jaylane/base/ContainErrors.h"

#include "jaylane/base/AsyncLog.h"

namespace jaylane::base::detail {

void LogUnexpectedError(AsyncLog& aLog, std::string_view aTask, const char* aReason)
{
  aLog.Write(LogRecord("unexpected_error").Add("task", aTask).Add("reason", aReason));
}

} // namespace jaylane::base::detail
