#include "jaylane/policy/LeadWatcher.h"

#include <algorithm>
#include <xxhash.h>

namespace jaylane::policy {

using std::chrono::milliseconds;

LeadWatcher::LeadWatcher(Options aOptions, std::string_view aName, base::MonotonicTime aNow)
  : m_options(aOptions)
  , m_rank(static_cast<std::uint32_t>(XXH64(aName.data(), aName.size(), 0) % kRanks))
  , m_started(aNow)
{
}

void LeadWatcher::OnHeartbeat(const Heartbeat& aHeartbeat, base::MonotonicTime aNow)
{
  if (aHeartbeat.m_rank == m_rank || aHeartbeat.m_rank >= kRanks ||
      aNow - aHeartbeat.m_at >= m_options.m_heartbeatTimeout) {
    return; // An echo of this VM's own heartbeat, or too old.
  }
  const auto current = Current(aNow);
  if (!current || aHeartbeat.m_rank < current->m_rank) {
    m_lead = aHeartbeat;
  } else if (aHeartbeat.m_rank == current->m_rank) {
    m_lead->m_at = std::max(m_lead->m_at, aHeartbeat.m_at);
  }
}

milliseconds LeadWatcher::TakeoverTime() const
{
  return m_options.m_heartbeatTimeout + m_options.m_takeoverSpread * m_rank / kRanks;
}

bool LeadWatcher::Decide(bool aIsWatching, base::MonotonicTime aNow)
{
  if (!aIsWatching) {
    return false;
  }
  const bool isLower = m_lead && m_rank <= m_lead->m_rank;
  const base::MonotonicTime heardAt = m_lead ? m_lead->m_at : m_started;
  if (!isLower && aNow - heardAt < TakeoverTime()) {
    return false;
  }
  m_lead = Heartbeat{ m_rank, aNow };
  return true;
}

std::optional<LeadWatcher::Heartbeat> LeadWatcher::Current(base::MonotonicTime aNow) const
{
  return m_lead && aNow - m_lead->m_at < m_options.m_heartbeatTimeout ? m_lead : std::nullopt;
}

} // namespace jaylane::policy
