#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/ShareTable.h"

#include <map>
#include <span>
#include <vector>

namespace jaylane::policy {

/// Determines from the platform's VM lists which owners in a share table no longer run.
///
/// A list that lacks an incarnation may simply be older than the incarnation. Therefore an owner
/// has departed only if all lists lack it that were requested since a table first named it or a
/// list last contained it, and one of them was requested at least the greatest lag of a list later.
/// Not thread safe.
class DepartureTracker
{
public:
  /// @param aListLag greatest age of a VM list at the time of its request, including a margin for
  ///   clock drift.
  explicit DepartureTracker(std::chrono::nanoseconds aListLag);

  /// Replaces the set of owners.
  /// @param aTable most recent table.
  /// @param aNow when the table was received.
  void ObserveTable(const ShareTable& aTable, base::MonotonicTime aNow);

  /// Applies a VM list.
  /// @param aListed all incarnations in the list. Those that are leaving still run.
  /// @param aRequestedAt a time before the list was requested, since its response may be delayed.
  void ObserveList(std::span<const VmIncarnation> aListed, base::MonotonicTime aRequestedAt);

  /// @return owners that no longer run, sorted.
  std::vector<VmIncarnation> DepartedOwners() const;

private:
  struct Owner
  {
    /// When a table first named the owner, or the last list that contained it was requested.
    base::MonotonicTime m_absentSince;
    bool m_hasDeparted = false;
  };

  const std::chrono::nanoseconds m_listLag;
  std::map<VmIncarnation, Owner> m_owners;
};

} // namespace jaylane::policy
