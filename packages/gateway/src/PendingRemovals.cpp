#include "PendingRemovals.h"

namespace jaylane::gateway {

void PendingRemovals::Add(const std::vector<std::string>& aUpstreams)
{
  const std::lock_guard lock(m_mutex);
  for (const std::string& upstream : aUpstreams) {
    ++m_batches[upstream];
  }
  m_hasAny = !m_batches.empty();
}

void PendingRemovals::Remove(const std::vector<std::string>& aUpstreams)
{
  const std::lock_guard lock(m_mutex);
  for (const std::string& upstream : aUpstreams) {
    const auto entry = m_batches.find(upstream);
    if (entry != m_batches.end() && --entry->second == 0) {
      m_batches.erase(entry);
    }
  }
  m_hasAny = !m_batches.empty();
}

bool PendingRemovals::Contains(const std::string& aUpstream) const
{
  if (!m_hasAny) {
    return false;
  }
  const std::lock_guard lock(m_mutex);
  return m_batches.contains(aUpstream);
}

} // namespace jaylane::gateway
