#include "jaylane/policy/UpstreamRegistry.h"

#include <set>

namespace jaylane::policy {

UpstreamRegistry::UpstreamRegistry(Options aOptions)
  : m_options(aOptions)
{
}

bool UpstreamRegistry::IsReturnTime(base::MonotonicTime aNow) const
{
  return m_recovered && aNow - m_recoveredAt < m_options.m_returnTime;
}

void UpstreamRegistry::Lapse(Record& aRecord, base::MonotonicTime aNow)
{
  if (!aRecord.m_lapsed) {
    aRecord.m_lapsed = true;
    aRecord.m_lapseEnd = (IsReturnTime(aNow) ? m_recoveredAt : aNow) + m_options.m_returnTime;
  }
}

void UpstreamRegistry::Replace(std::vector<Upstream> aEntries, base::MonotonicTime aNow)
{
  std::set<std::string> present;
  for (Upstream& entry : aEntries) {
    present.insert(entry.m_id);
    Put(std::move(entry), aNow);
  }
  std::map<std::string, std::pair<std::size_t, std::size_t>> lostAndAll;
  for (const auto& [id, record] : m_records) {
    auto& [lost, all] = lostAndAll[record.m_upstream.m_service];
    lost += present.contains(id) ? 0 : 1;
    ++all;
  }
  for (auto record = m_records.begin(); record != m_records.end();) {
    const auto& [lost, all] = lostAndAll[record->second.m_upstream.m_service];
    const bool isDoubtful = IsReturnTime(aNow) || lost > m_options.m_plausibleLoss * all;
    if (present.contains(record->first)) {
      ++record;
    } else if (isDoubtful && !record->second.m_upstream.m_draining) {
      Lapse(record->second, aNow);
      ++record;
    } else {
      record = m_records.erase(record);
    }
  }
}

void UpstreamRegistry::Put(Upstream aEntry, base::MonotonicTime aNow)
{
  const auto existing = m_records.find(aEntry.m_id);
  if (existing != m_records.end() && !existing->second.m_lapsed &&
      existing->second.m_upstream.m_revision >= aEntry.m_revision) {
    return;
  }
  std::string id = aEntry.m_id;
  m_records.insert_or_assign(std::move(id), Record{ std::move(aEntry), aNow, false, {} });
}

void UpstreamRegistry::Remove(const std::string& aId,
                              std::uint64_t aRevision,
                              base::MonotonicTime aNow)
{
  const auto record = m_records.find(aId);
  if (record == m_records.end() || record->second.m_upstream.m_revision > aRevision) {
    return;
  }
  if (IsReturnTime(aNow) && !record->second.m_upstream.m_draining) {
    Lapse(record->second, aNow);
  } else {
    m_records.erase(record);
  }
}

void UpstreamRegistry::OnStoreRecovered(base::MonotonicTime aNow)
{
  m_recovered = true;
  m_recoveredAt = aNow;
}

bool UpstreamRegistry::RemoveExpired(base::MonotonicTime aNow)
{
  return std::erase_if(m_records, [aNow](const auto& aEntry) {
           return aEntry.second.m_lapsed && aNow >= aEntry.second.m_lapseEnd;
         }) > 0;
}

} // namespace jaylane::policy
