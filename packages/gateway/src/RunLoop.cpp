#include "RunLoop.h"

#include "jaylane/base/ContainErrors.h"

namespace jaylane::gateway {

void RunLoop(boost::asio::io_context& aIo, base::AsyncLog& aLog, std::string_view aThread)
{
  while (!base::ContainErrors(aLog, aThread, [&aIo] { aIo.run(); })) {
  }
}

} // namespace jaylane::gateway
