#include "RequestQuarantine.h"

namespace jaylane::entry {

RequestQuarantine::RequestQuarantine(const VmContext& aContext, policy::QuarantineOptions aOptions)
  : m_context(aContext)
  , m_list(aOptions, aContext.m_incarnation.m_low)
{
}

void RequestQuarantine::SetLifetime(std::chrono::milliseconds aLifetime)
{
  std::lock_guard lock(m_mutex);
  m_list.SetLifetime(aLifetime);
}

bool RequestQuarantine::IsQuarantined(const policy::RequestFingerprint& aFingerprint) const
{
  std::lock_guard lock(m_mutex);
  return m_list.IsQuarantined(aFingerprint, m_context.m_clock.Monotonic());
}

bool RequestQuarantine::IsSuspect(const policy::RequestFingerprint& aFingerprint) const
{
  std::lock_guard lock(m_mutex);
  return m_list.IsSuspect(aFingerprint, m_context.m_clock.Monotonic());
}

void RequestQuarantine::RecordLoss(const policy::RequestFingerprint& aFingerprint,
                                   std::uint64_t aUpstream,
                                   bool aIsRepeat)
{
  bool quarantined = false;
  {
    std::lock_guard lock(m_mutex);
    const auto now = m_context.m_clock.Monotonic();
    m_list.RecordLoss(aFingerprint, aUpstream, now, aIsRepeat);
    quarantined = m_list.IsQuarantined(aFingerprint, now);
  }
  if (quarantined) {
    m_context.m_events.Record("request-quarantined");
  }
}

void RequestQuarantine::RecordCompleted(const policy::RequestFingerprint& aFingerprint)
{
  std::lock_guard lock(m_mutex);
  m_list.RecordCompleted(aFingerprint, m_context.m_clock.Monotonic());
}

std::vector<policy::Strike> RequestQuarantine::Strikes() const
{
  std::lock_guard lock(m_mutex);
  return m_list.Strikes(m_context.m_clock.Monotonic());
}

void RequestQuarantine::Merge(const std::vector<policy::Strike>& aStrikes)
{
  std::lock_guard lock(m_mutex);
  m_list.Merge(aStrikes, m_context.m_clock.Monotonic());
}

} // namespace jaylane::entry
