#include "jaylane/policy/SlotPool.h"

#include <algorithm>
#include <cassert>

namespace jaylane::policy {

std::optional<LentSlot> SlotPool::Lend(UpstreamIndex aUpstream,
                                       base::MonotonicTime aNow,
                                       std::chrono::nanoseconds aDuration)
{
  Upstream& upstream = m_upstreams[aUpstream];
  // Starts with the last slot, because Acquire() starts with the first.
  for (std::uint32_t slot = upstream.m_slots; m_table && slot-- > 0;) {
    if (IsFree(upstream, slot, aNow)) {
      OwnedSlot& owned = upstream.m_owned[slot];
      owned.m_lease = m_nextLease++;
      owned.m_lentUntil = aNow + aDuration;
      return LentSlot{ slot, owned.m_lease, owned.m_lentUntil };
    }
  }
  return std::nullopt;
}

void SlotPool::EndLend(UpstreamIndex aUpstream, std::uint64_t aLease)
{
  for (OwnedSlot& owned : m_upstreams[aUpstream].m_owned) {
    if (owned.m_lease == aLease) {
      owned.m_lentUntil = base::MonotonicTime::min();
      owned.m_lease = 0;
    }
  }
}

void SlotPool::AddBorrowed(UpstreamIndex aUpstream,
                           std::uint64_t aLease,
                           base::MonotonicTime aUntil)
{
  assert(aLease != 0);
  m_upstreams[aUpstream].m_borrowed.push_back({ aLease, aUntil, false });
}

bool SlotPool::RemoveBorrowed(UpstreamIndex aUpstream, std::uint64_t aLease)
{
  std::vector<BorrowedSlot>& borrowed = m_upstreams[aUpstream].m_borrowed;
  const auto found = std::ranges::find(borrowed, aLease, &BorrowedSlot::m_lease);
  if (found == borrowed.end()) {
    return true;
  }
  if (found->m_inFlight) {
    return false;
  }
  borrowed.erase(found);
  return true;
}

void SlotPool::DropExpired(UpstreamIndex aUpstream, base::MonotonicTime aNow)
{
  std::erase_if(m_upstreams[aUpstream].m_borrowed, [&](const BorrowedSlot& aSlot) {
    return !aSlot.m_inFlight && aSlot.m_until <= aNow;
  });
}

} // namespace jaylane::policy
