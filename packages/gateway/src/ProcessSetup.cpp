#include "jaylane/gateway/ProcessSetup.h"

#include "HandledSignals.h"
#include "jaylane/base/AsyncLog.h"

#include <algorithm>
#include <climits>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <malloc.h>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace jaylane::gateway {

namespace {

/// Size from which on memory is mapped for one block alone, so that only its used part is resident
/// and it is returned when freed. By default, the threshold rises to 32 MiB once a large block is
/// freed, and the holes that growing bodies leave in the heap count against the memory of the
/// machine: with 128 KiB, 1,900 bodies in chunks took 114 MB where 56 MB were counted.
constexpr int kLargeBlockBytes = 16 * 1024;
/// Free memory at the end of the heap that is kept.
constexpr int kTrimBytes = 128 * 1024;

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
    // A pipe that nobody reads must not keep the process from ending.
    pollfd writable{ descriptor, POLLOUT, 0 };
    if (::poll(&writable, 1, 0) <= 0 ||
        ::write(descriptor, line.data(), std::min<std::size_t>(line.size(), PIPE_BUF)) < 0) {
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

void ReturnLargeBlocks()
{
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

void LogTerminations()
{
  std::set_terminate(OnTerminate);
}

} // namespace jaylane::gateway
