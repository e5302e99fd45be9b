#include "jaylane/policy/QuarantineList.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <xxhash.h>

namespace jaylane::policy {

using base::MonotonicTime;

QuarantineList::QuarantineList(const QuarantineOptions& aOptions, std::uint64_t aObserver)
  : m_options(aOptions)
  , m_observer(aObserver)
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
  Forget(aNow);
  const std::array<std::uint64_t, 2> name{ m_observer, m_nextStrike++ };
  const std::uint64_t id = XXH3_64bits(name.data(), sizeof(name));
  const auto expiry = aNow + m_options.m_lifetime;
  Add(aFingerprint, Entry{ id, aUpstream, expiry, false, false });
  // Earlier windows were checked when their last strike came.
  MarkMassFailures(expiry - m_options.m_massWindow);
}

void QuarantineList::RecordCompleted(const RequestFingerprint& aFingerprint, MonotonicTime aNow)
{
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end()) {
    return;
  }
  // A flag instead of a removal, so that a peer's older list does not bring the strike back.
  for (Entry& entry : found->second) {
    entry.m_cleared = true;
  }
  Forget(aNow);
}

void QuarantineList::Add(const RequestFingerprint& aFingerprint, const Entry& aEntry)
{
  auto& entries = m_entries[aFingerprint];
  for (Entry& known : entries) {
    if (known.m_id == aEntry.m_id) {
      // The earliest expiry, so that a strike passed around in circles does not live longer.
      known.m_expiry = std::min(known.m_expiry, aEntry.m_expiry);
      known.m_correlated |= aEntry.m_correlated;
      known.m_cleared |= aEntry.m_cleared;
      return;
    }
  }
  entries.push_back(aEntry);
  if (++m_size > m_options.m_maxStrikes) {
    DropFirstToExpire();
  }
}

void QuarantineList::DropFirstToExpire()
{
  const auto expiresFirst = [](const Entry& aLeft, const Entry& aRight) {
    return std::pair(aLeft.m_expiry, aLeft.m_id) < std::pair(aRight.m_expiry, aRight.m_id);
  };
  auto victims = m_entries.end();
  std::vector<Entry>::iterator victim;
  for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
    const auto first = std::min_element(it->second.begin(), it->second.end(), expiresFirst);
    if (victims == m_entries.end() || expiresFirst(*first, *victim)) {
      victims = it;
      victim = first;
    }
  }
  victims->second.erase(victim);
  if (victims->second.empty()) {
    m_entries.erase(victims);
  }
  --m_size;
}

void QuarantineList::Forget(MonotonicTime aNow)
{
  // Remembered for a second lifetime: a delayed message must not bring an expired strike back.
  const MonotonicTime limit = aNow - m_options.m_lifetime;
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    m_size -=
      std::erase_if(it->second, [limit](const Entry& aEntry) { return aEntry.m_expiry <= limit; });
    it = it->second.empty() ? m_entries.erase(it) : std::next(it);
  }
}

void QuarantineList::MarkMassFailures(MonotonicTime aFirstExpiry)
{
  struct Seen
  {
    MonotonicTime m_expiry;
    std::uint64_t m_upstream;
    RequestFingerprint m_fingerprint;
    Entry* m_entry;
  };
  std::vector<Seen> seen;
  for (auto& [fingerprint, entries] : m_entries) {
    for (Entry& entry : entries) {
      if (entry.m_expiry >= aFirstExpiry) {
        seen.push_back({ entry.m_expiry, entry.m_upstream, fingerprint, &entry });
      }
    }
  }
  std::sort(seen.begin(), seen.end(), [](const Seen& aLeft, const Seen& aRight) {
    return aLeft.m_expiry < aRight.m_expiry;
  });
  // Expiries have the distances of the losses, as all strikes have one lifetime.
  std::map<std::uint64_t, std::size_t> upstreams;
  std::map<RequestFingerprint, std::size_t> fingerprints;
  std::size_t first = 0;
  std::size_t marked = 0;
  for (std::size_t last = 0; last < seen.size(); ++last) {
    ++upstreams[seen[last].m_upstream];
    ++fingerprints[seen[last].m_fingerprint];
    for (; seen[last].m_expiry - seen[first].m_expiry > m_options.m_massWindow; ++first) {
      if (--upstreams[seen[first].m_upstream] == 0) {
        upstreams.erase(seen[first].m_upstream);
      }
      if (--fingerprints[seen[first].m_fingerprint] == 0) {
        fingerprints.erase(seen[first].m_fingerprint);
      }
    }
    if (upstreams.size() < m_options.m_massUpstreams ||
        fingerprints.size() < m_options.m_massFingerprints) {
      continue;
    }
    for (marked = std::max(marked, first); marked <= last; ++marked) {
      seen[marked].m_entry->m_correlated = true;
    }
  }
}

std::size_t QuarantineList::CountDeaths(const std::vector<Entry>& aEntries,
                                        bool aWithDiscounted,
                                        MonotonicTime aNow) const
{
  std::vector<std::pair<std::uint64_t, MonotonicTime>> losses;
  for (const Entry& entry : aEntries) {
    const bool isDiscounted = entry.m_cleared || entry.m_correlated;
    if (entry.m_expiry > aNow && (aWithDiscounted || !isDiscounted)) {
      losses.emplace_back(entry.m_upstream, entry.m_expiry);
    }
  }
  // Two copies of a request at one upstream are lost in one death.
  std::sort(losses.begin(), losses.end());
  std::size_t deaths = 0;
  const std::pair<std::uint64_t, MonotonicTime>* death = nullptr;
  for (const auto& loss : losses) {
    if (death == nullptr || death->first != loss.first ||
        loss.second - death->second > m_options.m_sameDeath) {
      death = &loss;
      ++deaths;
    }
  }
  return deaths;
}

bool QuarantineList::IsQuarantined(const RequestFingerprint& aFingerprint, MonotonicTime aNow) const
{
  const auto found = m_entries.find(aFingerprint);
  return found != m_entries.end() &&
         (CountDeaths(found->second, false, aNow) >= m_options.m_crashThreshold ||
          CountDeaths(found->second, true, aNow) >= m_options.m_totalCrashThreshold);
}

bool QuarantineList::IsSuspect(const RequestFingerprint& aFingerprint, MonotonicTime aNow) const
{
  const auto found = m_entries.find(aFingerprint);
  return found != m_entries.end() && CountDeaths(found->second, true, aNow) > 0;
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
  Forget(aNow);
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
