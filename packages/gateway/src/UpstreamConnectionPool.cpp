#include "UpstreamConnectionPool.h"

#include "SocketOptions.h"

namespace jaylane::gateway {

std::unique_ptr<UpstreamConnection> UpstreamConnectionPool::Take(
  const policy::UpstreamIdentity& aUpstream)
{
  const auto idle = m_idle.find(aUpstream.m_id);
  if (idle == m_idle.end()) {
    return nullptr;
  }
  while (!idle->second.empty()) {
    std::unique_ptr<UpstreamConnection> connection = std::move(idle->second.back());
    idle->second.pop_back();
    if (connection->m_upstream == aUpstream && IsUsable(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

bool UpstreamConnectionPool::IsUsable(UpstreamConnection& aConnection) const
{
  // A request sent close to the idle timeout could cross the upstream's close on the wire.
  const auto idleFor = m_clock.Monotonic() - aConnection.m_idleSince;
  return idleFor < aConnection.m_idleTimeout / 2 && IsIdleAndOpen(aConnection.m_socket);
}

void UpstreamConnectionPool::Put(std::unique_ptr<UpstreamConnection> aConnection)
{
  aConnection->m_idleSince = m_clock.Monotonic();
  m_idle[aConnection->m_upstream.m_id].push_back(std::move(aConnection));
}

void UpstreamConnectionPool::CloseUnusable(const std::unordered_set<std::string>& aUpstreams)
{
  std::erase_if(m_idle, [&](const auto& aEntry) { return !aUpstreams.contains(aEntry.first); });
  for (auto& [upstream, connections] : m_idle) {
    std::erase_if(connections, [this](const auto& aConnection) { return !IsUsable(*aConnection); });
  }
}

std::size_t UpstreamConnectionPool::size() const
{
  std::size_t count = 0;
  for (const auto& [upstream, connections] : m_idle) {
    count += connections.size();
  }
  return count;
}

} // namespace jaylane::gateway
