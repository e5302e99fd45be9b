#include "jaylane/policy/RequestedPauses.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

// An upstream rejects each request and asks for a pause of two seconds, while the VM has 50
// requests a second for it. Guards against more than two requests from half a second after the
// rejection to the end of the pause (BUDGET).
TEST(RequestedPausesTest, APausedUpstreamGetsNoRequests)
{
  base::ManualClock clock;
  RequestedPauses pauses;
  int sent = 0;
  for (auto elapsed = 0ms; elapsed < 10s; elapsed += 20ms) {
    if (!pauses.IsPaused("u", clock.Monotonic())) {
      ++sent;
      pauses.OnRejected("u", 2000ms, clock.Monotonic());
    }
    clock.Advance(20ms);
  }
  EXPECT_EQ(sent, 5) << "one for each pause";
}

// Responses of one upstream may overtake each other. Guards against a shorter pause that ends a
// longer one.
TEST(RequestedPausesTest, TheLongestPauseCounts)
{
  base::ManualClock clock;
  RequestedPauses pauses;
  pauses.OnRejected("u", 3000ms, clock.Monotonic());
  pauses.OnRejected("u", 500ms, clock.Monotonic());
  clock.Advance(2999ms);
  EXPECT_TRUE(pauses.IsPaused("u", clock.Monotonic()));
  EXPECT_EQ(pauses.Remaining("u", clock.Monotonic()), 1ms);
  EXPECT_FALSE(pauses.RemoveExpired(clock.Monotonic()));
  EXPECT_FALSE(pauses.IsPaused("other", clock.Monotonic()));
  clock.Advance(1ms);
  EXPECT_FALSE(pauses.IsPaused("u", clock.Monotonic()));
  EXPECT_TRUE(pauses.RemoveExpired(clock.Monotonic()));
}

// Guards against a faulty upstream that asks for a pause without end.
TEST(RequestedPausesTest, PausesAreBounded)
{
  base::ManualClock clock;
  RequestedPauses pauses;
  pauses.OnRejected("u", std::chrono::milliseconds::max(), clock.Monotonic());
  pauses.OnRejected("v", -5ms, clock.Monotonic());
  EXPECT_FALSE(pauses.IsPaused("v", clock.Monotonic()));
  clock.Advance(RequestedPauses::kMaxPause);
  EXPECT_FALSE(pauses.IsPaused("u", clock.Monotonic()));
}

} // namespace
} // namespace jaylane::policy
