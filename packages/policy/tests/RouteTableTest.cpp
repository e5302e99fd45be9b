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

RouteTable MakeTable(std::vector<Route> aRoutes, unsigned aSeed = 1)
{
  Configuration configuration;
  configuration.m_routes = std::move(aRoutes);
  for (const char* name : { "a", "b", "c" }) {
    Service service;
    service.m_name = name;
    configuration.m_services[name] = service;
  }
  return RouteTable(std::move(configuration), aSeed);
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

// Guards against a split that begins with the largest part on every VM: where each VM gets few
// requests between two configurations, the other parts would get none.
TEST(RouteTableTest, SplitFollowsTheWeightsOverManyVmsWithFewRequests)
{
  constexpr int kVms = 300;
  const std::vector<WeightedService> splits[] = {
    { { "a", 65 }, { "b", 35 } },
    { { "a", 1 }, { "b", 3 } },
    { { "a", 650'001 }, { "b", 349'999 } },
    { { "a", 50 }, { "b", 30 }, { "c", 20 } },
  };
  for (const std::vector<WeightedService>& split : splits) {
    double total = 0;
    for (const WeightedService& part : split) {
      total += part.m_weight;
    }
    for (const int requestsPerVm : { 1, 2, 5 }) {
      std::map<std::string, int> counts;
      for (unsigned vm = 0; vm < kVms; ++vm) {
        RouteTable table = MakeTable({ MakeRoute("h", "/", split) }, vm);
        for (int i = 0; i < requestsPerVm; ++i) {
          ++counts[table.NextService(*table.Find("h", "/x"))->m_name];
        }
      }
      for (const WeightedService& part : split) {
        EXPECT_NEAR(
          counts[part.m_service] / (1.0 * kVms * requestsPerVm), part.m_weight / total, 0.1)
          << part.m_service << " of " << split.size() << ", " << requestsPerVm << " a VM";
      }
    }
  }
}

// With one request between two configurations, each VM still follows the weights.
TEST(RouteTableTest, SplitGoesOnAcrossConfigurations)
{
  const std::vector<Route> routes = { MakeRoute("h", "/", { { "a", 90 }, { "b", 10 } }) };
  RouteTable table = MakeTable(routes, 0);
  std::map<std::string, int> counts;
  for (unsigned version = 1; version <= 100; ++version) {
    ++counts[table.NextService(*table.Find("h", "/x"))->m_name];
    RouteTable next = MakeTable(routes, version);
    next.ContinueFrom(table);
    table = std::move(next);
  }
  EXPECT_EQ(counts["a"], 90);
  EXPECT_EQ(counts["b"], 10);
}

// Guards against a series that goes on from that of another host or prefix.
TEST(RouteTableTest, EachRouteGoesOnWithItsOwnSeries)
{
  const std::vector<WeightedService> halves = { { "a", 1 }, { "b", 1 } };
  const Route other = MakeRoute("other", "/", halves);
  const Route one = MakeRoute("h", "/1/", halves);
  const Route two = MakeRoute("H:80", "/2/", halves);
  RouteTable before = MakeTable({ other, one, two }, 1);
  const Service* first = before.NextService(*before.Find("h", "/2/"));
  RouteTable after = MakeTable({ two, MakeRoute("h", "/", { { "a", 1 } }), one, other }, 2);
  after.ContinueFrom(before);
  EXPECT_NE(after.NextService(*after.Find("h", "/2/"))->m_name, first->m_name);
  for (const auto& [host, target] : { std::pair("h", "/1/"), std::pair("other", "/") }) {
    EXPECT_EQ(after.NextService(*after.Find(host, target))->m_name,
              before.NextService(*before.Find(host, target))->m_name);
  }
}

// Guards against taking over the state of other weights, which would delay the new ones.
TEST(RouteTableTest, ChangedWeightsApplyAtOnce)
{
  RouteTable before = MakeTable({ MakeRoute("h", "/", { { "a", 1'000'000 }, { "b", 1 } }) }, 1);
  for (int i = 0; i < 1000; ++i) {
    before.NextService(*before.Find("h", "/x"));
  }
  RouteTable after = MakeTable({ MakeRoute("h", "/", { { "a", 1 }, { "b", 1 } }) }, 2);
  after.ContinueFrom(before);
  std::map<std::string, int> counts;
  for (int i = 0; i < 10; ++i) {
    ++counts[after.NextService(*after.Find("h", "/x"))->m_name];
  }
  EXPECT_EQ(counts["a"], 5);
}

TEST(RouteTableTest, PartsOfWeightZeroGetNothing)
{
  RouteTable table = MakeTable({ MakeRoute("h", "/", { { "a", 0 }, { "b", 2 }, { "c", 1 } }) }, 3);
  for (int i = 0; i < 300; ++i) {
    EXPECT_NE(table.NextService(*table.Find("h", "/x"))->m_name, "a");
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
