#pragma once

#include "jaylane/policy/ShiftPlanner.h"

#include <random>

namespace jaylane::policy::bench {

inline constexpr base::WallTime kStart{ std::chrono::seconds{ 1'700'000'000 } };

/// Input of the shift planner for a service with uneven load, in total 40% of its capacity, and the
/// initial steering table.
struct PlannerScenario
{
  PlanInput m_input;
  SteeringTable m_table;
};

/// @param aSites number of sites, distributed evenly among the regions.
/// @param aRegions number of regions, each of which is also an origin.
inline PlannerScenario MakePlannerScenario(std::int64_t aSites, std::int64_t aRegions)
{
  PlanInput input;
  std::vector<std::string> origins;
  std::vector<SiteId> sites;
  const auto name = [](std::int64_t aNumber) { return "region" + std::to_string(aNumber); };
  for (std::int64_t i = 0; i < aRegions; ++i) {
    origins.push_back(name(i));
    for (std::int64_t j = 0; j < aRegions; ++j) {
      const std::chrono::milliseconds latency{ 1 + 10 * std::abs(i - j) };
      input.m_topology.m_latencies.push_back({ name(i), name(j), latency });
    }
  }
  std::mt19937 random(1);
  std::exponential_distribution<double> spread(1);
  double total = 0;
  for (std::int64_t i = 0; i < aRegions * kBucketsPerOrigin; ++i) {
    input.m_load.m_buckets.push_back(spread(random));
    total += input.m_load.m_buckets.back();
  }
  for (std::int64_t i = 0; i < aSites; ++i) {
    sites.push_back({ name(i % aRegions), "zone" + std::to_string(i / aRegions) });
    input.m_topology.m_sites.push_back(
      { sites.back(), SiteState::Live, total / 0.4 / static_cast<double>(aSites), {} });
  }
  auto table = SteeringTable::Make("tables-svc", origins, sites);
  return { input, *ShiftPlanner::MakeInitial(*table, input, kStart) };
}

/// Sets the state of all sites of a region.
inline void SetRegion(PlanInput& aInput, const std::string& aRegion, SiteState aState)
{
  for (auto& site : aInput.m_topology.m_sites) {
    if (site.m_id.m_region == aRegion) {
      site.m_state = aState;
    }
  }
}

} // namespace jaylane::policy::bench
