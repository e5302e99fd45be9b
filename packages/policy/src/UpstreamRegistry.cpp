#include "jaylane/policy/UpstreamRegistry.h"

#include <algorithm>
#include <set>

namespace jaylane::policy {

UpstreamRegistry::UpstreamRegistry(Options aOptions)
  : m_options(aOptions)
{
}

bool UpstreamRegistry::IsInGracePeriod(base::MonotonicTime aNow) const
{
  return m_isStoreUnreachable || (m_hasRecovered && aNow - m_recoveredAt < m_options.m_gracePeriod);
}

void UpstreamRegistry::MarkStale(Record& aRecord, base::MonotonicTime aNow)
{
  if (aRecord.m_isStale) {
    return;
  }
  aRecord.m_isStale = true;
  if (m_isStoreUnreachable) {
    aRecord.m_staleUntil = aNow + m_options.m_outageHold;
  } else {
    aRecord.m_staleUntil = (IsInGracePeriod(aNow) ? m_recoveredAt : aNow) + m_options.m_gracePeriod;
  }
}

void UpstreamRegistry::Replace(std::vector<Upstream> aEntries, base::MonotonicTime aNow)
{
  std::set<std::string> listedIds;
  for (Upstream& entry : aEntries) {
    listedIds.insert(entry.m_id);
    Put(std::move(entry), aNow);
  }
  std::map<std::string, std::pair<std::size_t, std::size_t>> lostAndTotal;
  for (const auto& [id, record] : m_records) {
    auto& [lost, total] = lostAndTotal[record.m_upstream.m_service];
    lost += listedIds.contains(id) ? 0 : 1;
    ++total;
  }
  for (auto record = m_records.begin(); record != m_records.end();) {
    const auto& [lost, total] = lostAndTotal[record->second.m_upstream.m_service];
    const bool isImplausible = IsInGracePeriod(aNow) || lost > m_options.m_maxPlausibleLoss * total;
    if (listedIds.contains(record->first)) {
      ++record;
    } else if (isImplausible && !record->second.m_upstream.m_draining) {
      MarkStale(record->second, aNow);
      ++record;
    } else {
      record = m_records.erase(record);
    }
  }
}

void UpstreamRegistry::Put(Upstream aEntry, base::MonotonicTime aNow)
{
  const auto existing = m_records.find(aEntry.m_id);
  if (existing != m_records.end() && !existing->second.m_isStale &&
      existing->second.m_upstream.m_revision >= aEntry.m_revision) {
    return;
  }
  std::string id = aEntry.m_id;
  m_records.insert_or_assign(std::move(id), Record{ std::move(aEntry), aNow, false, {} });
}

void UpstreamRegistry::Remove(const std::string& aId,
                              StoreRevision aRevision,
                              base::MonotonicTime aNow)
{
  const auto record = m_records.find(aId);
  if (record == m_records.end() || record->second.m_upstream.m_revision > aRevision) {
    return;
  }
  if (IsInGracePeriod(aNow) && !record->second.m_upstream.m_draining) {
    MarkStale(record->second, aNow);
  } else {
    m_records.erase(record);
  }
}

void UpstreamRegistry::OnStoreRecovered(base::MonotonicTime aNow)
{
  m_isStoreUnreachable = false;
  m_hasRecovered = true;
  m_recoveredAt = aNow;
  for (auto& [id, record] : m_records) {
    if (record.m_isStale) {
      record.m_staleUntil = std::max(record.m_staleUntil, aNow + m_options.m_gracePeriod);
    }
  }
}

bool UpstreamRegistry::RemoveExpired(base::MonotonicTime aNow)
{
  return std::erase_if(m_records, [aNow](const auto& aEntry) {
           return aEntry.second.m_isStale && aNow >= aEntry.second.m_staleUntil;
         }) > 0;
}

} // namespace jaylane::policy
