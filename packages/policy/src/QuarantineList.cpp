#include "jaylane/policy/QuarantineList.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <xxhash.h>

namespace jaylane::policy {

using base::MonotonicTime;

QuarantineOptions QuarantineOptions::MakeForSharedPaths()
{
  QuarantineOptions options;
  options.m_lifetime = std::chrono::seconds{ 60 };
  // A path that many callers use may lose responses at several flaky upstreams although it
  // completes at others. Only a request that never completes is quarantined, after its third
  // upstream.
  options.m_crashThreshold = 3;
  options.m_totalCrashThreshold = 64;
  return options;
}

QuarantineList::QuarantineList(const QuarantineOptions& aOptions, std::uint64_t aObserverId)
  : m_options(aOptions)
  , m_observerId(aObserverId)
{
}

std::uint64_t QuarantineList::HashUpstream(std::string_view aId, std::string_view aIncarnation)
{
  std::string text(aId);
  text.append(1, '\0').append(aIncarnation);
  return XXH3_64bits(text.data(), text.size());
}

void QuarantineList::RecordLoss(const RequestFingerprint& aFingerprint,
                                std::uint64_t aUpstream,
                                MonotonicTime aNow)
{
  RemoveExpired(aNow);
  const std::array<std::uint64_t, 2> idParts{ m_observerId, m_nextStrike++ };
  const std::uint64_t id = XXH3_64bits(idParts.data(), sizeof(idParts));
  const auto expiry = aNow + m_options.m_lifetime;
  Add(aFingerprint, Entry{ id, aUpstream, expiry, false, false });
  // Windows that end earlier were checked when their last strikes were recorded.
  MarkMassFailures(expiry - m_options.m_massFailureWindow);
}

void QuarantineList::RecordCompleted(const RequestFingerprint& aFingerprint, MonotonicTime aNow)
{
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end()) {
    return;
  }
  // Strikes are flagged instead of removed, so that an older message of a peer does not bring them
  // back.
  for (Entry& entry : found->second) {
    entry.m_cleared = true;
  }
  RemoveExpired(aNow);
}

void QuarantineList::Add(const RequestFingerprint& aFingerprint, const Entry& aEntry)
{
  auto& entries = m_entries[aFingerprint];
  for (Entry& existing : entries) {
    if (existing.m_id == aEntry.m_id) {
      // The earliest expiry wins, so that passing a strike between peers does not prolong its life.
      existing.m_expiry = std::min(existing.m_expiry, aEntry.m_expiry);
      existing.m_correlated |= aEntry.m_correlated;
      existing.m_cleared |= aEntry.m_cleared;
      return;
    }
  }
  entries.push_back(aEntry);
  if (++m_size > m_options.m_maxStrikes) {
    EvictFirstToExpire();
  }
}

void QuarantineList::EvictFirstToExpire()
{
  const auto expiresFirst = [](const Entry& aLeft, const Entry& aRight) {
    return std::pair(aLeft.m_expiry, aLeft.m_id) < std::pair(aRight.m_expiry, aRight.m_id);
  };
  auto evictedEntries = m_entries.end();
  std::vector<Entry>::iterator evicted;
  for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
    const auto first = std::min_element(it->second.begin(), it->second.end(), expiresFirst);
    if (evictedEntries == m_entries.end() || expiresFirst(*first, *evicted)) {
      evictedEntries = it;
      evicted = first;
    }
  }
  evictedEntries->second.erase(evicted);
  if (evictedEntries->second.empty()) {
    m_entries.erase(evictedEntries);
  }
  --m_size;
}

void QuarantineList::RemoveExpired(MonotonicTime aNow)
{
  // Expired strikes are kept for a second lifetime, so that a delayed message does not bring them
  // back.
  const MonotonicTime limit = aNow - m_options.m_lifetime;
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    m_size -=
      std::erase_if(it->second, [limit](const Entry& aEntry) { return aEntry.m_expiry <= limit; });
    it = it->second.empty() ? m_entries.erase(it) : std::next(it);
  }
}

void QuarantineList::MarkMassFailures(MonotonicTime aFirstExpiry)
{
  struct RecentStrike
  {
    MonotonicTime m_expiry;
    std::uint64_t m_upstream;
    RequestFingerprint m_fingerprint;
    Entry* m_entry;
  };
  std::vector<RecentStrike> recent;
  for (auto& [fingerprint, entries] : m_entries) {
    for (Entry& entry : entries) {
      if (entry.m_expiry >= aFirstExpiry) {
        recent.push_back({ entry.m_expiry, entry.m_upstream, fingerprint, &entry });
      }
    }
  }
  std::sort(
    recent.begin(), recent.end(), [](const RecentStrike& aLeft, const RecentStrike& aRight) {
      return aLeft.m_expiry < aRight.m_expiry;
    });
  // Slides a window over the expiry times. These are as far apart as the losses, because all
  // strikes have the same lifetime.
  std::map<std::uint64_t, std::size_t> upstreams;
  std::map<RequestFingerprint, std::size_t> fingerprints;
  std::size_t first = 0;
  std::size_t marked = 0;
  for (std::size_t last = 0; last < recent.size(); ++last) {
    ++upstreams[recent[last].m_upstream];
    ++fingerprints[recent[last].m_fingerprint];
    for (; recent[last].m_expiry - recent[first].m_expiry > m_options.m_massFailureWindow;
         ++first) {
      if (--upstreams[recent[first].m_upstream] == 0) {
        upstreams.erase(recent[first].m_upstream);
      }
      if (--fingerprints[recent[first].m_fingerprint] == 0) {
        fingerprints.erase(recent[first].m_fingerprint);
      }
    }
    if (upstreams.size() < m_options.m_massFailureUpstreams ||
        fingerprints.size() < m_options.m_massFailureFingerprints) {
      continue;
    }
    for (marked = std::max(marked, first); marked <= last; ++marked) {
      recent[marked].m_entry->m_correlated = true;
    }
  }
}

std::size_t QuarantineList::CountCrashes(const std::vector<Entry>& aEntries,
                                         bool aIncludeDiscounted,
                                         MonotonicTime aNow) const
{
  std::vector<std::pair<std::uint64_t, MonotonicTime>> losses;
  for (const Entry& entry : aEntries) {
    const bool isDiscounted = entry.m_cleared || entry.m_correlated;
    if (entry.m_expiry > aNow && (aIncludeDiscounted || !isDiscounted)) {
      losses.emplace_back(entry.m_upstream, entry.m_expiry);
    }
  }
  // Copies of a request at the same upstream are lost in the same crash.
  std::sort(losses.begin(), losses.end());
  std::size_t crashes = 0;
  const std::pair<std::uint64_t, MonotonicTime>* crash = nullptr;
  for (const auto& loss : losses) {
    if (crash == nullptr || crash->first != loss.first ||
        loss.second - crash->second > m_options.m_sameCrashWindow) {
      crash = &loss;
      ++crashes;
    }
  }
  return crashes;
}

CrashCounts QuarantineList::Crashes(const RequestFingerprint& aFingerprint,
                                    MonotonicTime aNow) const
{
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end()) {
    return {};
  }
  return { CountCrashes(found->second, false, aNow), CountCrashes(found->second, true, aNow) };
}

bool QuarantineList::IsQuarantined(const RequestFingerprint& aFingerprint, MonotonicTime aNow) const
{
  const CrashCounts crashes = Crashes(aFingerprint, aNow);
  return crashes.m_counted >= m_options.m_crashThreshold ||
         crashes.m_total >= m_options.m_totalCrashThreshold;
}

bool QuarantineList::IsSuspect(const RequestFingerprint& aFingerprint, MonotonicTime aNow) const
{
  return Crashes(aFingerprint, aNow).m_total > 0;
}

std::vector<Strike> QuarantineList::Strikes(MonotonicTime aNow) const
{
  std::vector<Strike> strikes;
  for (const auto& [fingerprint, entries] : m_entries) {
    for (const Entry& entry : entries) {
      if (entry.m_expiry > aNow) {
        const auto left = std::chrono::floor<std::chrono::milliseconds>(entry.m_expiry - aNow);
        strikes.push_back(
          { fingerprint, entry.m_id, entry.m_upstream, left, entry.m_correlated, entry.m_cleared });
      }
    }
  }
  return strikes;
}

void QuarantineList::Merge(const std::vector<Strike>& aStrikes, MonotonicTime aNow)
{
  RemoveExpired(aNow);
  for (const Strike& strike : aStrikes) {
    const auto left = std::min(strike.m_remaining, m_options.m_lifetime);
    if (left > std::chrono::milliseconds::zero()) {
      Add(strike.m_fingerprint,
          { strike.m_id, strike.m_upstream, aNow + left, strike.m_correlated, strike.m_cleared });
    }
  }
  MarkMassFailures(aNow + std::chrono::nanoseconds{ 1 });
}

} // namespace jaylane::policy
