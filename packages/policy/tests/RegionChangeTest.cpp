#include "jaylane/policy/RegionChange.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

Route RouteWith(const std::string& aPrefix, std::set<std::string> aRegions)
{
  Route route;
  route.m_host = "h";
  route.m_prefix = aPrefix;
  route.m_allowedRegions = std::move(aRegions);
  return route;
}

Team TeamWith(const std::string& aName, std::set<std::string> aRegions)
{
  Team team;
  team.m_name = aName;
  team.m_allowedRegions = std::move(aRegions);
  return team;
}

/// Guards against a change of allowed regions that no log record tells of: a route or team that is
/// added with a restriction, loses it, or is removed.
TEST(RegionChangeTest, TellsEachChangeOfAllowedRegions)
{
  Configuration previous;
  previous.m_routes = { RouteWith("/same/", { "a" }),
                        RouteWith("/moved/", { "a" }),
                        RouteWith("/freed/", { "a" }),
                        RouteWith("/dropped/", { "b" }) };
  previous.m_teams = std::vector<Team>{ TeamWith("t", {}) };
  Configuration next;
  next.m_routes = { RouteWith("/same/", { "a" }),
                    RouteWith("/moved/", { "b" }),
                    RouteWith("/freed/", {}),
                    RouteWith("/added/", { "a", "b" }) };
  next.m_teams = std::vector<Team>{ TeamWith("t", { "a" }) };
  const std::vector<RegionChange> expected{ { "h/added/", "", {}, { "a", "b" } },
                                            { "h/dropped/", "", { "b" }, {} },
                                            { "h/freed/", "", { "a" }, {} },
                                            { "h/moved/", "", { "a" }, { "b" } },
                                            { "", "t", {}, { "a" } } };
  EXPECT_EQ(RegionChangesBetween(previous, next), expected);
  EXPECT_TRUE(RegionChangesBetween(next, next).empty());
}

} // namespace
} // namespace jaylane::policy
