#include "jaylane/policy/CrashContainment.h"

#include <utility>

namespace jaylane::policy {

CrashContainment::Admission CrashContainment::Admit(const RequestFingerprint& aFingerprint,
                                                    bool aWasLost,
                                                    base::MonotonicTime aNow) const
{
  if (m_list.IsQuarantined(aFingerprint, aNow)) {
    return Admission::Quarantined;
  }
  if (m_list.IsSuspect(aFingerprint, aNow)) {
    return m_running.contains(aFingerprint) ? Admission::Busy : Admission::Suspect;
  }
  return aWasLost ? Admission::Suspect : Admission::Ordinary;
}

void CrashContainment::OnSuspectSent(const RequestFingerprint& aFingerprint)
{
  ++m_running[aFingerprint];
}

void CrashContainment::OnSuspectEnded(const RequestFingerprint& aFingerprint)
{
  const auto running = m_running.find(aFingerprint);
  if (running != m_running.end() && --running->second == 0) {
    m_running.erase(running);
  }
}

void CrashContainment::OnCrash(const RequestFingerprint& aFingerprint,
                               std::uint64_t aUpstream,
                               bool aWasSuspect,
                               base::MonotonicTime aNow)
{
  m_list.RecordLoss(aFingerprint, aUpstream, aNow, aWasSuspect);
  m_hasNews = true;
}

void CrashContainment::OnCompleted(const RequestFingerprint& aFingerprint, base::MonotonicTime aNow)
{
  m_list.RecordCompleted(aFingerprint, aNow);
}

void CrashContainment::OnPeerStrikes(const std::vector<Strike>& aStrikes, base::MonotonicTime aNow)
{
  m_hasNews |= m_list.Merge(aStrikes, aNow);
}

bool CrashContainment::TakeNews()
{
  return std::exchange(m_hasNews, false);
}

} // namespace jaylane::policy
