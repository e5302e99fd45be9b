#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/Fleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::policy {

/// Tracks the registered upstreams by their entries in the store.
/// Load pattern: all registrations expire during an outage of the store and are renewed shortly
/// after it, or the store returns from an older copy, in which upstreams that have left since are
/// registered and newer ones are not.
///
/// An upstream whose entry disappears is removed. However, if that happens during an outage of the
/// store for this VM or shortly after it, or to most entries at once, the upstream is kept as stale
/// for a while in which it can register again. Outages of other VMs do not count: a VM that reaches
/// the store must act on removals within the drain time.
///
/// After a return from an older copy, upstreams that the copy lacks are kept for the same time.
/// What the copy says of an upstream takes back nothing that this VM knew of the same incarnation:
/// one that was draining stays so, and one that was removed is held back until it writes again or
/// has been registered for longer than the entry of an ended upstream stays. Not thread safe.
class UpstreamRegistry
{
public:
  struct Options
  {
    /// Time after an outage of the store in which expired registrations are renewed.
    std::chrono::milliseconds m_gracePeriod{ 2300 };
    /// Time for which a removal that becomes known during an outage is held back unless the outage
    /// ends meanwhile. Peers that reach the store again somewhat earlier tell of expired
    /// registrations; peers of a VM that is cut off tell of upstreams that have left.
    std::chrono::milliseconds m_outageHold{ 1000 };
    /// Fraction of a service's entries that may be missing from a new list. If more are missing,
    /// they are kept as stale.
    double m_maxPlausibleLoss = 0.5;
    /// Time after which the store has removed the entry of an upstream that has ended, with a
    /// margin.
    std::chrono::milliseconds m_entryLifetime{ 6000 };
    /// Age that a copy of the store does not reach. Earlier removals are forgotten.
    std::chrono::milliseconds m_maxCopyAge{ 60'000 };
  };

  explicit UpstreamRegistry(Options aOptions);

  /// Applies a complete list of the entries.
  void Replace(std::vector<Upstream> aEntries, base::MonotonicTime aNow);

  /// Applies a new or changed entry. Ignored unless it is newer than the present one.
  void Put(Upstream aEntry, base::MonotonicTime aNow);

  /// Applies the removal of an entry.
  /// @param aRevision revision of the removal; ignored if the present entry is newer.
  void Remove(const std::string& aId, StoreRevision aRevision, base::MonotonicTime aNow);

  /// Records that the store does not answer this VM.
  void OnStoreUnreachable() { m_isStoreUnreachable = true; }

  /// Records that the store answers this VM again.
  void OnStoreRecovered(base::MonotonicTime aNow);

  /// Records that the store has returned from an older copy. To be called before the first list of
  /// the new era.
  void OnStoreRestored(std::uint64_t aEra, base::MonotonicTime aNow);

  /// Removes stale entries whose grace period is over, and adds those that were held back for long
  /// enough.
  /// @return whether there were any.
  bool RemoveExpired(base::MonotonicTime aNow);

  /// An upstream with the time at which this VM read its entry.
  struct Record
  {
    Upstream m_upstream;
    base::MonotonicTime m_readAt;
    /// Whether the entry is missing from the store but may be renewed until m_staleUntil.
    bool m_isStale = false;
    base::MonotonicTime m_staleUntil;
  };

  const std::map<std::string, Record>& Records() const { return m_records; }

  /// @return whether the upstream may have ended, and its address may belong to another one,
  /// without
  ///         this VM being told: during an outage of the store and until all had time to register
  ///         after it, or while the entry is missing.
  bool MayBeOutdated(const Record& aRecord, base::MonotonicTime aNow) const;

private:
  /// An upstream that was removed.
  struct Removal
  {
    std::int64_t m_startedAtMs = 0;
    /// Era of the store in which it was removed.
    std::uint64_t m_era = 0;
    base::MonotonicTime m_at;
  };
  /// An upstream that was removed and stands in an older copy of the store.
  struct HeldEntry
  {
    Upstream m_upstream;
    base::MonotonicTime m_until;
  };

  bool IsInGracePeriod(base::MonotonicTime aNow) const;
  void StartGracePeriod(base::MonotonicTime aNow);
  void MarkStale(Record& aRecord, base::MonotonicTime aNow);
  /// Applies an entry of a list, or holds it back.
  void PutListed(Upstream aEntry, base::MonotonicTime aNow);
  /// @return whether a list's entry may be what an older copy says of an upstream that was removed.
  bool IsFromCopy(const Upstream& aEntry, base::MonotonicTime aNow) const;
  /// Adds the entry, or changes the record of its upstream by it.
  void Insert(Upstream aEntry, base::MonotonicTime aNow);
  /// Removes a record and remembers the removal.
  /// @return the next record.
  std::map<std::string, Record>::iterator Erase(std::map<std::string, Record>::iterator aRecord,
                                                base::MonotonicTime aNow);

  Options m_options;
  std::map<std::string, Record> m_records;
  /// Removals of the last m_maxCopyAge, by id.
  std::map<std::string, Removal> m_removals;
  std::map<std::string, HeldEntry> m_held;
  /// Era that the last return of the store has begun; 0 before the first one.
  std::uint64_t m_era = 0;
  bool m_isStoreUnreachable = false;
  bool m_hasRecovered = false;
  base::MonotonicTime m_recoveredAt;
};

} // namespace jaylane::policy
