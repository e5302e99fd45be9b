#pragma once

#include "jaylane/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace jaylane::policy {

/// Whether this VM can be sure that its configuration is the newest.
/// Load pattern: changes of the configuration while VMs are cut off from the store, from the other
/// VMs or from both, or their connections are open but silent.
///
/// A VM that is cut off from everything hears of nothing newer, so only recent evidence counts.
/// The same holds for one that was suspended or has too much work to learn of changes in time.
class ConfirmedView
{
public:
  /// @param aMaxAge time within which a change must be in force.
  explicit ConfirmedView(std::chrono::milliseconds aMaxAge)
    : m_maxAge(aMaxAge)
  {
  }

  /// This VM has every change that the store had at a time.
  void OnConfirmed(base::MonotonicTime aSeenAt)
  {
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, aSeenAt) : aSeenAt;
  }

  /// VMs of most availability zones were heard at a time, and none of them knows a change that this
  /// VM lacks. A store that does not answer is out of service for most then, and nothing changes.
  void OnMostZonesHeard(base::MonotonicTime aHeardAt)
  {
    m_zonesHeardAt = m_zonesHeardAt ? std::max(*m_zonesHeardAt, aHeardAt) : aHeardAt;
  }

  /// @param aBehindSince since when this VM has known that it lacks a change; empty if it does not.
  /// @return until when this VM may act on its configuration where an outdated one does harm, such
  ///   as sending data to a region that has been forbidden. Earlier than a change must be in force,
  ///   since evidence and requests take time to arrive. Nothing if there is no evidence.
  std::optional<base::MonotonicTime> UsableUntil(
    std::optional<base::MonotonicTime> aBehindSince) const
  {
    const auto evidence = std::max(m_confirmedAt, m_zonesHeardAt);
    if (!evidence) {
      return std::nullopt;
    }
    const base::MonotonicTime until = *evidence + m_maxAge - m_maxAge / kTransferDivisor;
    // The news itself may have taken most of the time for a change to arrive.
    return aBehindSince ? std::min(until, *aBehindSince + m_maxAge / kTransferDivisor) : until;
  }

  /// @param aIsBehind whether another VM has announced a change that this one lacks.
  bool IsConfirmed(bool aIsBehind, base::MonotonicTime aNow) const
  {
    return !aIsBehind && m_confirmedAt && aNow - *m_confirmedAt <= m_maxAge;
  }

private:
  /// Part of the time for a change that is left for evidence that has passed through other VMs, and
  /// for a request to arrive at its upstream.
  static constexpr int kTransferDivisor = 4;

  std::chrono::milliseconds m_maxAge;
  std::optional<base::MonotonicTime> m_confirmedAt;
  std::optional<base::MonotonicTime> m_zonesHeardAt;
};

} // namespace jaylane::policy
