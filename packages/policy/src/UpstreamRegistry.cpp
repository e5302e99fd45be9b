#include "jaylane/policy/UpstreamRegistry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jaylane::policy {

namespace {

/// @return whether two entries differ in their revisions at most.
bool HasSameContents(Upstream aFirst, const Upstream& aSecond)
{
  aFirst.m_revision = aSecond.m_revision;
  return aFirst == aSecond;
}

} // namespace

UpstreamRegistry::UpstreamRegistry(Options aOptions)
  : m_options(aOptions)
{
}

bool UpstreamRegistry::IsInGracePeriod(base::MonotonicTime aNow) const
{
  return m_isStoreUnreachable || (m_hasRecovered && aNow - m_recoveredAt < m_options.m_gracePeriod);
}

bool UpstreamRegistry::MayBeOutdated(const Record& aRecord, base::MonotonicTime aNow) const
{
  return IsInGracePeriod(aNow) || aRecord.m_isStale;
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
    PutListed(std::move(entry), aNow);
  }
  std::erase_if(m_held, [&](const auto& aEntry) { return !listedIds.contains(aEntry.first); });
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
      record = Erase(record, aNow);
    }
  }
}

std::map<std::string, UpstreamRegistry::Record>::iterator UpstreamRegistry::Erase(
  std::map<std::string, Record>::iterator aRecord,
  base::MonotonicTime aNow)
{
  const Upstream& upstream = aRecord->second.m_upstream;
  const std::uint64_t era = std::max(m_era, upstream.m_revision.Era());
  m_removals[aRecord->first] = { upstream.m_startedAtMs, era, aNow };
  return m_records.erase(aRecord);
}

bool UpstreamRegistry::IsFromCopy(const Upstream& aEntry, base::MonotonicTime aNow) const
{
  const auto removal = m_removals.find(aEntry.m_id);
  return removal != m_removals.end() && removal->second.m_era < aEntry.m_revision.Era() &&
         removal->second.m_startedAtMs == aEntry.m_startedAtMs &&
         aNow - removal->second.m_at < m_options.m_maxCopyAge;
}

void UpstreamRegistry::PutListed(Upstream aEntry, base::MonotonicTime aNow)
{
  const auto held = m_held.find(aEntry.m_id);
  if (held != m_held.end() && held->second.m_upstream.m_revision == aEntry.m_revision) {
    return;
  }
  const bool hasWritten =
    held != m_held.end() && held->second.m_upstream.m_revision.Era() == aEntry.m_revision.Era();
  if (!hasWritten && !m_records.contains(aEntry.m_id) && IsFromCopy(aEntry, aNow)) {
    std::string id = aEntry.m_id;
    m_held[std::move(id)] = { std::move(aEntry), aNow + m_options.m_entryLifetime };
    return;
  }
  Put(std::move(aEntry), aNow);
}

void UpstreamRegistry::Put(Upstream aEntry, base::MonotonicTime aNow)
{
  m_held.erase(aEntry.m_id);
  m_removals.erase(aEntry.m_id);
  Insert(std::move(aEntry), aNow);
}

void UpstreamRegistry::Insert(Upstream aEntry, base::MonotonicTime aNow)
{
  const auto existing = m_records.find(aEntry.m_id);
  if (existing != m_records.end()) {
    Record& record = existing->second;
    const Upstream& known = record.m_upstream;
    if (!record.m_isStale && known.m_revision >= aEntry.m_revision) {
      return;
    }
    const bool isOfLaterEra = known.m_revision.Era() < aEntry.m_revision.Era();
    const bool takesDrainBack =
      known.m_draining && !aEntry.m_draining && known.m_startedAtMs == aEntry.m_startedAtMs;
    if (isOfLaterEra && (takesDrainBack || HasSameContents(aEntry, known))) {
      record.m_upstream.m_revision = aEntry.m_revision;
      record.m_isStale = false;
      return;
    }
  }
  std::string id = aEntry.m_id;
  m_records.insert_or_assign(std::move(id), Record{ std::move(aEntry), aNow, false, {} });
}

void UpstreamRegistry::Remove(const std::string& aId,
                              StoreRevision aRevision,
                              base::MonotonicTime aNow)
{
  m_held.erase(aId);
  const auto record = m_records.find(aId);
  if (record == m_records.end() || record->second.m_upstream.m_revision > aRevision) {
    return;
  }
  if (IsInGracePeriod(aNow) && !record->second.m_upstream.m_draining) {
    MarkStale(record->second, aNow);
  } else {
    Erase(record, aNow);
  }
}

void UpstreamRegistry::OnStoreRecovered(base::MonotonicTime aNow)
{
  m_isStoreUnreachable = false;
  StartGracePeriod(aNow);
}

void UpstreamRegistry::OnStoreRestored(std::uint64_t aEra, base::MonotonicTime aNow)
{
  m_era = aEra;
  StartGracePeriod(aNow);
}

void UpstreamRegistry::StartGracePeriod(base::MonotonicTime aNow)
{
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
  bool hasChanged = false;
  for (auto record = m_records.begin(); record != m_records.end();) {
    if (record->second.m_isStale && aNow >= record->second.m_staleUntil) {
      record = Erase(record, aNow);
      hasChanged = true;
    } else {
      ++record;
    }
  }
  for (auto held = m_held.begin(); held != m_held.end();) {
    if (aNow < held->second.m_until) {
      ++held;
      continue;
    }
    Upstream entry = std::move(held->second.m_upstream);
    held = m_held.erase(held);
    Put(std::move(entry), aNow);
    hasChanged = true;
  }
  std::erase_if(m_removals, [&](const auto& aEntry) {
    return aNow - aEntry.second.m_at >= m_options.m_maxCopyAge;
  });
  return hasChanged;
}

} // namespace jaylane::policy
