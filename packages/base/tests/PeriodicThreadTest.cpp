#include "jaylane/base/PeriodicThread.h"

#include <future>
#include <gtest/gtest.h>

namespace jaylane::base {
namespace {

// Guards against a wake-up that waits for the whole interval.
TEST(PeriodicThread, WakeRunsTheDutyAtOnce)
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
