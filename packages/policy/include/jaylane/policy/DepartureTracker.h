#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/ShareTable.h"

#include <map>
#include <span>
#include <vector>

namespace jaylane::policy {

/// Decides from the platform's VM list which owners of units no longer run.
///
/// A list that lacks an incarnation may simply be older than the incarnation. Hence an owner is
/// gone only if every list requested since the table named it lacks it, and one of them was
/// requested at least the list's greatest lag later.
class DepartureTracker
{
public:
  /// @param aListLag greatest age of a VM list at the time of its request, with a margin for
  /// the clock rate.
  explicit DepartureTracker(std::chrono::nanoseconds aListLag);

  /// @param aTable most recent table.
  /// @param aNow time at which it was received.
  void ObserveTable(const ShareTable& aTable, base::MonotonicTime aNow);

  /// @param aListed all incarnations of the list, leaving ones too: they still run.
  /// @param aRequestedAt time before the request was sent, as the response may come late.
  void ObserveList(std::span<const VmIncarnation> aListed, base::MonotonicTime aRequestedAt);

  /// @return owners that no longer run, sorted.
  std::vector<VmIncarnation> DepartedOwners() const;

private:
  struct Owner
  {
    base::MonotonicTime m_absentSince;
    bool m_gone = false;
  };

  const std::chrono::nanoseconds m_listLag;
  std::map<VmIncarnation, Owner> m_owners;
};

} // namespace jaylane::policy
