#include "jaylane/base/PauseDetector.h"

namespace jaylane::base {

PauseDetector::PauseDetector(const Clock& aClock, Options aOptions)
  : m_clock(aClock)
  , m_options(aOptions)
  , m_lastTick(aClock.Monotonic())
  , m_pausedAt(MonotonicTime::min())
  , m_resumedAt(MonotonicTime::min())
{
}

void PauseDetector::Tick()
{
  const auto now = m_clock.Monotonic();
  const auto last = m_lastTick.load();
  if (now - last > m_options.m_maxTickGap) {
    m_pausedAt = last;
    m_resumedAt = now;
  }
  m_lastTick = now;
}

MonotonicTime PauseDetector::EarliestArrivalTime() const
{
  const auto now = m_clock.Monotonic();
  const auto last = m_lastTick.load();
  // After a pause this thread may run before the next tick detects it.
  if (now - last > m_options.m_maxTickGap) {
    return last;
  }
  const auto resumed = m_resumedAt.load();
  const bool afterPause =
    resumed != MonotonicTime::min() && now - resumed < m_options.m_backlogWindow;
  return afterPause ? m_pausedAt.load() : now;
}

} // namespace jaylane::base
