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

void SlotBorrower::Forget(base::MonotonicTime aNow)
{
  // Ordered by time, as ids rise.
  while (!m_pending.empty() &&
         aNow - m_pending.begin()->second.m_askedAt > m_options.m_answerTime) {
    m_pending.erase(m_pending.begin());
  }
}

const VmIncarnation* SlotBorrower::NextLender(State& aState, UpstreamIndex aUpstream) const
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

std::optional<SlotBorrower::Outgoing> SlotBorrower::MaybeAsk(UpstreamIndex aUpstream,
                                                             std::uint32_t aWaiting,
                                                             base::MonotonicTime aNow)
{
  State& state = m_states[aUpstream];
  if (aWaiting == 0) {
    return std::nullopt;
  }
  if ((m_lastAsk && aNow - *m_lastAsk < m_options.m_anyAskInterval) ||
      (state.m_lastAsk && aNow - *state.m_lastAsk < m_options.m_askInterval)) {
    return std::nullopt;
  }
  const VmIncarnation* const lender = NextLender(state, aUpstream);
  if (!lender) {
    return std::nullopt;
  }
  Forget(aNow);
  state.m_lastAsk = m_lastAsk = aNow;
  const std::uint32_t amount = std::min(aWaiting, m_pool.Slots(aUpstream));
  Outgoing outgoing{
    *lender, { m_nextId++, m_self, m_pool.IdOf(aUpstream), aWaiting, amount, m_options.m_duration }
  };
  m_pending[outgoing.m_ask.m_id] = Pending{ aUpstream, *lender, aNow };
  return outgoing;
}

std::uint32_t SlotBorrower::OnGrant(const SlotGrant& aGrant, base::MonotonicTime aNow)
{
  Forget(aNow);
  const auto pending = m_pending.find(aGrant.m_ask);
  if (aGrant.m_borrower != m_self || pending == m_pending.end() ||
      pending->second.m_lender != aGrant.m_lender) {
    return 0;
  }
  const Pending ask = pending->second;
  m_pending.erase(pending);
  const auto duration = std::min(aGrant.m_duration, m_options.m_duration);
  const auto until = ask.m_askedAt + duration - duration / m_options.m_rateMarginDivisor;
  if (until <= aNow) {
    return 0;
  }
  State& state = m_states[ask.m_upstream];
  for (const std::uint64_t lease : aGrant.m_leases) {
    state.m_held.push_back({ m_nextLocalLease, lease, ask.m_lender, until });
    m_pool.AddBorrowed(ask.m_upstream, m_nextLocalLease++, until);
  }
  return static_cast<std::uint32_t>(aGrant.m_leases.size());
}

std::vector<SlotReturn> SlotBorrower::ReturnUnused(UpstreamIndex aUpstream,
                                                   std::uint32_t aWaiting,
                                                   base::MonotonicTime aNow)
{
  State& state = m_states[aUpstream];
  std::erase_if(state.m_held, [&](const Held& aHeld) { return aHeld.m_until <= aNow; });
  m_pool.DropExpired(aUpstream, aNow);
  std::vector<SlotReturn> returns;
  if (aWaiting > 0) {
    return returns;
  }
  std::erase_if(state.m_held, [&](const Held& aHeld) {
    if (!m_pool.RemoveBorrowed(aUpstream, aHeld.m_localLease)) {
      return false;
    }
    returns.push_back({ aHeld.m_lender, m_pool.IdOf(aUpstream), { aHeld.m_lenderLease } });
    return true;
  });
  return returns;
}

std::optional<SlotReturn> SlotBorrower::ReturnOne(UpstreamIndex aUpstream,
                                                  const VmIncarnation& aLender)
{
  std::vector<Held>& held = m_states[aUpstream].m_held;
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
    for (const Held& held : state->second.m_held) {
      lenders.push_back(held.m_lender);
    }
  }
  std::sort(lenders.begin(), lenders.end());
  lenders.erase(std::unique(lenders.begin(), lenders.end()), lenders.end());
  return lenders;
}

} // namespace jaylane::policy
