#include "jaylane/policy/TicketSchedule.h"

#include <algorithm>

namespace jaylane::policy {

namespace {

using std::chrono::nanoseconds;

/// Time for which a ticket may be used.
constexpr std::chrono::seconds kValidity{ 1 };
/// Interval of a rate of 0, or too small to matter.
constexpr std::chrono::hours kMaxInterval{ 1 };
/// Shortest interval; the rate is unlimited for all purposes.
constexpr std::chrono::microseconds kMinInterval{ 10 };

nanoseconds IntervalOf(double aPerSecond)
{
  const std::chrono::duration<double> longest = kMaxInterval;
  if (!(aPerSecond * longest.count() > 1)) {
    return kMaxInterval;
  }
  return std::max<nanoseconds>(
    kMinInterval,
    std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(1 / aPerSecond)));
}

nanoseconds PartOf(nanoseconds aTime, double aPart)
{
  return std::chrono::duration_cast<nanoseconds>(aTime * aPart);
}

} // namespace

TicketSchedule::TicketSchedule(double aPerSecond, double aPhase, base::MonotonicTime aNow)
  : m_interval(IntervalOf(aPerSecond))
  , m_nextAt(aNow + PartOf(m_interval, aPhase))
{
}

void TicketSchedule::SetRate(double aPerSecond, base::MonotonicTime aNow)
{
  const nanoseconds interval = IntervalOf(aPerSecond);
  if (m_nextAt > aNow) {
    // The part of the interval that is still to wait stays the same.
    const double part =
      static_cast<double>((m_nextAt - aNow).count()) / static_cast<double>(m_interval.count());
    m_nextAt = aNow + PartOf(interval, part);
  }
  m_interval = interval;
}

base::MonotonicTime TicketSchedule::IssuedAt(base::MonotonicTime aNow) const
{
  const auto late = aNow - m_nextAt;
  if (late <= kValidity) {
    return m_nextAt;
  }
  // Skips the tickets that were lost.
  const auto lost = (late - kValidity + m_interval - nanoseconds{ 1 }) / m_interval;
  return m_nextAt + lost * m_interval;
}

void TicketSchedule::Take(base::MonotonicTime aNow)
{
  m_nextAt = IssuedAt(aNow) + m_interval;
}

} // namespace jaylane::policy
