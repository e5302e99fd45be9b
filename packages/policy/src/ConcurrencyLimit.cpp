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
  // Attempts dispatched before the last back-off say nothing about the new limit.
  if (m_lastBackOff && aStarted < *m_lastBackOff) {
    return;
  }
  const double current = m_limit < 0 ? aSlots : std::min<double>(m_limit, aSlots);
  m_limit = std::max(1.0, current * m_options.m_backoff);
  m_lastBackOff = aNow;
}

void ConcurrencyLimit::Add(Smoothed& aSmoothed, double aSample) const
{
  // The first samples count as a plain mean.
  const double weight = std::max(m_options.m_weight, 1.0 / ++aSmoothed.m_samples);
  aSmoothed.m_seconds += weight * (aSample - aSmoothed.m_seconds);
}

bool ConcurrencyLimit::IsSlowedByOwn() const
{
  return std::min(m_alone.m_samples, m_shared.m_samples) >= m_options.m_minSamples &&
         m_shared.m_seconds > m_options.m_slowFactor * m_alone.m_seconds;
}

void ConcurrencyLimit::OnCompleted(base::MonotonicTime aStarted,
                                   base::MonotonicTime aNow,
                                   std::uint32_t aInFlight,
                                   std::uint32_t aSlots)
{
  const double sample = std::chrono::duration<double>(aNow - aStarted).count();
  Add(aInFlight <= 1 ? m_alone : m_shared, sample);
  if (IsSlowedByOwn()) {
    m_shared = Smoothed{};
    BackOff(aStarted, aNow, aSlots);
    return;
  }
  // Raised only while it is the limit that holds back requests.
  if (m_limit >= 0 && aInFlight >= Limit(aSlots)) {
    m_limit = std::min<double>(m_limit + m_options.m_increase / m_limit, std::max(aSlots, 1u));
  }
}

void ConcurrencyLimit::OnShed(base::MonotonicTime aStarted,
                              base::MonotonicTime aNow,
                              std::uint32_t aSlots)
{
  BackOff(aStarted, aNow, aSlots);
}

} // namespace jaylane::policy
