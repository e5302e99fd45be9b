#include "jaylane/policy/LeadWatcher.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Unit of the first beat: a VM that restarts begins above its last beat.
constexpr milliseconds kBeatUnit{ 100 };
/// Time after which no VM passes on a beat any more. The rank may begin anew then, on a VM whose
/// clock has started anew.
constexpr milliseconds kBeatMemory{ 10'000 };

/// @return whether a number that may wrap around is behind another one.
bool IsHigher(std::uint32_t aNumber, std::uint32_t aThan)
{
  return static_cast<std::int32_t>(aNumber - aThan) > 0;
}

} // namespace

LeadWatcher::LeadWatcher(Options aOptions, std::string_view aName, base::MonotonicTime aNow)
  : m_options(aOptions)
  , m_rank(static_cast<std::uint32_t>(XXH64(aName.data(), aName.size(), 0) % kRanks))
  , m_started(aNow)
  , m_beat(static_cast<std::uint32_t>(aNow.time_since_epoch() / kBeatUnit))
{
}

bool LeadWatcher::IsFresh(const Lead& aLead, base::MonotonicTime aNow) const
{
  return aNow - aLead.m_roseAt < m_options.m_heartbeatTimeout;
}

bool LeadWatcher::HasRisen(const Heartbeat& aHeartbeat, base::MonotonicTime aNow)
{
  std::erase_if(m_heard,
                [&](const auto& aEntry) { return aNow - aEntry.second.m_roseAt >= kBeatMemory; });
  const auto [entry, isNew] = m_heard.try_emplace(aHeartbeat.m_rank, Lead{ aHeartbeat, aNow });
  if (!isNew && !IsHigher(aHeartbeat.m_beat, entry->second.m_heartbeat.m_beat)) {
    return false;
  }
  entry->second = { aHeartbeat, aNow };
  return true;
}

void LeadWatcher::OnHeartbeat(const Heartbeat& aHeartbeat, base::MonotonicTime aNow)
{
  if (aHeartbeat.m_rank == m_rank || aHeartbeat.m_rank >= kRanks || !HasRisen(aHeartbeat, aNow)) {
    return;
  }
  if (m_lead && IsFresh(*m_lead, aNow) && aHeartbeat.m_rank > m_lead->m_heartbeat.m_rank) {
    return;
  }
  const bool isSame = m_lead && m_lead->m_heartbeat.m_rank == aHeartbeat.m_rank;
  m_hasSilence |= isSame && m_lead->m_heartbeat.m_silences != aHeartbeat.m_silences;
  m_lead = { aHeartbeat, aNow };
}

void LeadWatcher::OnResigned(std::uint32_t aRank, base::MonotonicTime aNow)
{
  if (m_lead && m_lead->m_heartbeat.m_rank == aRank && aRank != m_rank) {
    m_lead->m_roseAt = std::min(m_lead->m_roseAt, aNow - m_options.m_heartbeatTimeout);
  }
}

void LeadWatcher::OnSilence(base::MonotonicTime aNow)
{
  m_isSilencePending = true;
  TellSilence(aNow);
}

void LeadWatcher::TellSilence(base::MonotonicTime aNow)
{
  const bool isDue = !m_silenceAt || aNow - *m_silenceAt >= m_options.m_silenceInterval;
  if (m_isSilencePending && isDue) {
    m_isSilencePending = false;
    m_silenceAt = aNow;
    ++m_silences;
  }
}

bool LeadWatcher::TakeSilence()
{
  return std::exchange(m_hasSilence, false);
}

milliseconds LeadWatcher::TakeoverTime() const
{
  return m_options.m_heartbeatTimeout + m_options.m_takeoverSpread * m_rank / kRanks;
}

bool LeadWatcher::Decide(bool aIsWatching, base::MonotonicTime aNow)
{
  const bool isOther = m_lead && m_lead->m_heartbeat.m_rank != m_rank;
  if (!aIsWatching || (isOther && IsFresh(*m_lead, aNow))) {
    m_isLead = false;
    return false;
  }
  const base::MonotonicTime roseAt = m_lead ? m_lead->m_roseAt : m_started + m_options.m_startDelay;
  if (!m_isLead && aNow - roseAt < TakeoverTime()) {
    return false;
  }
  m_isLead = true;
  TellSilence(aNow);
  m_lead = Lead{ { m_rank, ++m_beat, m_silences }, aNow };
  return true;
}

std::optional<LeadWatcher::Heartbeat> LeadWatcher::Current(base::MonotonicTime aNow) const
{
  const bool isResigned = m_lead && m_lead->m_heartbeat.m_rank == m_rank && !m_isLead;
  return m_lead && !isResigned && IsFresh(*m_lead, aNow) ? std::optional(m_lead->m_heartbeat)
                                                         : std::nullopt;
}

std::optional<base::MonotonicTime> LeadWatcher::OtherRoseAt(base::MonotonicTime aNow) const
{
  const bool isOther = m_lead && m_lead->m_heartbeat.m_rank != m_rank;
  return isOther && IsFresh(*m_lead, aNow) ? std::optional(m_lead->m_roseAt) : std::nullopt;
}

} // namespace jaylane::policy
