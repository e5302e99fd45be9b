#include "jaylane/policy/AdmissionQueue.h"

#include <algorithm>

namespace jaylane::policy {

AdmissionQueue::AdmissionQueue(Options aOptions)
  : m_options(aOptions)
{
}

bool AdmissionQueue::Offer(const Entry& aEntry,
                           const ServiceTimes& aTimes,
                           base::MonotonicTime aNow)
{
  if (m_entries.size() >= m_options.m_capacity || m_sequenceById.contains(aEntry.m_id)) {
    return false;
  }
  const auto ahead = m_options.m_order == Order::Fifo ? m_entries.size() + 1 : 1;
  const auto wait = aTimes.m_slotInterval * static_cast<std::int64_t>(ahead);
  if (aNow + wait + aTimes.m_serviceTimeBound > aEntry.m_deadline) {
    return false;
  }
  const std::uint64_t sequence = m_nextSequence++;
  m_entries.emplace(sequence, aEntry);
  m_deadlines.emplace(aEntry.m_deadline, sequence);
  m_sequenceById.emplace(aEntry.m_id, sequence);
  return true;
}

AdmissionQueue::Entry AdmissionQueue::Remove(Entries::iterator aEntry)
{
  const Entry entry = aEntry->second;
  m_deadlines.erase({ entry.m_deadline, aEntry->first });
  m_sequenceById.erase(entry.m_id);
  m_entries.erase(aEntry);
  return entry;
}

std::vector<AdmissionQueue::Entry> AdmissionQueue::DropLate(const ServiceTimes& aTimes,
                                                            base::MonotonicTime aNow)
{
  std::vector<Entry> late;
  while (!m_deadlines.empty() && aNow + aTimes.m_serviceTimeBound > m_deadlines.begin()->first) {
    late.push_back(Remove(m_entries.find(m_deadlines.begin()->second)));
  }
  return late;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::Take()
{
  if (m_entries.empty()) {
    return std::nullopt;
  }
  return Remove(m_options.m_order == Order::Fifo ? m_entries.begin() : std::prev(m_entries.end()));
}

bool AdmissionQueue::Cancel(std::uint64_t aId)
{
  const auto found = m_sequenceById.find(aId);
  if (found == m_sequenceById.end()) {
    return false;
  }
  Remove(m_entries.find(found->second));
  return true;
}

std::optional<base::MonotonicTime> AdmissionQueue::NextDropTime(const ServiceTimes& aTimes) const
{
  if (m_deadlines.empty()) {
    return std::nullopt;
  }
  return m_deadlines.begin()->first - aTimes.m_serviceTimeBound;
}

} // namespace jaylane::policy
