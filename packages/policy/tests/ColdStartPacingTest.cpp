#include "jaylane/policy/ColdStartPacing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

/// @return most requests that all VMs together may send within any second.
double MaxRequestsPerSecond(double aPerSecond, std::uint32_t aVms)
{
  double total = 0;
  for (std::uint32_t rank = 0; rank < aVms; ++rank) {
    const auto interval = ColdRequestInterval(aPerSecond, aVms, rank);
    if (interval.count() > 0) {
      total += 1 + std::floor(999.0 / static_cast<double>(interval.count()));
    }
  }
  return total;
}

// An upstream that has just started must not get a burst of requests from all VMs.
RC_GTEST_PROP(ColdStartPacingTest, AllVmsTogetherStayBelowTheBound, ())
{
  const auto vms = *rc::gen::inRange<std::uint32_t>(1, 400);
  const double perSecond = *rc::gen::inRange(0, 400) / 4.0;
  RC_ASSERT(MaxRequestsPerSecond(perSecond, vms) <= std::max(perSecond, 0.0));
}

// With more VMs than requests per second, some VMs must still be allowed to send; otherwise the
// upstream gets no requests while it is cold.
TEST(ColdStartPacingTest, SomeVmMaySend)
{
  EXPECT_GT(MaxRequestsPerSecond(20, 12), 10);
  EXPECT_GT(MaxRequestsPerSecond(20, 300), 10);
}

TEST(ColdStartPacingTest, SendsNothingWithoutVms)
{
  EXPECT_EQ(ColdRequestInterval(20, 0, 0).count(), 0);
}

} // namespace
} // namespace jaylane::policy
