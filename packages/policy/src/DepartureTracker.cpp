#include "jaylane/policy/DepartureTracker.h"

#include <algorithm>

namespace jaylane::policy {

DepartureTracker::DepartureTracker(std::chrono::nanoseconds aListLag)
  : m_listLag(aListLag)
{
}

void DepartureTracker::ObserveTable(const ShareTable& aTable, base::MonotonicTime aNow)
{
  std::map<VmIncarnation, Owner> owners;
  for (const VmIncarnation& owner : aTable.Owners()) {
    const auto existing = m_owners.find(owner);
    owners[owner] = existing != m_owners.end() ? existing->second : Owner{ aNow, false };
  }
  m_owners = std::move(owners);
}

void DepartureTracker::ObserveList(std::span<const VmIncarnation> aListed,
                                   base::MonotonicTime aRequestedAt)
{
  for (auto& [incarnation, owner] : m_owners) {
    if (std::ranges::find(aListed, incarnation) != aListed.end()) {
      owner = Owner{ std::max(owner.m_absentSince, aRequestedAt), false };
    } else if (aRequestedAt - owner.m_absentSince >= m_listLag) {
      owner.m_hasDeparted = true;
    }
  }
}

std::vector<VmIncarnation> DepartureTracker::DepartedOwners() const
{
  std::vector<VmIncarnation> departed;
  for (const auto& [incarnation, owner] : m_owners) {
    if (owner.m_hasDeparted) {
      departed.push_back(incarnation);
    }
  }
  return departed;
}

} // namespace jaylane::policy
