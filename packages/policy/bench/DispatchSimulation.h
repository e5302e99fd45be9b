#pragma once

#include "jaylane/policy/UpstreamSelector.h"

#include <array>
#include <chrono>
#include <vector>

namespace jaylane::policy {

enum class DispatchPolicy
{
  RoundRobin,
  /// Fewest requests in flight over all VMs, without any lag.
  LeastConnections,
  /// UpstreamSelector; each VM sees its own requests and the reports.
  Selector,
};

enum class LoadReports
{
  None,
  /// Every second, 5 s late.
  Lagging,
  /// Random numbers; slow upstreams always report no load.
  Wrong,
};

/// A cold cache: the first requests of a started upstream take longer.
struct ColdCache
{
  /// Added to the service time of a miss, as a factor of the service time.
  double m_missCost = 4;
  /// Served requests after which the share of misses has fallen to 1/e.
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
  /// Share of the slots' capacity, slow upstreams counted at their speed, joining ones included:
  /// what joins is needed.
  double m_load = 0.7;
  /// Requests that one VM may have in flight at an upstream; others wait in the VM. Selector
  /// only. A VM never owns more slots than the upstream has, so 4 is the weakest limit in use.
  std::size_t m_slotsPerVm = 4;
  /// Cold upstreams that join after kJoinAt.
  std::size_t m_joining = 0;
  ColdCache m_cache;
  std::uint64_t m_seed = 1;
};

struct DispatchFigures
{
  double m_p50Ms = 0;
  double m_p99Ms = 0;
  std::size_t m_requests = 0;
  /// Share of the requests that went to slow upstreams.
  double m_slowShare = 0;
  /// Joined upstreams only: time from joining to 90% of the fair share of requests.
  double m_secondsToFairShare = 0;
  /// Share of requests slower than a second.
  double m_overSecond = 0;
};

constexpr std::chrono::seconds kWarmUp{ 10 };
constexpr std::chrono::seconds kJoinAt{ 30 };
constexpr std::chrono::seconds kEnd{ 90 };
// Long enough that all caches are warm. A shorter time favours a ramp that only puts the misses
// off.
constexpr std::chrono::seconds kEndAfterJoin{ 180 };

/// Simulates the upstreams of one service with their queues; no network, no threads.
/// Service times are exponential with a mean of 60 ms. Figures are taken between kWarmUp and
/// kEnd, or between kJoinAt and kEndAfterJoin if upstreams join.
DispatchFigures Simulate(const DispatchScenario& aScenario);

} // namespace jaylane::policy
