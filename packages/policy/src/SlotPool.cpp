#include "jaylane/policy/SlotPool.h"

#include "jaylane/policy/SlotError.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace jaylane::policy {

SlotPool::SlotPool(VmIncarnation aSelf, Options aOptions)
  : m_self(std::move(aSelf))
  , m_options(aOptions)
{
}

UpstreamIndex SlotPool::SetUpstream(const std::string& aId, std::uint32_t aSlots)
{
  const auto [entry, added] = m_index.try_emplace(aId, UpstreamIndex(m_upstreams.size()));
  if (added) {
    m_upstreams.emplace_back();
    m_upstreams.back().m_id = aId;
    m_upstreams.back().m_hash = HashUpstream(aId);
  }
  Upstream& upstream = m_upstreams[entry->second];
  upstream.m_slots = aSlots;
  // Never shrinks: attempts and leases may still run on slots that were removed.
  upstream.m_owned.resize(std::max<std::size_t>(upstream.m_owned.size(), aSlots));
  return entry->second;
}

std::optional<UpstreamIndex> SlotPool::Find(const std::string& aId) const
{
  const auto found = m_index.find(aId);
  return found != m_index.end() ? std::optional(found->second) : std::nullopt;
}

void SlotPool::ResizeUnits(std::uint32_t aUnits)
{
  const std::size_t before = m_units.size();
  if (before == aUnits) {
    return;
  }
  assert(aUnits > before);
  m_units.resize(aUnits);
  for (std::size_t unit = 0; before != 0 && unit < aUnits; ++unit) {
    m_units[unit] = m_units[unit % before];
    m_units[unit].m_draining = false;
  }
}

void SlotPool::UpdateUnit(Unit& aUnit, std::uint32_t aIndex, base::MonotonicTime aNow)
{
  const bool owned = m_table->OwnerOf(aIndex) == m_self;
  const std::uint64_t reclaimId = m_table->ReclaimIdOf(aIndex);
  if (owned && reclaimId != 0 && (!aUnit.m_owned || aUnit.m_reclaimId != reclaimId)) {
    aUnit.m_quarantinedUntil = aNow + m_options.m_quarantine;
  }
  if (!owned || (aUnit.m_donationSent && m_version > aUnit.m_donationVersion)) {
    aUnit.m_donationSent = false;
    aUnit.m_draining = false;
  }
  aUnit.m_owned = owned;
  aUnit.m_reclaimId = reclaimId;
}

bool SlotPool::ApplyTable(const ShareTable& aTable,
                          std::uint64_t aVersion,
                          base::MonotonicTime aNow)
{
  if (m_table && aVersion <= m_version) {
    return false;
  }
  if (m_table && aTable.Units() < m_table->Units()) {
    return false;
  }
  m_table = aTable;
  m_version = aVersion;
  ResizeUnits(aTable.Units());
  for (std::uint32_t unit = 0; unit < aTable.Units(); ++unit) {
    UpdateUnit(m_units[unit], unit, aNow);
  }
  return true;
}

void SlotPool::BeginDrain(std::span<const std::uint32_t> aUnits)
{
  for (const std::uint32_t unit : aUnits) {
    if (unit < m_units.size()) {
      m_units[unit].m_draining = true;
    }
  }
}

void SlotPool::CancelDrain(std::span<const std::uint32_t> aUnits)
{
  for (const std::uint32_t unit : aUnits) {
    if (unit < m_units.size() && !m_units[unit].m_donationSent) {
      m_units[unit].m_draining = false;
    }
  }
}

bool SlotPool::HasBusySlot(const Upstream& aUpstream,
                           const std::vector<bool>& aUnits,
                           base::MonotonicTime aNow) const
{
  for (std::uint32_t slot = 0; slot < aUpstream.m_owned.size(); ++slot) {
    const OwnedSlot& owned = aUpstream.m_owned[slot];
    const bool busy = owned.m_inFlight || aNow < owned.m_lentUntil;
    if (busy && aUnits[m_table->UnitOf(aUpstream.m_hash, slot)]) {
      return true;
    }
  }
  return false;
}

bool SlotPool::IsDrained(std::span<const std::uint32_t> aUnits, base::MonotonicTime aNow) const
{
  std::vector<bool> units(m_units.size());
  for (const std::uint32_t unit : aUnits) {
    if (unit >= m_units.size() || !m_units[unit].m_draining ||
        aNow < m_units[unit].m_quarantinedUntil) {
      return false;
    }
    units[unit] = true;
  }
  return std::ranges::none_of(
    m_upstreams, [&](const Upstream& aUpstream) { return HasBusySlot(aUpstream, units, aNow); });
}

base::Status SlotPool::BeginDonation(std::span<const std::uint32_t> aUnits,
                                     std::uint64_t aVersion,
                                     base::MonotonicTime aNow)
{
  if (!m_table || aVersion != m_version) {
    return { make_error_code(SlotErrc::StaleTable) };
  }
  if (!IsDrained(aUnits, aNow)) {
    return { make_error_code(SlotErrc::NotDrained) };
  }
  if (!std::ranges::all_of(aUnits, [&](std::uint32_t aUnit) { return m_units[aUnit].m_owned; })) {
    return { make_error_code(SlotErrc::NotOwner) };
  }
  for (const std::uint32_t unit : aUnits) {
    m_units[unit].m_donationSent = true;
    m_units[unit].m_donationVersion = aVersion;
  }
  return base::Success{};
}

bool SlotPool::IsUsable(const Upstream& aUpstream,
                        std::uint32_t aSlot,
                        base::MonotonicTime aNow) const
{
  const Unit& unit = m_units[m_table->UnitOf(aUpstream.m_hash, aSlot)];
  return unit.m_owned && !unit.m_draining && !unit.m_donationSent &&
         aNow >= unit.m_quarantinedUntil;
}

bool SlotPool::IsFree(const Upstream& aUpstream,
                      std::uint32_t aSlot,
                      base::MonotonicTime aNow) const
{
  const OwnedSlot& owned = aUpstream.m_owned[aSlot];
  return !owned.m_inFlight && aNow >= owned.m_lentUntil && IsUsable(aUpstream, aSlot, aNow);
}

std::optional<SlotTicket> SlotPool::Acquire(UpstreamIndex aUpstream,
                                            base::MonotonicTime aNow,
                                            std::chrono::nanoseconds aTimeout)
{
  Upstream& upstream = m_upstreams[aUpstream];
  for (std::uint32_t slot = 0; m_table && slot < upstream.m_slots; ++slot) {
    if (IsFree(upstream, slot, aNow)) {
      upstream.m_owned[slot].m_inFlight = true;
      return SlotTicket{ aUpstream, slot, 0, base::MonotonicTime::max() };
    }
  }
  for (BorrowedSlot& borrowed : upstream.m_borrowed) {
    if (!borrowed.m_inFlight && aNow + aTimeout <= borrowed.m_until) {
      borrowed.m_inFlight = true;
      return SlotTicket{ aUpstream, 0, borrowed.m_lease, borrowed.m_until };
    }
  }
  return std::nullopt;
}

bool SlotPool::MayDispatch(const SlotTicket& aTicket,
                           base::MonotonicTime aNow,
                           std::chrono::nanoseconds aTimeout) const
{
  if (aTicket.m_lease != 0) {
    return aNow + aTimeout <= aTicket.m_deadline;
  }
  // The slot has counted as in flight since Acquire(), so its unit cannot have been donated.
  return m_units[m_table->UnitOf(m_upstreams[aTicket.m_upstream].m_hash, aTicket.m_slot)].m_owned;
}

void SlotPool::Release(const SlotTicket& aTicket)
{
  Upstream& upstream = m_upstreams[aTicket.m_upstream];
  if (aTicket.m_lease == 0) {
    assert(upstream.m_owned[aTicket.m_slot].m_inFlight);
    upstream.m_owned[aTicket.m_slot].m_inFlight = false;
    return;
  }
  for (BorrowedSlot& borrowed : upstream.m_borrowed) {
    if (borrowed.m_lease == aTicket.m_lease) {
      assert(borrowed.m_inFlight);
      borrowed.m_inFlight = false;
    }
  }
}

std::uint32_t SlotPool::FreeOwnedSlots(UpstreamIndex aUpstream, base::MonotonicTime aNow) const
{
  const Upstream& upstream = m_upstreams[aUpstream];
  std::uint32_t free = 0;
  for (std::uint32_t slot = 0; m_table && slot < upstream.m_slots; ++slot) {
    free += IsFree(upstream, slot, aNow) ? 1 : 0;
  }
  return free;
}

std::uint32_t SlotPool::OwnedSlots(UpstreamIndex aUpstream, base::MonotonicTime aNow) const
{
  const Upstream& upstream = m_upstreams[aUpstream];
  std::uint32_t owned = 0;
  for (std::uint32_t slot = 0; m_table && slot < upstream.m_slots; ++slot) {
    owned += IsUsable(upstream, slot, aNow) ? 1 : 0;
  }
  return owned;
}

bool SlotPool::HasUsableUnits(base::MonotonicTime aNow) const
{
  return std::ranges::any_of(
    m_units, [&](const Unit& aUnit) { return aUnit.m_owned && aNow >= aUnit.m_quarantinedUntil; });
}

std::uint32_t SlotPool::FreeSlots(UpstreamIndex aUpstream,
                                  base::MonotonicTime aNow,
                                  std::chrono::nanoseconds aTimeout) const
{
  const auto borrowed =
    std::ranges::count_if(m_upstreams[aUpstream].m_borrowed, [&](const BorrowedSlot& aSlot) {
      return !aSlot.m_inFlight && aNow + aTimeout <= aSlot.m_until;
    });
  return FreeOwnedSlots(aUpstream, aNow) + static_cast<std::uint32_t>(borrowed);
}

std::uint32_t SlotPool::InFlight(UpstreamIndex aUpstream) const
{
  const Upstream& upstream = m_upstreams[aUpstream];
  return static_cast<std::uint32_t>(
    std::ranges::count_if(upstream.m_owned, &OwnedSlot::m_inFlight) +
    std::ranges::count_if(upstream.m_borrowed, &BorrowedSlot::m_inFlight));
}

const VmIncarnation* SlotPool::OwnerOfSlot(UpstreamIndex aUpstream, std::uint32_t aSlot) const
{
  if (!m_table) {
    return nullptr;
  }
  return &m_table->OwnerOf(m_table->UnitOf(m_upstreams[aUpstream].m_hash, aSlot));
}

std::size_t SlotPool::BytesOf(UpstreamIndex aUpstream) const
{
  const Upstream& upstream = m_upstreams[aUpstream];
  return sizeof(Upstream) + upstream.m_owned.capacity() * sizeof(OwnedSlot) +
         upstream.m_borrowed.capacity() * sizeof(BorrowedSlot);
}

} // namespace jaylane::policy
