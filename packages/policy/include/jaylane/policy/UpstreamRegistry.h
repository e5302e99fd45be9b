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
/// after it.
///
/// An upstream whose entry disappears is removed. However, if that happens during an outage of the
/// store for this VM or shortly after it, or to most entries at once, the upstream is kept as stale
/// for a while in which it can register again. Outages of other VMs do not count: a VM that reaches
/// the store must act on removals within the drain time. Not thread safe.
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

  /// Removes stale entries whose grace period is over.
  /// @return whether any was removed.
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

private:
  bool IsInGracePeriod(base::MonotonicTime aNow) const;
  void MarkStale(Record& aRecord, base::MonotonicTime aNow);

  Options m_options;
  std::map<std::string, Record> m_records;
  bool m_isStoreUnreachable = false;
  bool m_hasRecovered = false;
  base::MonotonicTime m_recoveredAt;
};

} // namespace jaylane::policy
