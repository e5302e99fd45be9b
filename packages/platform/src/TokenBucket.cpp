#include "jaylane/platform/TokenBucket.h"

#include <algorithm>
#include <chrono>

namespace jaylane::platform {

TokenBucket::TokenBucket(const base::Clock& aClock, double aRate, double aBurst)
  : m_clock(aClock)
  , m_rate(aRate)
  , m_burst(aBurst)
  , m_tokens(aBurst)
  , m_refilledAt(aClock.Monotonic())
{
}

bool TokenBucket::TryTake(double aReserve)
{
  std::lock_guard lock(m_mutex);
  const base::MonotonicTime now = m_clock.Monotonic();
  const std::chrono::duration<double> elapsed = now - m_refilledAt;
  m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
  m_refilledAt = now;
  if (m_tokens < 1 + aReserve) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

} // namespace jaylane::platform
