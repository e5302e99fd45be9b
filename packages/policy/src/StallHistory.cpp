#include "jaylane/policy/StallHistory.h"

#include <algorithm>

namespace jaylane::policy {

void StallHistory::OnTick(base::MonotonicTime aNow)
{
  const bool hasStalled = m_lastTick && aNow - *m_lastTick > m_maxGap;
  const bool isStalled = !m_stalls.empty() && !m_stalls.back().m_endedAt;
  if (hasStalled && !isStalled) {
    m_stalls.push_back({ *m_lastTick, std::nullopt });
  } else if (!hasStalled && isStalled) {
    m_stalls.back().m_endedAt = aNow;
  }
  m_lastTick = aNow;
  std::erase_if(m_stalls, [&](const Stall& aStall) {
    return aStall.m_endedAt && aNow - *aStall.m_endedAt > m_memory;
  });
}

base::MonotonicTime StallHistory::ArrivedAt(base::MonotonicTime aReadAt) const
{
  const bool isInGap = m_lastTick && aReadAt - *m_lastTick > m_maxGap;
  base::MonotonicTime arrivedAt = isInGap ? *m_lastTick : aReadAt;
  for (const Stall& stall : m_stalls) {
    if (aReadAt >= stall.m_beganAt && (!stall.m_endedAt || aReadAt <= *stall.m_endedAt)) {
      arrivedAt = std::min(arrivedAt, stall.m_beganAt);
    }
  }
  return arrivedAt;
}

} // namespace jaylane::policy
