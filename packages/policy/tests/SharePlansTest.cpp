#include "jaylane/policy/SharePlans.h"
#include "jaylane/policy/DepartureTracker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

std::vector<VmIncarnation> Vms(std::size_t aCount)
{
  std::vector<VmIncarnation> vms;
  for (std::size_t i = 0; i < aCount; ++i) {
    vms.push_back("vm-" + std::to_string(i));
  }
  return vms;
}

ShareTable MakeTableWithOwners(const std::vector<std::uint8_t>& aOwners)
{
  ShareTable table = *MakeInitialShareTable("vm-0", 8);
  for (std::size_t i = 0; i < aOwners.size(); ++i) {
    table.Assign(i % table.Units(), "vm-" + std::to_string(aOwners[i] % 8), 0);
  }
  return table;
}

// Guards against shares that never settle because units move back and forth.
RC_GTEST_PROP(SharePlans, DonationsSettleAtFairShares, (const std::vector<std::uint8_t>& aOwners))
{
  const auto vms = Vms(8);
  ShareTable table = MakeTableWithOwners(aOwners);
  bool changed = true;
  for (int round = 0; changed; ++round) {
    RC_ASSERT(round < 3);
    changed = false;
    for (const VmIncarnation& vm : vms) {
      if (const auto donation = PlanDonation(table, vm, vms)) {
        table = *ApplyDonation(table, *donation);
        changed = true;
      }
    }
  }
  for (const VmIncarnation& vm : vms) {
    RC_ASSERT(table.UnitsOf(vm).size() == table.Units() / vms.size());
  }
}

// Guards against units that a leaving VM keeps, or that its donation takes from another VM.
RC_GTEST_PROP(SharePlans, LeavingVmGivesAwayAllItsUnits, (const std::vector<std::uint8_t>& aOwners))
{
  const ShareTable table = MakeTableWithOwners(aOwners);
  auto vms = Vms(8);
  std::erase(vms, "vm-3");
  const auto donation = PlanDonation(table, "vm-3", vms);
  RC_ASSERT(donation.has_value() == !table.UnitsOf("vm-3").empty());
  const ShareTable after = donation ? *ApplyDonation(table, *donation) : table;
  for (std::uint32_t unit = 0; unit < table.Units(); ++unit) {
    RC_ASSERT((table.OwnerOf(unit) == "vm-3") != (after.OwnerOf(unit) == table.OwnerOf(unit)));
  }
}

// Guards against a donation planned with an old table that takes a unit from its new owner.
TEST(SharePlans, DonationOfAnotherOwnersUnitFails)
{
  ShareTable table = *MakeInitialShareTable("vm-0", 2);
  const auto donation = PlanDonation(table, "vm-0", Vms(2));
  ASSERT_TRUE(donation);
  table.Assign(donation->m_moves.front().m_unit, "vm-2", 0);
  EXPECT_FALSE(ApplyDonation(table, *donation));
}

// Guards against a reclaim that takes units of running VMs or leaves out the quarantine.
RC_GTEST_PROP(SharePlans, ReclaimMarksExactlyTheUnitsOfGoneVms, (std::vector<std::uint8_t> aOwners))
{
  const ShareTable table = MakeTableWithOwners(aOwners);
  const VmIncarnation gone[] = { "vm-2", "vm-5" };
  const auto after = PlanReclaim(table, 17, gone, Vms(8));
  RC_ASSERT(after.has_value() == !(table.UnitsOf("vm-2").empty() && table.UnitsOf("vm-5").empty()));
  for (std::uint32_t unit = 0; after && unit < table.Units(); ++unit) {
    const bool wasGone = std::ranges::find(gone, table.OwnerOf(unit)) != std::end(gone);
    RC_ASSERT(after->ReclaimIdOf(unit) == (wasGone ? 17u : 0u));
    RC_ASSERT(wasGone || after->OwnerOf(unit) == table.OwnerOf(unit));
    RC_ASSERT(std::ranges::find(gone, after->OwnerOf(unit)) == std::end(gone));
  }
}

// Guards against too few units for the VMs of a zone that has grown.
TEST(SharePlans, GrowsToFourUnitsPerVm)
{
  const ShareTable table = *MakeInitialShareTable("vm-0", 12);
  EXPECT_EQ(table.Units(), 64u);
  EXPECT_FALSE(PlanGrowth(table, Vms(16)));
  EXPECT_EQ(PlanGrowth(table, Vms(17))->Units(), 128u);
  EXPECT_EQ(PlanGrowth(table, Vms(147))->Units(), 1024u);
}

// Guards against taking a VM as gone because the VM list is older than the VM.
TEST(DepartureTracker, AbsenceCountsOnlyInListsRequestedAfterTheLag)
{
  const base::MonotonicTime start{ std::chrono::hours{ 1 } };
  const std::chrono::seconds lag{ 30 };
  const std::vector<VmIncarnation> empty;
  const std::vector<VmIncarnation> listed{ "vm-0" };
  DepartureTracker tracker(lag);
  tracker.ObserveTable(*MakeInitialShareTable("vm-0", 2), start);
  tracker.ObserveList(empty, start + lag - std::chrono::seconds{ 1 });
  EXPECT_TRUE(tracker.DepartedOwners().empty());
  tracker.ObserveList(listed, start + lag);
  tracker.ObserveList(empty, start + lag + std::chrono::seconds{ 1 });
  EXPECT_TRUE(tracker.DepartedOwners().empty());
  tracker.ObserveList(empty, start + 2 * lag);
  EXPECT_EQ(tracker.DepartedOwners(), listed);
}

} // namespace
} // namespace jaylane::policy
