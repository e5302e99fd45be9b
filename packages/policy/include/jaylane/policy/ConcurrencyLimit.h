#pragma once

#include "jaylane/base/Clock.h"

#include <cstdint>
#include <optional>

namespace jaylane::policy {

/// Adaptive limit on the attempts that this VM has in flight at one upstream (additive increase,
/// multiplicative decrease). It is based on the results of these attempts only, since load reports
/// may be stale or wrong. Never exceeds the slots that SlotPool allows. Not thread safe.
class ConcurrencyLimit
{
public:
  struct Options
  {
    /// The limit is multiplied by this after a rejection, a timeout or slow responses.
    double m_backoffFactor = 0.7;
    /// A success while the limit is reached raises it by this value divided by the limit.
    double m_increasePerSuccess = 0.1;
    /// Concurrent attempts count as slowing each other down if their smoothed latency exceeds that
    /// of solo attempts by this factor. Exponentially distributed latencies stay below it by about
    /// four standard deviations of the smoothed values.
    double m_slowdownThreshold = 2.0;
    /// Weight of the newest sample in the smoothed latencies.
    double m_latencyAlpha = 0.05;
    /// Samples needed before a smoothed latency is used.
    std::uint32_t m_minSamples = 10;
  };

  explicit ConcurrencyLimit(Options aOptions);

  /// @param aSlots slots that this VM may use at the upstream now.
  /// @return attempts allowed in flight; at least 1 if aSlots is not 0.
  std::uint32_t Limit(std::uint32_t aSlots) const;

  /// Records an attempt that the upstream completed.
  /// @param aStarted when the attempt was dispatched.
  /// @param aInFlight attempts of this VM in flight at the upstream after the dispatch.
  /// @param aSlots as for Limit().
  void OnCompleted(base::MonotonicTime aStarted,
                   base::MonotonicTime aNow,
                   std::uint32_t aInFlight,
                   std::uint32_t aSlots);

  /// Records an attempt that the upstream rejected because of overload, or that timed out.
  void OnShed(base::MonotonicTime aStarted, base::MonotonicTime aNow, std::uint32_t aSlots);

private:
  /// Exponentially weighted moving average.
  struct SmoothedLatency
  {
    double m_seconds = 0;
    std::uint32_t m_samples = 0;
  };

  void AddSample(SmoothedLatency& aLatency, double aSeconds) const;
  bool IsSlowedByOwnLoad() const;
  void BackOff(base::MonotonicTime aStarted, base::MonotonicTime aNow, std::uint32_t aSlots);

  const Options m_options;
  /// Negative before the first back-off: only the slots limit the attempts.
  double m_limit = -1;
  /// Of attempts without, and with, other attempts of this VM in flight.
  SmoothedLatency m_soloLatency;
  SmoothedLatency m_concurrentLatency;
  std::optional<base::MonotonicTime> m_lastBackOff;
};

} // namespace jaylane::policy
