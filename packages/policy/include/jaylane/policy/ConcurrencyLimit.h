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
    /// Factor on the limit after a shed or a slow response.
    double m_backoff = 0.7;
    /// A smoothed latency above this multiple of the usual one counts as overload.
    double m_slowFactor = 2.0;
    /// Weight of a sample in the smoothed latency.
    double m_weight = 0.1;
    /// Speed at which the usual latency follows a lasting change upwards, per sample.
    double m_drift = 0.002;
  };

  explicit ConcurrencyLimit(Options aOptions);

  /// @param aSlots slots that this VM may use at the upstream now.
  /// @return attempts allowed in flight, at least 1 if there is a slot.
  std::uint32_t Limit(std::uint32_t aSlots) const;

  /// A response that the upstream executed.
  /// @param aStarted time of dispatch.
  /// @param aInFlight own attempts in flight when it ended, including it.
  void OnCompleted(base::MonotonicTime aStarted,
                   base::MonotonicTime aNow,
                   std::uint32_t aInFlight,
                   std::uint32_t aSlots);

  /// The upstream rejected the attempt for load, or it timed out.
  void OnShed(base::MonotonicTime aStarted, base::MonotonicTime aNow, std::uint32_t aSlots);

private:
  void BackOff(base::MonotonicTime aStarted, base::MonotonicTime aNow, std::uint32_t aSlots);

  const Options m_options;
  /// Negative before the first back-off: no limit but the slots.
  double m_limit = -1;
  double m_smoothed = 0;
  double m_usual = 0;
  std::optional<base::MonotonicTime> m_lastBackOff;
};

} // namespace jaylane::policy
