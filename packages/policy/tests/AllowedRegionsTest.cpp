#include "jaylane/policy/AllowedRegions.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

// Guards against running a request where only its route or only its team allows it, in particular
// anywhere if they have no region in common.
TEST(AllowedRegionsTest, RouteAndTeamBothApply)
{
  const Route free;
  const Team freeTeam;
  Route route;
  route.m_allowedRegions = { "a", "b" };
  Team team;
  team.m_allowedRegions = { "b", "c" };
  EXPECT_EQ(AllowedRegions(free, nullptr).Get(), nullptr);
  EXPECT_EQ(AllowedRegions(free, &freeTeam).Get(), nullptr);
  EXPECT_EQ(*AllowedRegions(route, &freeTeam).Get(), route.m_allowedRegions);
  EXPECT_EQ(*AllowedRegions(free, &team).Get(), team.m_allowedRegions);
  EXPECT_EQ(*AllowedRegions(route, &team).Get(), std::set<std::string>{ "b" });
  EXPECT_FALSE(AllowedRegions(route, &team).IsNone());
  team.m_allowedRegions = { "c" };
  EXPECT_TRUE(AllowedRegions(route, &team).IsNone());
  EXPECT_FALSE(AllowedRegions(free, nullptr).IsNone());
}

} // namespace
} // namespace jaylane::policy
