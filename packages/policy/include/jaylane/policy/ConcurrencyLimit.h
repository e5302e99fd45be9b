#pragma once

#include "jaylane/base/Clock.h"

#include <cstdint>
#include <optional>

namespace jaylane::policy {

/// Adaptive limit of the attempts in flight to one upstream, from own results only: load
/// reports may be stale or wrong. Never above the slots that the SlotPool allows.
class ConcurrencyLimit
{
public:
  struct Options
  {
    /// Factor on the limit after a shed or slow responses.
    double m_backoff = 0.7;
    /// Part of a slot by which a success at the limit raises it, divided by the limit.
    double m_increase = 0.1;
    /// Attempts that share the upstream with own others count as slowed down by them if they take
    /// this multiple of the time of an attempt alone. Exponential latencies stay below it by
    /// about four standard deviations of the smoothed values.
    double m_slowFactor = 2.0;
    /// Weight of a sample in the smoothed latencies.
    double m_weight = 0.05;
    /// Samples before a smoothed latency is used.
    std::uint32_t m_minSamples = 10;
  };

  explicit ConcurrencyLimit(Options aOptions);

  /// @param aSlots slots that this VM may use at the upstream now.
  /// @return attempts allowed in flight, at least 1 if there is a slot.
  std::uint32_t Limit(std::uint32_t aSlots) const;

  /// A response that the upstream executed.
  /// @param aStarted time of dispatch.
  /// @param aInFlight own attempts in flight at dispatch, including it.
  void OnCompleted(base::MonotonicTime aStarted,
                   base::MonotonicTime aNow,
                   std::uint32_t aInFlight,
                   std::uint32_t aSlots);

  /// The upstream rejected the attempt for load, or it timed out.
  void OnShed(base::MonotonicTime aStarted, base::MonotonicTime aNow, std::uint32_t aSlots);

private:
  struct Smoothed
  {
    double m_seconds = 0;
    std::uint32_t m_samples = 0;
  };

  void Add(Smoothed& aSmoothed, double aSample) const;
  bool IsSlowedByOwn() const;
  void BackOff(base::MonotonicTime aStarted, base::MonotonicTime aNow, std::uint32_t aSlots);

  const Options m_options;
  /// Negative before the first back-off: no limit but the slots.
  double m_limit = -1;
  Smoothed m_alone;
  Smoothed m_shared;
  std::optional<base::MonotonicTime> m_lastBackOff;
};

} // namespace jaylane::policy
