#include "jaylane/policy/SharePlans.h"

#include "jaylane/policy/SlotError.h"

#include <algorithm>
#include <bit>
#include <map>
#include <utility>

namespace jaylane::policy {

namespace {

/// Lowest number of units per entry VM, so that shares differ by at most a quarter.
constexpr std::size_t kUnitsPerVm = 4;

/// Number of units that a VM has and that are to be added.
struct UnitQuota
{
  VmIncarnation m_vm;
  std::size_t m_units = 0;
  std::size_t m_added = 0;
};

std::vector<UnitQuota> CountUnits(const ShareTable& aTable, std::span<const VmIncarnation> aVms)
{
  std::map<VmIncarnation, std::size_t> counts;
  for (std::uint32_t unit = 0; unit < aTable.Units(); ++unit) {
    ++counts[aTable.OwnerOf(unit)];
  }
  std::vector<UnitQuota> quotas;
  for (const VmIncarnation& vm : aVms) {
    quotas.push_back({ vm, counts[vm], 0 });
  }
  return quotas;
}

/// Adds units one by one to the VM with the fewest, but none to a VM that has @p aLimit.
/// @return number of units added.
std::size_t Distribute(std::vector<UnitQuota>& aQuotas, std::size_t aUnits, std::size_t aLimit)
{
  const auto total = [](const UnitQuota& aQuota) { return aQuota.m_units + aQuota.m_added; };
  for (std::size_t done = 0; done < aUnits; ++done) {
    const auto least = std::ranges::min_element(aQuotas, {}, total);
    if (least == aQuotas.end() || total(*least) >= aLimit) {
      return done;
    }
    ++least->m_added;
  }
  return aUnits;
}

/// @return the receivers, each repeated for every unit that it gets. Equal ones are adjacent, so
/// neighbouring units go to one receiver, which gets several slots of few upstreams.
std::vector<VmIncarnation> Receivers(const std::vector<UnitQuota>& aQuotas)
{
  std::vector<VmIncarnation> receivers;
  for (const UnitQuota& quota : aQuotas) {
    receivers.insert(receivers.end(), quota.m_added, quota.m_vm);
  }
  return receivers;
}

std::vector<VmIncarnation> Without(std::span<const VmIncarnation> aVms,
                                   std::span<const VmIncarnation> aExcluded)
{
  std::vector<VmIncarnation> rest;
  for (const VmIncarnation& vm : aVms) {
    if (std::ranges::find(aExcluded, vm) == aExcluded.end()) {
      rest.push_back(vm);
    }
  }
  return rest;
}

} // namespace

std::vector<std::uint32_t> Donation::Units() const
{
  std::vector<std::uint32_t> units;
  for (const Move& move : m_moves) {
    units.push_back(move.m_unit);
  }
  return units;
}

base::Result<ShareTable> MakeInitialShareTable(const VmIncarnation& aSelf, std::size_t aExpectedVms)
{
  const std::size_t units = std::bit_ceil(kUnitsPerVm * std::max<std::size_t>(aExpectedVms, 1));
  return ShareTable::Make(
    static_cast<std::uint32_t>(std::min<std::size_t>(units, ShareTable::kMaxUnits)), aSelf);
}

std::optional<ShareTable> PlanGrowth(const ShareTable& aTable,
                                     std::span<const VmIncarnation> aRunning)
{
  std::optional<ShareTable> next;
  std::size_t units = aTable.Units();
  for (; units < kUnitsPerVm * aRunning.size() && units < ShareTable::kMaxUnits; units *= 2) {
    if (!next) {
      next = aTable;
    }
    next->Double();
  }
  return next;
}

std::optional<Donation> PlanDonation(const ShareTable& aTable,
                                     const VmIncarnation& aSelf,
                                     std::span<const VmIncarnation> aRunning)
{
  const bool leaves = std::ranges::find(aRunning, aSelf) == aRunning.end();
  const std::vector<std::uint32_t> own = aTable.UnitsOf(aSelf);
  const std::size_t fair = aTable.Units() / std::max<std::size_t>(aRunning.size(), 1);
  const std::size_t excess = leaves ? own.size() : own.size() - std::min(own.size(), fair);

  const VmIncarnation excluded[] = { aSelf };
  std::vector<UnitQuota> quotas = CountUnits(aTable, Without(aRunning, excluded));
  // Only VMs below the fair share receive units, so that units do not move back and forth.
  const std::size_t given = Distribute(quotas, excess, leaves ? aTable.Units() + 1 : fair);
  if (given == 0) {
    return std::nullopt;
  }
  Donation donation{ aSelf, {} };
  const std::vector<VmIncarnation> receivers = Receivers(quotas);
  // Donated units are spread over the donor's range. The slots of an upstream belong to consecutive
  // units, so with contiguous ranges a single VM would own all slots of a small upstream.
  for (std::size_t i = 0; i < given; ++i) {
    donation.m_moves.push_back({ own[i * own.size() / given], receivers[i] });
  }
  return donation;
}

base::Result<ShareTable> ApplyDonation(const ShareTable& aTable, const Donation& aDonation)
{
  ShareTable next = aTable;
  for (const Donation::Move& move : aDonation.m_moves) {
    if (move.m_unit >= aTable.Units() || aTable.OwnerOf(move.m_unit) != aDonation.m_donor) {
      return { make_error_code(SlotErrc::NotOwner) };
    }
    next.Assign(move.m_unit, move.m_receiver, 0);
  }
  return next;
}

std::optional<ShareTable> PlanReclaim(const ShareTable& aTable,
                                      std::uint64_t aVersion,
                                      std::span<const VmIncarnation> aGone,
                                      std::span<const VmIncarnation> aRunning)
{
  std::vector<std::uint32_t> units;
  for (std::uint32_t unit = 0; unit < aTable.Units(); ++unit) {
    if (std::ranges::find(aGone, aTable.OwnerOf(unit)) != aGone.end()) {
      units.push_back(unit);
    }
  }
  std::vector<UnitQuota> quotas = CountUnits(aTable, Without(aRunning, aGone));
  if (units.empty() || quotas.empty()) {
    return std::nullopt;
  }
  Distribute(quotas, units.size(), aTable.Units() + 1);
  ShareTable next = aTable;
  const std::vector<VmIncarnation> receivers = Receivers(quotas);
  for (std::size_t i = 0; i < units.size(); ++i) {
    // Only one write conditional on a version succeeds, so the version identifies the reclaim.
    next.Assign(units[i], receivers[i], aVersion);
  }
  return next;
}

} // namespace jaylane::policy
