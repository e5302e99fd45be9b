#include "jaylane/policy/QuarantineList.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <xxhash.h>

namespace jaylane::policy {

using base::MonotonicTime;

namespace {

/// Strikes of one fingerprint in one announcement: as many as convict it.
constexpr std::size_t kAnnouncedPerFingerprint = 6;
/// Time for which a completion tells that a request does not crash every upstream.
constexpr std::chrono::seconds kRecentTime{ 20 };
/// Strikes per crash of a request of which many copies run at each upstream at the same time. It is
/// present at crashes whatever causes them.
constexpr std::size_t kPopularStrikes = 3;

} // namespace

QuarantineOptions QuarantineOptions::MakeForSharedPaths()
{
  QuarantineOptions options;
  options.m_lifetime = std::chrono::minutes{ 5 };
  // A path that many callers use is present at the crashes of a few flaky upstreams although it
  // completes at others. Only a request that never completes is quarantined soon.
  options.m_crashThreshold = 3;
  options.m_totalUpstreamThreshold = 6;
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
                                MonotonicTime aNow,
                                bool aIsRepeat)
{
  RemoveExpired(aNow);
  const std::array<std::uint64_t, 2> idParts{ m_observerId, m_nextStrike++ };
  const std::uint64_t id = XXH3_64bits(idParts.data(), sizeof(idParts));
  const auto expiry = aNow + m_options.m_lifetime;
  const std::uint32_t completions = m_completed.Count(aFingerprint, aNow);
  Add(aFingerprint,
      Entry{ id,
             aUpstream,
             expiry,
             false,
             aIsRepeat,
             completions < m_options.m_completionsPerCrash ? 0 : completions,
             completions > 0 });
  MarkMassFailures(expiry, expiry);
}

void QuarantineList::RecordCompleted(const RequestFingerprint& aFingerprint, MonotonicTime aNow)
{
  m_completed.Record(aFingerprint, aNow);
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end()) {
    return;
  }
  // Strikes are flagged instead of removed, so that an older message of a peer does not bring them
  // back.
  for (Entry& entry : found->second) {
    m_hasChanged |=
      entry.m_completions == 0 || (entry.m_completions + 1) % m_options.m_completionsPerCrash == 0;
    entry.m_completions = std::min(entry.m_completions + 1, kMaxCompletions);
  }
  RemoveExpired(aNow);
}

bool QuarantineList::Add(const RequestFingerprint& aFingerprint, const Entry& aEntry)
{
  auto& entries = m_entries[aFingerprint];
  for (Entry& existing : entries) {
    if (existing.m_id == aEntry.m_id) {
      Combine(existing, aEntry);
      return false;
    }
  }
  m_hasChanged = true;
  entries.push_back(aEntry);
  if (++m_size > m_options.m_maxStrikes) {
    EvictFirstToExpire();
  }
  return true;
}

void QuarantineList::Combine(Entry& aEntry, const Entry& aOther)
{
  const Entry before = aEntry;
  // The earliest expiry wins, so that passing a strike between peers does not prolong its life.
  aEntry.m_expiry = std::min(aEntry.m_expiry, aOther.m_expiry);
  aEntry.m_correlated |= aOther.m_correlated;
  aEntry.m_isRepeat |= aOther.m_isRepeat;
  aEntry.m_completions = std::max(aEntry.m_completions, aOther.m_completions);
  aEntry.m_hadCompleted |= aOther.m_hadCompleted;
  m_hasChanged |= aEntry != before;
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

void QuarantineList::MarkMassFailures(MonotonicTime aFirstExpiry, MonotonicTime aLastExpiry)
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
      if (entry.m_expiry >= aFirstExpiry - m_options.m_massFailureWindow &&
          entry.m_expiry <= aLastExpiry + m_options.m_massFailureWindow) {
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

QuarantineList::Evidence QuarantineList::Weigh(const RequestFingerprint& aFingerprint,
                                               const std::vector<Entry>& aEntries,
                                               MonotonicTime aNow) const
{
  std::vector<const Entry*> entries;
  for (const Entry& entry : aEntries) {
    if (entry.m_expiry > aNow) {
      entries.push_back(&entry);
    }
  }
  std::ranges::sort(entries, {}, [](const Entry* aEntry) {
    return std::make_pair(aEntry->m_upstream, aEntry->m_expiry);
  });
  Evidence evidence;
  evidence.m_fingerprint = aFingerprint;
  for (const Entry* entry : entries) {
    const bool isSameUpstream =
      !evidence.m_crashes.empty() && evidence.m_crashes.back().m_upstream == entry->m_upstream;
    // Copies of a request at the same upstream are lost in the same crash.
    if (!isSameUpstream ||
        entry->m_expiry - evidence.m_crashes.back().m_firstExpiry > m_options.m_sameCrashWindow) {
      evidence.m_crashes.push_back({ entry->m_upstream, entry->m_expiry });
    }
    Crash& crash = evidence.m_crashes.back();
    const bool isOpen = entry->m_completions == 0;
    const bool isCounted = isOpen && (entry->m_isRepeat || !entry->m_correlated);
    crash.m_isOpen |= isOpen;
    crash.m_isCounted |= isCounted;
    crash.m_isRepeat |= isCounted && entry->m_isRepeat;
    evidence.m_completions = std::max(evidence.m_completions, entry->m_completions);
    const bool isRecent = entry->m_expiry - m_options.m_lifetime > aNow - kRecentTime;
    evidence.m_hasCompleted |= isRecent && (entry->m_completions > 0 || entry->m_hadCompleted);
  }
  evidence.m_strikes = entries.size();
  evidence.m_open = std::ranges::count_if(evidence.m_crashes, &Crash::m_isOpen);
  evidence.m_counts = CountsWithout(evidence, {});
  return evidence;
}

CrashCounts QuarantineList::CountsWithout(const Evidence& aEvidence,
                                          const std::vector<Crash>& aExplained) const
{
  CrashCounts counts;
  counts.m_total = aEvidence.m_crashes.size();
  std::optional<std::uint64_t> lastUpstream;
  for (const Crash& crash : aEvidence.m_crashes) {
    const bool isExplained = std::ranges::any_of(aExplained, [&](const Crash& aOther) {
      // Not every strike of a culprit is known at every VM, so a request that completes is not
      // blamed for crashes at other upstreams meanwhile either.
      return (aEvidence.m_hasCompleted || aOther.m_upstream == crash.m_upstream) &&
             std::chrono::abs(aOther.m_firstExpiry - crash.m_firstExpiry) <=
               m_options.m_sameCrashWindow;
    });
    if (isExplained) {
      continue;
    }
    counts.m_upstreams += lastUpstream != crash.m_upstream ? 1 : 0;
    counts.m_counted += crash.m_isCounted ? 1 : 0;
    counts.m_repeats += crash.m_isRepeat ? 1 : 0;
    lastUpstream = crash.m_upstream;
  }
  return counts;
}

bool QuarantineList::ReachesThreshold(const CrashCounts& aCounts) const
{
  return aCounts.m_counted >= m_options.m_crashThreshold ||
         aCounts.m_repeats >= m_options.m_repeatThreshold;
}

std::size_t QuarantineList::OffsetBy(const Evidence& aEvidence) const
{
  return aEvidence.m_completions / m_options.m_completionsPerCrash;
}

std::vector<QuarantineList::Evidence> QuarantineList::WeighAll(MonotonicTime aNow) const
{
  const std::size_t fewestCrashes = std::min({ m_options.m_crashThreshold,
                                               m_options.m_repeatThreshold,
                                               m_options.m_totalUpstreamThreshold,
                                               m_options.m_totalCrashThreshold });
  std::vector<Evidence> all;
  for (const auto& [fingerprint, entries] : m_entries) {
    if (entries.size() >= fewestCrashes) {
      all.push_back(Weigh(fingerprint, entries, aNow));
    }
  }
  std::ranges::sort(all, std::ranges::greater{}, [](const Evidence& aEvidence) {
    // Of two that were present at the same crashes, the one that was sent less often explains more.
    const bool isPopular = aEvidence.m_strikes >= kPopularStrikes * aEvidence.m_crashes.size();
    return std::make_tuple(!aEvidence.m_hasCompleted,
                           !isPopular,
                           aEvidence.m_open,
                           -static_cast<std::int64_t>(aEvidence.m_strikes),
                           aEvidence.m_fingerprint);
  });
  return all;
}

void QuarantineList::UpdateQuarantined(MonotonicTime aNow) const
{
  if (!m_hasChanged && aNow < m_validUntil) {
    return;
  }
  m_hasChanged = false;
  m_validUntil = MonotonicTime::max();
  for (const auto& [fingerprint, entries] : m_entries) {
    for (const Entry& entry : entries) {
      if (entry.m_expiry > aNow) {
        m_validUntil = std::min(m_validUntil, entry.m_expiry);
      }
    }
  }
  m_quarantined.clear();
  std::vector<RequestFingerprint> culprits;
  std::vector<Crash> explained;
  for (const Evidence& evidence : WeighAll(aNow)) {
    const CrashCounts counts = CountsWithout(evidence, explained);
    const std::size_t offset = OffsetBy(evidence);
    const bool isCulprit = !evidence.m_hasCompleted && ReachesThreshold(counts);
    if (isCulprit) {
      culprits.push_back(evidence.m_fingerprint);
    }
    const bool isAtTooManyUpstreams =
      counts.m_upstreams >= m_options.m_totalUpstreamThreshold + offset;
    if (isAtTooManyUpstreams || counts.m_total >= m_options.m_totalCrashThreshold + offset) {
      m_quarantined.insert(evidence.m_fingerprint);
    }
    if (isCulprit || isAtTooManyUpstreams) {
      explained.insert(explained.end(), evidence.m_crashes.begin(), evidence.m_crashes.end());
    }
  }
  if (culprits.size() < m_options.m_maxCulprits) {
    m_quarantined.insert(culprits.begin(), culprits.end());
  }
}

CrashCounts QuarantineList::Crashes(const RequestFingerprint& aFingerprint,
                                    MonotonicTime aNow) const
{
  const auto found = m_entries.find(aFingerprint);
  return found == m_entries.end() ? CrashCounts{}
                                  : Weigh(aFingerprint, found->second, aNow).m_counts;
}

void QuarantineList::Lift(const RequestFingerprint& aFingerprint)
{
  const auto found = m_entries.find(aFingerprint);
  if (found == m_entries.end()) {
    return;
  }
  for (Entry& entry : found->second) {
    entry.m_completions = kMaxCompletions;
  }
  m_hasChanged = true;
}

bool QuarantineList::HasQuarantined(MonotonicTime aNow) const
{
  if (m_entries.empty()) {
    return false;
  }
  UpdateQuarantined(aNow);
  return !m_quarantined.empty();
}

bool QuarantineList::IsQuarantined(const RequestFingerprint& aFingerprint, MonotonicTime aNow) const
{
  if (!m_entries.contains(aFingerprint)) {
    return false;
  }
  UpdateQuarantined(aNow);
  return m_quarantined.contains(aFingerprint);
}

bool QuarantineList::IsSuspect(const RequestFingerprint& aFingerprint, MonotonicTime aNow) const
{
  const auto found = m_entries.find(aFingerprint);
  return found != m_entries.end() &&
         std::ranges::any_of(found->second, [aNow](const Entry& aEntry) {
           return aEntry.m_expiry > aNow && aEntry.m_completions == 0;
         });
}

Strike QuarantineList::ToStrike(const RequestFingerprint& aFingerprint,
                                const Entry& aEntry,
                                MonotonicTime aNow) const
{
  return {
    aFingerprint,         aEntry.m_id,
    aEntry.m_upstream,    std::chrono::floor<std::chrono::milliseconds>(aEntry.m_expiry - aNow),
    aEntry.m_correlated,  aEntry.m_isRepeat,
    aEntry.m_completions, aEntry.m_hadCompleted
  };
}

std::vector<Strike> QuarantineList::Strikes(MonotonicTime aNow) const
{
  std::vector<Strike> strikes;
  for (const auto& [fingerprint, entries] : m_entries) {
    for (const Entry& entry : entries) {
      if (entry.m_expiry > aNow) {
        strikes.push_back(ToStrike(fingerprint, entry, aNow));
      }
    }
  }
  return strikes;
}

std::vector<Strike> QuarantineList::StrikesToAnnounce(std::size_t aMaxCount,
                                                      MonotonicTime aNow) const
{
  struct Ranked
  {
    /// Whether the strike is among those that convict the fingerprint, repeats and crashes of the
    /// fingerprint, and expiry of the strike.
    std::tuple<bool, std::size_t, std::size_t, MonotonicTime> m_rank;
    const RequestFingerprint* m_fingerprint = nullptr;
    const Entry* m_entry = nullptr;
  };
  std::vector<Ranked> ranked;
  for (const auto& [fingerprint, entries] : m_entries) {
    // A request that was present at one crash is one of many.
    CrashCounts counts;
    if (entries.size() > 1) {
      counts = Weigh(fingerprint, entries, aNow).m_counts;
    }
    const std::size_t crashes = counts.m_total > 1 ? counts.m_total : 0;
    std::size_t index = 0;
    for (const Entry* entry : NewestEntries(entries, aNow)) {
      // Otherwise the strikes of fingerprints that are convicted everywhere would crowd out those
      // of the next one.
      const bool isConvicting = crashes > 0 && index++ < m_options.m_crashThreshold;
      ranked.push_back(
        { { isConvicting, counts.m_repeats, crashes, entry->m_expiry }, &fingerprint, entry });
    }
  }
  const auto last = ranked.begin() + std::min(aMaxCount, ranked.size());
  std::ranges::partial_sort(ranked, last, std::ranges::greater{}, &Ranked::m_rank);
  std::vector<Strike> strikes;
  std::transform(ranked.begin(), last, std::back_inserter(strikes), [&](const Ranked& aRanked) {
    return ToStrike(*aRanked.m_fingerprint, *aRanked.m_entry, aNow);
  });
  return strikes;
}

std::vector<const QuarantineList::Entry*> QuarantineList::NewestEntries(
  const std::vector<Entry>& aEntries,
  MonotonicTime aNow)
{
  std::vector<const Entry*> newest;
  for (const Entry& entry : aEntries) {
    if (entry.m_expiry > aNow) {
      newest.push_back(&entry);
    }
  }
  std::ranges::sort(newest, std::ranges::greater{}, [](const Entry* aEntry) {
    return std::make_pair(aEntry->m_isRepeat, aEntry->m_expiry);
  });
  newest.resize(std::min(newest.size(), kAnnouncedPerFingerprint));
  return newest;
}

bool QuarantineList::Merge(const std::vector<Strike>& aStrikes, MonotonicTime aNow)
{
  RemoveExpired(aNow);
  bool hasNewRepeat = false;
  MonotonicTime firstExpiry = MonotonicTime::max();
  MonotonicTime lastExpiry = MonotonicTime::min();
  for (const Strike& strike : aStrikes) {
    const auto left = std::min(strike.m_remaining, m_options.m_lifetime);
    if (left <= std::chrono::milliseconds::zero()) {
      continue;
    }
    const Entry entry{ strike.m_id,          strike.m_upstream,
                       aNow + left,          strike.m_correlated,
                       strike.m_isRepeat,    std::min(strike.m_completions, kMaxCompletions),
                       strike.m_hadCompleted };
    if (Add(strike.m_fingerprint, entry)) {
      firstExpiry = std::min(firstExpiry, entry.m_expiry);
      lastExpiry = std::max(lastExpiry, entry.m_expiry);
      hasNewRepeat |= entry.m_isRepeat;
    }
  }
  if (firstExpiry <= lastExpiry) {
    MarkMassFailures(firstExpiry, lastExpiry);
  }
  return hasNewRepeat;
}

} // namespace jaylane::policy
