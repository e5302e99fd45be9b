#include "jaylane/policy/RouteTable.h"

#include <gtest/gtest.h>
#include <map>

namespace jaylane::policy {
namespace {

Route MakeRoute(const std::string& aHost,
                const std::string& aPrefix,
                std::vector<WeightedService> aServices)
{
  Route route;
  route.m_name = aHost + aPrefix;
  route.m_host = aHost;
  route.m_prefix = aPrefix;
  route.m_services = std::move(aServices);
  return route;
}

RouteTable MakeTable(std::vector<Route> aRoutes)
{
  Configuration configuration;
  configuration.m_routes = std::move(aRoutes);
  for (const char* name : { "a", "b", "c" }) {
    Service service;
    service.m_name = name;
    configuration.m_services[name] = service;
  }
  return RouteTable(std::move(configuration));
}

TEST(RouteTableTest, LongestPrefixOfTheHostWins)
{
  const RouteTable table = MakeTable({ MakeRoute("h.example", "/a/", { { "a", 1 } }),
                                       MakeRoute("h.example", "/a/b/", { { "b", 1 } }),
                                       MakeRoute("other.example", "/a/b/c/", { { "c", 1 } }) });
  EXPECT_EQ(table.Find("H.example:80", "/a/b/c/x?y=/z/")->m_name, "h.example/a/b/");
  EXPECT_EQ(table.Find("h.example", "/a/x")->m_name, "h.example/a/");
  EXPECT_EQ(table.Find("h.example", "/a"), nullptr);
  EXPECT_EQ(table.Find("h.example", "/x?/a/"), nullptr);
  EXPECT_EQ(table.Find("nowhere.example", "/a/x"), nullptr);
}

// The shares must be exact in every hundred requests, not only on average.
TEST(RouteTableTest, SplitFollowsTheWeightsInEveryHundredRequests)
{
  RouteTable table = MakeTable({ MakeRoute("h", "/", { { "a", 90 }, { "b", 7 }, { "c", 3 } }) });
  const Route* route = table.Find("h", "/x");
  for (int span = 0; span < 20; ++span) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
      ++counts[table.NextService(*route)->m_name];
    }
    EXPECT_EQ(counts["a"], 90);
    EXPECT_EQ(counts["b"], 7);
    EXPECT_EQ(counts["c"], 3);
  }
}

TEST(RouteTableTest, ZeroWeightsAndUnknownServicesYieldNothing)
{
  RouteTable table =
    MakeTable({ MakeRoute("h", "/", { { "a", 0 } }), MakeRoute("i", "/", { { "missing", 1 } }) });
  EXPECT_EQ(table.NextService(*table.Find("h", "/x")), nullptr);
  EXPECT_EQ(table.NextService(*table.Find("i", "/x")), nullptr);
}

} // namespace
} // namespace jaylane::policy
