#include "jaylane/base/PeriodicThread.h"

#include <future>
#include <gtest/gtest.h>

namespace jaylane::base {
namespace {

// Guards against a wake-up that takes effect only after the whole interval.
TEST(PeriodicThread, WakeCallsTheFunctionAtOnce)
{
  std::promise<void> second;
  int runs = 0;
  PeriodicThread thread(std::chrono::hours{ 1 }, [&] {
    if (++runs == 2) {
      second.set_value();
    }
  });
  auto done = second.get_future();
  while (done.wait_for(std::chrono::milliseconds{ 1 }) != std::future_status::ready) {
    thread.Wake();
  }
  thread.Stop();
  EXPECT_GE(runs, 2);
}

} // namespace
} // namespace jaylane::base
