#include "jaylane/policy/SlotBorrower.h"

#include <algorithm>
#include <utility>

namespace jaylane::policy {

SlotBorrower::SlotBorrower(VmIncarnation aSelf, SlotPool& aPool, Options aOptions)
  : m_self(std::move(aSelf))
  , m_pool(aPool)
  , m_options(aOptions)
{
}

void SlotBorrower::DropUnanswered(base::MonotonicTime aNow)
{
  // Ids increase with time, so the oldest request comes first.
  while (!m_pending.empty() &&
         aNow - m_pending.begin()->second.m_sentAt > m_options.m_grantTimeout) {
    m_pending.erase(m_pending.begin());
  }
}

const VmIncarnation* SlotBorrower::NextLender(BorrowState& aState, UpstreamIndex aUpstream) const
{
  const std::uint32_t slots = m_pool.Slots(aUpstream);
  for (std::uint32_t i = 0; i < slots; ++i) {
    const std::uint32_t slot = (aState.m_nextSlot + i) % slots;
    const VmIncarnation* const owner = m_pool.OwnerOfSlot(aUpstream, slot);
    if (owner && *owner != m_self) {
      aState.m_nextSlot = slot + 1;
      return owner;
    }
  }
  return nullptr;
}

std::optional<SlotBorrower::OutgoingRequest> SlotBorrower::MaybeRequestSlots(
  UpstreamIndex aUpstream,
  std::uint32_t aWaiting,
  base::MonotonicTime aNow)
{
  BorrowState& state = m_states[aUpstream];
  if (aWaiting == 0) {
    return std::nullopt;
  }
  if ((m_lastRequestAt && aNow - *m_lastRequestAt < m_options.m_minInterval) ||
      (state.m_lastRequestAt &&
       aNow - *state.m_lastRequestAt < m_options.m_minIntervalPerUpstream)) {
    return std::nullopt;
  }
  const VmIncarnation* const lender = NextLender(state, aUpstream);
  if (!lender) {
    return std::nullopt;
  }
  DropUnanswered(aNow);
  state.m_lastRequestAt = m_lastRequestAt = aNow;
  const std::uint32_t amount = std::min(aWaiting, m_pool.Slots(aUpstream));
  OutgoingRequest outgoing{
    *lender, { m_nextId++, m_self, m_pool.IdOf(aUpstream), aWaiting, amount, m_options.m_duration }
  };
  m_pending[outgoing.m_request.m_id] = PendingRequest{ aUpstream, *lender, aNow };
  return outgoing;
}

std::uint32_t SlotBorrower::OnGrant(const SlotGrant& aGrant, base::MonotonicTime aNow)
{
  DropUnanswered(aNow);
  const auto pending = m_pending.find(aGrant.m_requestId);
  if (aGrant.m_borrower != m_self || pending == m_pending.end() ||
      pending->second.m_lender != aGrant.m_lender) {
    return 0;
  }
  const PendingRequest request = pending->second;
  m_pending.erase(pending);
  const auto duration = std::min(aGrant.m_duration, m_options.m_duration);
  const auto until = request.m_sentAt + duration - duration / m_options.m_rateMarginDivisor;
  if (until <= aNow) {
    return 0;
  }
  BorrowState& state = m_states[request.m_upstream];
  for (const std::uint64_t lease : aGrant.m_leases) {
    state.m_heldLeases.push_back({ m_nextLocalLease, lease, request.m_lender, until });
    m_pool.AddBorrowed(request.m_upstream, m_nextLocalLease++, until);
  }
  return static_cast<std::uint32_t>(aGrant.m_leases.size());
}

std::vector<SlotReturn> SlotBorrower::ReturnUnused(UpstreamIndex aUpstream,
                                                   std::uint32_t aWaiting,
                                                   base::MonotonicTime aNow)
{
  BorrowState& state = m_states[aUpstream];
  std::erase_if(state.m_heldLeases,
                [&](const HeldLease& aLease) { return aLease.m_until <= aNow; });
  m_pool.DropExpired(aUpstream, aNow);
  std::vector<SlotReturn> returns;
  if (aWaiting > 0) {
    return returns;
  }
  std::erase_if(state.m_heldLeases, [&](const HeldLease& aLease) {
    if (!m_pool.RemoveBorrowed(aUpstream, aLease.m_localLease)) {
      return false;
    }
    returns.push_back({ aLease.m_lender, m_pool.IdOf(aUpstream), { aLease.m_lenderLease } });
    return true;
  });
  return returns;
}

std::optional<SlotReturn> SlotBorrower::ReturnOne(UpstreamIndex aUpstream,
                                                  const VmIncarnation& aLender)
{
  std::vector<HeldLease>& held = m_states[aUpstream].m_heldLeases;
  for (auto entry = held.begin(); entry != held.end(); ++entry) {
    if (entry->m_lender == aLender && m_pool.RemoveBorrowed(aUpstream, entry->m_localLease)) {
      SlotReturn result{ aLender, m_pool.IdOf(aUpstream), { entry->m_lenderLease } };
      held.erase(entry);
      return result;
    }
  }
  return std::nullopt;
}

std::vector<VmIncarnation> SlotBorrower::Lenders(UpstreamIndex aUpstream) const
{
  std::vector<VmIncarnation> lenders;
  if (const auto state = m_states.find(aUpstream); state != m_states.end()) {
    for (const HeldLease& held : state->second.m_heldLeases) {
      lenders.push_back(held.m_lender);
    }
  }
  std::sort(lenders.begin(), lenders.end());
  lenders.erase(std::unique(lenders.begin(), lenders.end()), lenders.end());
  return lenders;
}

} // namespace jaylane::policy
