#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/Fleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::policy {

/// Which registered upstreams exist, from entries that may lapse while the store is away.
/// Load pattern: every registration expires in a store outage and returns shortly after it.
///
/// An upstream whose entry vanishes is gone, except shortly after the store was unreachable:
/// then it stays until the registration had time to come back. Not thread safe.
class UpstreamRegistry
{
public:
  struct Options
  {
    /// Registrations that lapsed in an outage are back this long after it.
    std::chrono::milliseconds m_returnTime{ 2300 };
    /// Share of the entries of a service that may vanish at once without doubt.
    double m_plausibleLoss = 0.5;
  };

  explicit UpstreamRegistry(Options aOptions);

  /// Replaces all entries by a full list.
  void Replace(std::vector<Upstream> aEntries, base::MonotonicTime aNow);

  /// Applies one changed entry.
  void Put(Upstream aEntry, base::MonotonicTime aNow);

  /// Applies the removal of an entry.
  /// @param aRevision revision of the removal; an older entry does not come back.
  void Remove(const std::string& aId, std::uint64_t aRevision, base::MonotonicTime aNow);

  /// Records that the store answered again after a failure.
  void OnStoreRecovered(base::MonotonicTime aNow);

  /// Drops entries whose time to return is over.
  /// @return whether anything changed.
  bool RemoveExpired(base::MonotonicTime aNow);

  /// An upstream and when this VM read its entry.
  struct Record
  {
    Upstream m_upstream;
    base::MonotonicTime m_readAt;
    /// Set while the entry is missing but may return.
    bool m_lapsed = false;
    base::MonotonicTime m_lapseEnd;
  };

  const std::map<std::string, Record>& Records() const { return m_records; }

private:
  bool IsReturnTime(base::MonotonicTime aNow) const;
  void Lapse(Record& aRecord, base::MonotonicTime aNow);

  Options m_options;
  std::map<std::string, Record> m_records;
  bool m_recovered = false;
  base::MonotonicTime m_recoveredAt;
};

} // namespace jaylane::policy
