#include "jaylane/policy/RoundTripTimes.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

const NetworkDistance kNear{ NetworkDistance::Scope::Zone, {} };
const NetworkDistance kFar{ NetworkDistance::Scope::OtherRegion, "far" };
const NetworkDistance kFarther{ NetworkDistance::Scope::OtherRegion, "farther" };

TEST(RoundTripTimesTest, KeepsRegionsApart)
{
  RoundTripTimes times;
  EXPECT_LT(times.Estimate(kNear), times.Estimate(kFar));
  for (int i = 0; i < 30; ++i) {
    times.Record(kFar, 40ms);
    times.Record(kFarther, 90ms);
  }
  EXPECT_NEAR(static_cast<double>(times.Estimate(kFar).count()), 40, 5);
  EXPECT_NEAR(static_cast<double>(times.Estimate(kFarther).count()), 90, 10);
}

// A lost packet costs a connection a second. It must not make a near region seem far.
TEST(RoundTripTimesTest, SlowConnectionsHardlyCount)
{
  RoundTripTimes times;
  for (int i = 0; i < 200; ++i) {
    times.Record(kFar, i % 10 == 3 ? 1000ms : 40ms);
  }
  EXPECT_LE(times.Estimate(kFar), 50ms);
}

} // namespace
} // namespace jaylane::policy
