#include "jaylane/policy/RegionBinding.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace jaylane::policy {
namespace {

using Regions = std::set<std::string>;

// Guards against a request that runs where one of the versions of its time forbids it, while
// versions move its route between regions and lift the restriction in between.
TEST(RegionBindingTest, AllVersionsOfTheRequestsTimeBind)
{
  const std::vector<Regions> choices{ {}, { "a" }, { "b" }, { "a", "b" }, { "b", "c" } };
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    RegionBinding binding;
    std::vector<Route> versions;
    for (std::size_t step = 0; step < 4; ++step) {
      versions.emplace_back().m_allowedRegions = choices[random() % choices.size()];
      binding.Add(AllowedRegions(versions.back(), nullptr));
      for (const std::string region : { "a", "b", "c", "d" }) {
        const bool isAllowedByAll = std::ranges::all_of(versions, [&](const Route& aRoute) {
          return aRoute.m_allowedRegions.empty() || aRoute.m_allowedRegions.contains(region);
        });
        EXPECT_EQ(binding.Allows(region), isAllowedByAll) << "seed " << seed;
      }
    }
    const bool isAnyAllowed = binding.Allows("a") || binding.Allows("b") || binding.Allows("c");
    EXPECT_EQ(binding.IsNone(), !isAnyAllowed);
  }
}

} // namespace
} // namespace jaylane::policy
