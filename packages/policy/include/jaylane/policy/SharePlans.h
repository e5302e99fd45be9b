#pragma once

#include "jaylane/policy/ShareTable.h"

#include <optional>
#include <span>
#include <vector>

namespace jaylane::policy {

/// Share units that one VM transfers to others.
struct Donation
{
  struct Move
  {
    std::uint32_t m_unit = 0;
    VmIncarnation m_receiver;
  };

  VmIncarnation m_donor;
  std::vector<Move> m_moves;

  std::vector<std::uint32_t> Units() const;
};

/// @param aSelf the zone's first VM, which creates the table and owns all units at first.
/// @param aExpectedVms number of entry VMs planned for the zone.
/// @return a table with at least four units per VM, as far as ShareTable::kMaxUnits allows.
base::Result<ShareTable> MakeInitialShareTable(const VmIncarnation& aSelf,
                                               std::size_t aExpectedVms);

/// @param aRunning incarnations of the zone's running VMs, without leaving ones.
/// @return a table whose number of units is doubled until there are four units per VM, or nothing
/// if there are enough. Needs no draining, because no slot changes its owner.
std::optional<ShareTable> PlanGrowth(const ShareTable& aTable,
                                     std::span<const VmIncarnation> aRunning);

/// Plans to transfer this VM's units above the fair share to the VMs that have the fewest, or all
/// of its units if @p aSelf is leaving, that is, not in @p aRunning.
/// @return the donation, whose units have to be drained first, or nothing if there is no unit to
/// give or no VM to receive one.
std::optional<Donation> PlanDonation(const ShareTable& aTable,
                                     const VmIncarnation& aSelf,
                                     std::span<const VmIncarnation> aRunning);

/// @param aDonation donation whose units the donor has drained, see SlotPool::BeginDonation().
/// @return the table to write, or NotOwner if a unit is no longer the donor's.
base::Result<ShareTable> ApplyDonation(const ShareTable& aTable, const Donation& aDonation);

/// Reassigns the units of incarnations that no longer run. The reclaim id tells the new owners to
/// keep the units unused for the quarantine time, since attempts and leases of the old owner may
/// still be in progress.
/// @param aVersion store version that @p aTable was read at; the write must be conditional on it.
/// @param aGone from DepartureTracker::DepartedOwners().
/// @return the table to write, or nothing if there is nothing to reclaim or no receiver.
std::optional<ShareTable> PlanReclaim(const ShareTable& aTable,
                                      std::uint64_t aVersion,
                                      std::span<const VmIncarnation> aGone,
                                      std::span<const VmIncarnation> aRunning);

} // namespace jaylane::policy
