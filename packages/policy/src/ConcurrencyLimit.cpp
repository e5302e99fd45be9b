#include "jaylane/policy/ConcurrencyLimit.h"

#include <algorithm>

namespace jaylane::policy {

ConcurrencyLimit::ConcurrencyLimit(Options aOptions)
  : m_options(aOptions)
{
}

std::uint32_t ConcurrencyLimit::Limit(std::uint32_t aSlots) const
{
  if (m_limit < 0 || aSlots == 0) {
    return aSlots;
  }
  return std::min(aSlots, static_cast<std::uint32_t>(std::max(m_limit, 1.0)));
}

void ConcurrencyLimit::BackOff(base::MonotonicTime aStarted,
                               base::MonotonicTime aNow,
                               std::uint32_t aSlots)
{
  // Attempts dispatched before the last back-off do not reflect the new limit.
  if (m_lastBackOff && aStarted < *m_lastBackOff) {
    return;
  }
  const double current = m_limit < 0 ? aSlots : std::min<double>(m_limit, aSlots);
  m_limit = std::max(1.0, current * m_options.m_backoffFactor);
  m_lastBackOff = aNow;
}

void ConcurrencyLimit::AddSample(SmoothedLatency& aLatency, double aSeconds) const
{
  // The first samples are averaged with equal weights.
  const double weight = std::max(m_options.m_latencyAlpha, 1.0 / ++aLatency.m_samples);
  aLatency.m_seconds += weight * (aSeconds - aLatency.m_seconds);
}

bool ConcurrencyLimit::IsSlowedByOwnLoad() const
{
  return std::min(m_soloLatency.m_samples, m_concurrentLatency.m_samples) >=
           m_options.m_minSamples &&
         m_concurrentLatency.m_seconds > m_options.m_slowdownThreshold * m_soloLatency.m_seconds;
}

void ConcurrencyLimit::OnCompleted(base::MonotonicTime aStarted,
                                   base::MonotonicTime aNow,
                                   std::uint32_t aInFlight,
                                   std::uint32_t aSlots)
{
  const double seconds = std::chrono::duration<double>(aNow - aStarted).count();
  AddSample(aInFlight <= 1 ? m_soloLatency : m_concurrentLatency, seconds);
  if (IsSlowedByOwnLoad()) {
    m_concurrentLatency = SmoothedLatency{};
    BackOff(aStarted, aNow, aSlots);
    return;
  }
  // The limit is raised only while it is reached.
  if (m_limit >= 0 && aInFlight >= Limit(aSlots)) {
    m_limit =
      std::min<double>(m_limit + m_options.m_increasePerSuccess / m_limit, std::max(aSlots, 1u));
  }
}

void ConcurrencyLimit::OnShed(base::MonotonicTime aStarted,
                              base::MonotonicTime aNow,
                              std::uint32_t aSlots)
{
  BackOff(aStarted, aNow, aSlots);
}

} // namespace jaylane::policy
