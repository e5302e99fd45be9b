#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <compare>
#include <string>
#include <vector>

namespace jaylane::policy {

/// An availability zone of a region, the unit that traffic is steered to.
struct SiteId
{
  std::string m_region;
  std::string m_zone;

  auto operator<=>(const SiteId&) const = default;
};

enum class SiteState
{
  Live,
  Drained,
  Dead,
};

/// A site as the planner sees it. Capacity is in the unit of the measured load.
struct Site
{
  SiteId m_id;
  SiteState m_state = SiteState::Live;
  double m_capacity = 0;
  /// Since when the site has been live without interruption.
  base::WallTime m_liveSince{};
};

/// Upper bound on the load of a region in total; regions not listed are bounded by their sites.
struct RegionLimit
{
  std::string m_region;
  double m_capacity = 0;
};

/// Upper bound on the load from callers of one region to sites of another.
struct LinkLimit
{
  std::string m_from;
  std::string m_to;
  double m_capacity = 0;
};

/// Latency between callers of an origin region and a region's sites.
struct RegionLatency
{
  std::string m_origin;
  std::string m_region;
  std::chrono::microseconds m_latency{ 0 };
};

/// Sites of a service, their bounds and distances.
struct Topology
{
  std::vector<Site> m_sites;
  std::vector<RegionLimit> m_regionLimits;
  std::vector<LinkLimit> m_linkLimits;
  std::vector<RegionLatency> m_latencies;
};

} // namespace jaylane::policy
