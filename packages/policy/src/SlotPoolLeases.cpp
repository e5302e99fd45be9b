#include "jaylane/policy/SlotPool.h"

#include <algorithm>
#include <cassert>

namespace jaylane::policy {

std::optional<LentSlot> SlotPool::Lend(UpstreamIndex aUpstream,
                                       base::MonotonicTime aNow,
                                       std::chrono::nanoseconds aDuration)
{
  Upstream& upstream = m_upstreams[aUpstream];
  // From the last slot, whereas Acquire() takes the first ones.
  for (std::uint32_t slot = upstream.m_slots; m_table && slot-- > 0;) {
    if (IsFree(upstream, slot, aNow)) {
      OwnSlot& own = upstream.m_own[slot];
      own.m_lease = m_nextLease++;
      own.m_lentUntil = aNow + aDuration;
      return LentSlot{ slot, own.m_lease, own.m_lentUntil };
    }
  }
  return std::nullopt;
}

void SlotPool::EndLend(UpstreamIndex aUpstream, std::uint64_t aLease)
{
  for (OwnSlot& own : m_upstreams[aUpstream].m_own) {
    if (own.m_lease == aLease) {
      own.m_lentUntil = base::MonotonicTime::min();
      own.m_lease = 0;
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
