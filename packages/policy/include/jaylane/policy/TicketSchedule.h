#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>

namespace jaylane::policy {

/// Spaces the requests of one VM to an upstream whose rate is shared by many VMs.
/// Load pattern: hundreds of VMs with a small share each, whose requests for the upstream come at
/// the same moment after a lull.
///
/// The VM gets one ticket per interval. A ticket that is not used within a second is lost, so that
/// the VMs together never hold more tickets than a second's worth. Not thread safe.
class TicketSchedule
{
public:
  /// @param aPerSecond tickets per second; may be 0.
  /// @param aPhase part of the first interval after which the first ticket is issued, from 0 to 1.
  ///   VMs use different phases.
  TicketSchedule(double aPerSecond, double aPhase, base::MonotonicTime aNow);

  /// Changes the rate from the next ticket on.
  void SetRate(double aPerSecond, base::MonotonicTime aNow);

  bool HasTicket(base::MonotonicTime aNow) const { return IssuedAt(aNow) <= aNow; }

  /// @return when the ticket that is usable at a time, or the next one, was or will be issued.
  base::MonotonicTime IssuedAt(base::MonotonicTime aNow) const;

  /// Uses the present ticket. May be called without one, for a request that was sent all the same;
  /// the next ticket is then issued later.
  void Take(base::MonotonicTime aNow);

private:
  std::chrono::nanoseconds m_interval;
  base::MonotonicTime m_nextAt;
};

} // namespace jaylane::policy
