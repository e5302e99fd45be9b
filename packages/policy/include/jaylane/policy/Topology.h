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
  Drained, ///< Serves its load until it has moved, but takes no more.
  Dead,    ///< Serves nothing.
};

/// State and capacity of a site, for the planner.
struct Site
{
  SiteId m_id;
  SiteState m_state = SiteState::Live;
  double m_capacity = 0; ///< In the unit of the measured load.
  /// Time since which the site has been live without interruption.
  base::WallTime m_liveSince{};
};

/// Upper bound on the total load of a region. Other regions are bounded by their sites' capacities.
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

/// Sites of a service with their limits and latencies.
struct Topology
{
  std::vector<Site> m_sites;
  std::vector<RegionLimit> m_regionLimits;
  std::vector<LinkLimit> m_linkLimits;
  std::vector<RegionLatency> m_latencies;
};

} // namespace jaylane::policy
