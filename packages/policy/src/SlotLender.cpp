#include "jaylane/policy/SlotLender.h"

#include <algorithm>
#include <utility>

namespace jaylane::policy {

SlotLender::SlotLender(VmIncarnation aSelf, SlotPool& aPool, Options aOptions)
  : m_self(std::move(aSelf))
  , m_pool(aPool)
  , m_options(aOptions)
{
}

std::uint32_t SlotLender::Lendable(const SlotAsk& aAsk,
                                   std::uint32_t aWaiting,
                                   std::uint32_t aFree) const
{
  if (aWaiting > 0) {
    return aAsk.m_waiting > aWaiting + m_options.m_imbalance ? std::min(aFree, 1u) : 0;
  }
  const std::uint32_t reserve = aAsk.m_waiting > 1 ? 0 : m_options.m_reserve;
  return std::min(aAsk.m_amount, aFree - std::min(aFree, reserve));
}

std::optional<SlotGrant> SlotLender::Lend(const SlotAsk& aAsk,
                                          std::uint32_t aAmount,
                                          base::MonotonicTime aNow)
{
  const auto upstream = m_pool.Find(aAsk.m_upstream);
  const auto duration = std::min(aAsk.m_duration, m_options.m_maxDuration);
  SlotGrant grant{ aAsk.m_id, aAsk.m_borrower, m_self, aAsk.m_upstream, {}, duration };
  for (std::uint32_t i = 0; i < aAmount; ++i) {
    if (const auto lent = m_pool.Lend(*upstream, aNow, duration)) {
      grant.m_leases.push_back(lent->m_lease);
    }
  }
  return grant.m_leases.empty() ? std::nullopt : std::optional(std::move(grant));
}

std::optional<SlotGrant> SlotLender::OnAsk(const SlotAsk& aAsk,
                                           std::uint32_t aWaiting,
                                           base::MonotonicTime aNow)
{
  const auto upstream = m_pool.Find(aAsk.m_upstream);
  if (!upstream) {
    return std::nullopt;
  }
  std::erase_if(m_asks, [&](const KeptAsk& aKept) {
    return aKept.m_until <= aNow ||
           (aKept.m_ask.m_borrower == aAsk.m_borrower && aKept.m_ask.m_upstream == aAsk.m_upstream);
  });
  const std::uint32_t free = m_pool.OwnedFree(*upstream, aNow);
  auto grant = Lend(aAsk, Lendable(aAsk, aWaiting, free), aNow);
  if (!grant) {
    m_asks.push_back({ aAsk, aNow + m_options.m_holdAsk });
  }
  return grant;
}

std::optional<SlotGrant> SlotLender::OnFree(UpstreamIndex aUpstream,
                                            std::uint32_t aWaiting,
                                            base::MonotonicTime aNow)
{
  const std::string& id = m_pool.IdOf(aUpstream);
  // The borrower with the longest queue first.
  auto best = m_asks.end();
  for (auto kept = m_asks.begin(); kept != m_asks.end(); ++kept) {
    if (kept->m_until > aNow && kept->m_ask.m_upstream == id &&
        (best == m_asks.end() || kept->m_ask.m_waiting > best->m_ask.m_waiting)) {
      best = kept;
    }
  }
  if (best == m_asks.end()) {
    return std::nullopt;
  }
  const std::uint32_t free = m_pool.OwnedFree(aUpstream, aNow);
  auto grant = Lend(best->m_ask, Lendable(best->m_ask, aWaiting, free), aNow);
  if (grant) {
    m_asks.erase(best);
  }
  return grant;
}

bool SlotLender::ShouldReturn(const VmIncarnation& aLender,
                              UpstreamIndex aUpstream,
                              std::uint32_t aWaiting,
                              base::MonotonicTime aNow) const
{
  return std::ranges::any_of(m_asks, [&](const KeptAsk& aKept) {
    return aKept.m_until > aNow && aKept.m_ask.m_borrower == aLender &&
           aKept.m_ask.m_upstream == m_pool.IdOf(aUpstream) &&
           aKept.m_ask.m_waiting > aWaiting + m_options.m_imbalance;
  });
}

void SlotLender::OnReturn(const SlotReturn& aReturn)
{
  const auto upstream = m_pool.Find(aReturn.m_upstream);
  if (!upstream || aReturn.m_lender != m_self) {
    return;
  }
  for (const std::uint64_t lease : aReturn.m_leases) {
    m_pool.EndLend(*upstream, lease);
  }
}

} // namespace jaylane::policy
