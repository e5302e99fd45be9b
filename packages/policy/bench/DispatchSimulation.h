#pragma once

#include "jaylane/policy/UpstreamSelector.h"

#include <array>
#include <chrono>
#include <vector>

namespace jaylane::policy {

/// How upstreams are chosen.
enum class DispatchPolicy
{
  RoundRobin,
  /// Fewest requests in flight, where each VM knows those of all VMs without delay.
  LeastConnections,
  /// An UpstreamSelector per VM; each VM knows its own requests and the load reports.
  Selector,
};

/// Load reports that upstreams send to the VMs.
enum class LoadReports
{
  None,
  /// Correct reports every second, delivered 5 s late.
  Lagging,
  /// Random numbers; slow upstreams always report no load. Delivered as for Lagging.
  Wrong,
};

/// Cold cache of an upstream that has just started: some of its first requests take longer.
struct ColdCache
{
  /// Time added by a cache miss, as a multiple of the service time.
  double m_missCost = 4;
  /// Requests served until the share of misses has fallen to 1/e.
  double m_requestsToWarm = 200;
};

struct DispatchScenario
{
  DispatchPolicy m_policy = DispatchPolicy::Selector;
  LoadReports m_reports = LoadReports::Lagging;
  UpstreamSelectorOptions m_options;
  std::size_t m_upstreams = 20;
  std::size_t m_slots = 4;
  std::size_t m_vms = 4;
  std::size_t m_slowUpstreams = 3;
  double m_slowFactor = 3;
  /// Demand as a fraction of the slots' capacity. Slow upstreams count at their lower speed, and
  /// joining ones are included, so that their capacity is needed.
  double m_load = 0.7;
  /// Requests that one VM may have in flight at an upstream; further ones wait in the VM. Applies
  /// to DispatchPolicy::Selector. A VM never owns more slots than the upstream has, so 4 is the
  /// weakest limit in use.
  std::size_t m_slotsPerVm = 4;
  /// Cold upstreams that join at kJoinAt.
  std::size_t m_joining = 0;
  ColdCache m_cache;
  std::uint64_t m_seed = 1;
};

struct DispatchStats
{
  double m_p50Ms = 0;
  double m_p99Ms = 0;
  std::size_t m_requests = 0;
  /// Fraction of requests sent to slow upstreams.
  double m_slowShare = 0;
  /// Time from joining until the joined upstreams got 90% of their fair share of requests; 0 if
  /// none joined.
  double m_secondsToFairShare = 0;
  /// Fraction of requests that took longer than a second.
  double m_overSecond = 0;
};

/// Times from the start of the simulation.
constexpr std::chrono::seconds kWarmUp{ 10 };
constexpr std::chrono::seconds kJoinAt{ 30 };
constexpr std::chrono::seconds kEnd{ 90 };
// Late enough that all caches are warm. An earlier end would favor a ramp that only defers the
// cache misses.
constexpr std::chrono::seconds kEndAfterJoin{ 180 };

/// Simulates the upstreams of one service and their queues, without network or threads. Service
/// times are exponentially distributed with a mean of 60 ms. The results cover the time from
/// kWarmUp to kEnd, or from kJoinAt to kEndAfterJoin if upstreams join.
DispatchStats Simulate(const DispatchScenario& aScenario);

} // namespace jaylane::policy
