#include "jaylane/base/PauseDetector.h"

#include <gtest/gtest.h>

namespace jaylane::base {
namespace {

using std::chrono::milliseconds;

// Guards against requests that run after their deadline because they waited in the sockets of a
// paused process and the deadline was counted from when they were read.
TEST(PauseDetector, MessagesReadAfterAPauseMayBeAsOldAsThePause)
{
  ManualClock clock;
  PauseDetector detector(clock, {});
  for (int i = 0; i < 10; ++i) {
    clock.Advance(milliseconds{ 10 });
    detector.Tick();
  }
  EXPECT_EQ(detector.EarliestArrivalTime(), clock.Monotonic());
  const auto before = clock.Monotonic();
  clock.Advance(milliseconds{ 4000 });
  EXPECT_EQ(detector.EarliestArrivalTime(), before);
  detector.Tick();
  EXPECT_EQ(detector.EarliestArrivalTime(), before);
  for (int i = 0; i < 101; ++i) {
    clock.Advance(milliseconds{ 10 });
    detector.Tick();
  }
  EXPECT_EQ(detector.EarliestArrivalTime(), clock.Monotonic());
}

} // namespace
} // namespace jaylane::base
