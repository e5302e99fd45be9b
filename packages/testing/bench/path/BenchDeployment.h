#pragma once

#include "jaylane/testing/Scenario.h"

#include <chrono>
#include <memory>

namespace jaylane::testing {

struct BenchDeploymentOptions
{
  unsigned m_regions = 1;
  unsigned m_zonesPerRegion = 1;
  unsigned m_entryVmsPerZone = 1;
  unsigned m_upstreamsPerZone = 1;
  std::chrono::milliseconds m_serviceTime{ 20 };
};

/// Name of the only service of a bench deployment.
inline constexpr const char* kBenchService = "tables-svc";
/// Slots of each upstream of the service.
inline constexpr unsigned kBenchSlots = 4;

/// @return name of a region.
/// @param aRegion number of the region, from 0.
std::string BenchRegion(unsigned aRegion);
/// @return name of a zone.
/// @param aRegion, aZone numbers of the region and of the zone in it, from 0.
std::string BenchZone(unsigned aRegion, unsigned aZone);

/// Starts a deployment with one service. Its shift window and lookup lifetime are short enough for
/// a short run.
base::Result<std::unique_ptr<Scenario>> StartBenchDeployment(
  const BenchDeploymentOptions& aOptions);

/// Starts callers of idempotent reads in each region.
/// @param aRate requests per second of each region, spread over several client blocks.
void StartBenchCallers(Scenario& aScenario,
                       unsigned aRegions,
                       double aRate,
                       std::chrono::milliseconds aDuration);

/// @return number of requests that an upstream has executed so far, or 0 if it does not respond.
std::uint64_t ExecutedRequests(Scenario& aScenario, const std::string& aUpstream);

} // namespace jaylane::testing
