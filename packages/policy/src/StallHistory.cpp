#include "jaylane/policy/StallHistory.h"

#include <algorithm>

namespace jaylane::policy {

void StallHistory::OnTick(base::MonotonicTime aNow)
{
  if (m_lastTick && aNow - *m_lastTick > m_maxGap) {
    // A stall that follows at once may leave messages of the one before unread.
    const base::MonotonicTime began = ArrivedAt(*m_lastTick);
    m_stalls.push_back({ began, aNow + m_maxGap });
  }
  m_lastTick = aNow;
  std::erase_if(m_stalls, [&](const Stall& aStall) { return aNow - aStall.m_ended > m_memory; });
}

base::MonotonicTime StallHistory::ArrivedAt(base::MonotonicTime aReadAt) const
{
  base::MonotonicTime arrivedAt = aReadAt;
  for (const Stall& stall : m_stalls) {
    if (aReadAt >= stall.m_began && aReadAt <= stall.m_ended) {
      arrivedAt = std::min(arrivedAt, stall.m_began);
    }
  }
  return arrivedAt;
}

} // namespace jaylane::policy
