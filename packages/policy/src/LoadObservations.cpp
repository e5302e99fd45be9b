#include "jaylane/policy/LoadObservations.h"

#include <algorithm>

namespace jaylane::policy {

void LoadObservations::Add(const LoadObservation& aObservation)
{
  std::erase_if(m_entries, [&](const Entry& aEntry) {
    return aEntry.m_observation.m_upstream == aObservation.m_upstream &&
           aEntry.m_observation.m_key == aObservation.m_key;
  });
  m_entries.push_front({ aObservation });
  if (m_entries.size() > kMaxKept) {
    m_entries.pop_back();
  }
}

std::vector<LoadObservation> LoadObservations::Next(std::size_t aCount, base::MonotonicTime aNow)
{
  std::erase_if(
    m_entries, [&](const Entry& aEntry) { return aNow - aEntry.m_observation.m_seenAt > kMaxAge; });
  std::vector<Entry*> entries;
  for (Entry& entry : m_entries) {
    entries.push_back(&entry);
  }
  std::ranges::stable_sort(entries, {}, &Entry::m_sends);
  entries.resize(std::min(aCount, entries.size()));
  std::vector<LoadObservation> next;
  for (Entry* entry : entries) {
    ++entry->m_sends;
    next.push_back(entry->m_observation);
  }
  return next;
}

} // namespace jaylane::policy
