#include "jaylane/gateway/ProcessSetup.h"

#include "HandledSignals.h"

#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace jaylane::gateway {
namespace {

// Guards against a process that ends without a reason because an exception leaves a thread, in
// particular while nobody reads its standard output.
TEST(ProcessSetupDeathTest, AnExceptionOnAThreadIsLogged)
{
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  EXPECT_EXIT(
    {
      int unread[2];
      if (::pipe(unread) == 0) {
        ::dup2(unread[1], STDOUT_FILENO);
        ::fcntl(STDOUT_FILENO, F_SETFL, O_NONBLOCK);
        while (::write(STDOUT_FILENO, "x", 1) == 1) {
        }
        ::fcntl(STDOUT_FILENO, F_SETFL, 0);
      }
      LogTerminations();
      std::thread([] { throw std::runtime_error("no memory"); }).join();
    },
    testing::KilledBySignal(SIGABRT),
    R"("event":"terminate","reason":"no memory")");
}

// Guards against a signal that ends the process between the start of main() and its handler, and
// against one that is lost there.
TEST(ProcessSetupDeathTest, SignalsWaitUntilTheyAreHandled)
{
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  EXPECT_EXIT(
    {
      HoldSignals();
      for (const int signal : kHandledSignals) {
        ::raise(signal);
      }
      ::raise(SIGPIPE);
      static int sHandled = 0;
      for (const int signal : kHandledSignals) {
        std::signal(signal, [](int) { ++sHandled; });
      }
      UnblockHandledSignals();
      ::_exit(sHandled);
    },
    testing::ExitedWithCode(static_cast<int>(kHandledSignals.size())),
    "");
}

} // namespace
} // namespace jaylane::gateway
