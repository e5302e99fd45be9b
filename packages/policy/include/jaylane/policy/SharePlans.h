#pragma once

#include "jaylane/policy/ShareTable.h"

#include <optional>
#include <span>
#include <vector>

namespace jaylane::policy {

/// Units that one owner gives to others.
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

/// @param aSelf the first VM of the zone; it creates the object and owns all units.
/// @param aExpectedVms number of entry VMs planned for the zone.
/// @return a table with at least four units per VM.
base::Result<ShareTable> MakeInitial(const VmIncarnation& aSelf, std::size_t aExpectedVms);

/// @param aRunning incarnations of the zone's running VMs, without leaving ones.
/// @return a table with twice the units as often as needed for four units per VM, or
/// nothing if there are enough. Needs no draining: no slot changes its owner.
std::optional<ShareTable> PlanGrowth(const ShareTable& aTable,
                                     std::span<const VmIncarnation> aRunning);

/// Gives units above the fair share to the VMs that have the fewest; all of them if
/// @p aSelf is not in @p aRunning, that is, leaves.
/// @return the units to drain first, or nothing if no other VM lacks units.
std::optional<Donation> PlanDonation(const ShareTable& aTable,
                                     const VmIncarnation& aSelf,
                                     std::span<const VmIncarnation> aRunning);

/// @param aDonation whose units the donor has drained (SlotPool::BeginWrite).
/// @return the table to write, or NotOwner if a unit is no longer the donor's.
base::Result<ShareTable> ApplyDonation(const ShareTable& aTable, const Donation& aDonation);

/// Reassigns the units of incarnations that no longer run. The new owners see a reclaim
/// mark and wait for the quarantine delay, since attempts and leases of the old owner may
/// still run.
/// @param aVersion store version that @p aTable was read at; the write must be conditional on it.
/// @param aGone from DepartureTracker::DepartedOwners().
/// @return the table to write, or nothing if there is nothing to reclaim or no receiver.
std::optional<ShareTable> PlanReclaim(const ShareTable& aTable,
                                      std::uint64_t aVersion,
                                      std::span<const VmIncarnation> aGone,
                                      std::span<const VmIncarnation> aRunning);

} // namespace jaylane::policy
