#include "jaylane/policy/ColdStartPacing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

/// @return most requests that all VMs together can send within any second.
double MostPerSecond(double aPerSecond, std::uint32_t aVms)
{
  double most = 0;
  for (std::uint32_t rank = 0; rank < aVms; ++rank) {
    const auto spacing = ColdRequestInterval(aPerSecond, aVms, rank);
    if (spacing.count() > 0) {
      most += 1 + std::floor(999.0 / static_cast<double>(spacing.count()));
    }
  }
  return most;
}

// Guards against a burst of all VMs on an upstream that has just come back.
RC_GTEST_PROP(ColdStartPacingTest, AllVmsTogetherStayBelowTheBound, ())
{
  const auto vms = *rc::gen::inRange<std::uint32_t>(1, 400);
  const double perSecond = *rc::gen::inRange(0, 400) / 4.0;
  RC_ASSERT(MostPerSecond(perSecond, vms) <= std::max(perSecond, 0.0));
}

// Guards against an upstream that stays unused because the split leaves nothing to anybody.
TEST(ColdStartPacingTest, SomeVmMaySend)
{
  EXPECT_GT(MostPerSecond(20, 12), 10);
  EXPECT_GT(MostPerSecond(20, 300), 10);
}

TEST(ColdStartPacingTest, UnknownFleetSendsNothing)
{
  EXPECT_EQ(ColdRequestInterval(20, 0, 0).count(), 0);
}

} // namespace
} // namespace jaylane::policy
