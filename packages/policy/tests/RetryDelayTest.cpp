#include "jaylane/policy/RetryDelay.h"

#include <gtest/gtest.h>
#include <set>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

// After a rejection in spite of free slots, callers must retry soon enough to be served in time.
TEST(RetryDelayTest, RetriesSoonAfterASpuriousRejection)
{
  for (std::uint64_t id = 0; id < 2000; ++id) {
    const auto delay = RetryDelay(RejectionCause::SpuriousRejection, 800ms, 2500ms, id);
    EXPECT_GE(delay, 10ms);
    EXPECT_LE(delay, 50ms);
  }
}

// A thousand callers that are rejected at the same moment must not retry at the same moment.
TEST(RetryDelayTest, SpreadsCallersOverHalfOfTheWait)
{
  std::set<std::chrono::milliseconds> delays;
  for (std::uint64_t id = 0; id < 1000; ++id) {
    delays.insert(RetryDelay(RejectionCause::NoCapacity, 800ms, 6000ms, id));
  }
  EXPECT_GE(*delays.begin(), 400ms);
  EXPECT_LE(*delays.rbegin(), 800ms);
  EXPECT_GE(delays.size(), 300U);
}

// Callers do not wait for more than a third of their remaining time, so a longer delay has no
// effect.
TEST(RetryDelayTest, StaysWithinAThirdOfTheRemainingTime)
{
  EXPECT_LE(RetryDelay(RejectionCause::NoCapacity, 5000ms, 900ms, 511), 300ms);
  EXPECT_GE(RetryDelay(RejectionCause::NoCapacity, 1ms, 900ms, 0), 100ms);
  EXPECT_LE(RetryDelay(RejectionCause::NoUpstream, 0ms, 900ms, 511), 300ms);
}

} // namespace
} // namespace jaylane::policy
