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

void ConcurrencyLimit::OnCompleted(base::MonotonicTime aStarted,
                                   base::MonotonicTime aNow,
                                   std::uint32_t aInFlight,
                                   std::uint32_t aSlots)
{
  const double sample = std::chrono::duration<double>(aNow - aStarted).count();
  if (m_usual == 0) {
    m_usual = m_smoothed = sample;
  }
  m_smoothed += m_options.m_weight * (sample - m_smoothed);
  m_usual +=
    (m_smoothed < m_usual ? m_options.m_weight / 2 : m_options.m_drift) * (m_smoothed - m_usual);
  if (m_smoothed > m_options.m_slowFactor * m_usual) {
    BackOff(aStarted, aNow, aSlots);
    return;
  }
  // Raised only while it is the limit that holds back requests.
  if (m_limit >= 0 && aInFlight >= Limit(aSlots)) {
    m_limit = std::min<double>(m_limit + 1 / m_limit, std::max(aSlots, 1u));
  }
}

void ConcurrencyLimit::OnShed(base::MonotonicTime aStarted,
                              base::MonotonicTime aNow,
                              std::uint32_t aSlots)
{
  BackOff(aStarted, aNow, aSlots);
}

} // namespace jaylane::policy
