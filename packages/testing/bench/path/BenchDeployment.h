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
/// Slots of each of its upstreams.
inline constexpr unsigned kBenchSlots = 4;

/// @param aRegion from 0.
std::string BenchRegion(unsigned aRegion);
/// @param aRegion, aZone from 0.
std::string BenchZone(unsigned aRegion, unsigned aZone);

/// Starts a deployment with one service, whose shifts and lookups are fast enough for a short run.
base::Result<std::unique_ptr<Scenario>> StartBenchDeployment(
  const BenchDeploymentOptions& aOptions);

/// Starts callers of idempotent reads in each region.
/// @param aRate requests a second of each region, from several client blocks.
void StartBenchCallers(Scenario& aScenario,
                       unsigned aRegions,
                       double aRate,
                       std::chrono::milliseconds aDuration);

/// @return requests executed by an upstream so far, or 0 if it does not respond.
std::uint64_t Executed(Scenario& aScenario, const std::string& aUpstream);

} // namespace jaylane::testing
