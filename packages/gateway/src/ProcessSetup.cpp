#include "jaylane/gateway/ProcessSetup.h"

#include "HandledSignals.h"
#include "jaylane/base/AsyncLog.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>
#include <unistd.h>

namespace jaylane::gateway {

namespace {

std::string CurrentExceptionReason()
{
  const std::exception_ptr exception = std::current_exception();
  if (!exception) {
    return "std::terminate() was called without an exception";
  }
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception that is not a std::exception";
  }
}

/// The log's thread may be the one that ends, so that the record cannot pass through it.
[[noreturn]] void OnTerminate()
{
  const base::LogRecord record =
    base::LogRecord("terminate").Add("reason", CurrentExceptionReason());
  const std::string line = "{" + record.Members() + "}\n";
  for (const int descriptor : { STDOUT_FILENO, STDERR_FILENO }) {
    if (::write(descriptor, line.data(), line.size()) < 0) {
      continue; // The other descriptor may still work, and there is no further place to report to.
    }
  }
  std::abort();
}

} // namespace

void HoldSignals()
{
  std::signal(SIGPIPE, SIG_IGN);
  BlockHandledSignals();
}

void LogTerminations()
{
  std::set_terminate(OnTerminate);
}

} // namespace jaylane::gateway
