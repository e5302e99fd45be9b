#include "jaylane/policy/PeerLiveness.h"

#include <algorithm>

namespace jaylane::policy {

bool PeerLiveness::IsDead(const Observation& aObservation, base::MonotonicTime aNow)
{
  const std::chrono::nanoseconds step =
    m_observedAt ? aNow - *m_observedAt : std::chrono::nanoseconds{ 0 };
  m_observedAt = aNow;
  const bool isAwaited = aObservation.m_unackedSegments > 0 || aObservation.m_unanswered > 0;
  // Between two probes of a closed window, nothing is due from the peer.
  if (!isAwaited || aObservation.m_sinceLastAck < step) {
    m_silence = std::chrono::nanoseconds{ 0 };
    m_unansweredBefore = aObservation.m_unanswered;
    return false;
  }
  m_unansweredBefore = std::min(m_unansweredBefore, aObservation.m_unanswered);
  m_silence += std::min<std::chrono::nanoseconds>(step, m_options.m_maxStep);
  return m_silence >= m_options.m_silenceLimit &&
         aObservation.m_unanswered - m_unansweredBefore >= m_options.m_minUnanswered;
}

} // namespace jaylane::policy
