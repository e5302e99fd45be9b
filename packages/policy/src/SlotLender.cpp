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

std::uint32_t SlotLender::Lendable(const SlotRequest& aRequest,
                                   std::uint32_t aWaiting,
                                   std::uint32_t aFree) const
{
  if (aWaiting > 0) {
    return aRequest.m_waiting > aWaiting + m_options.m_imbalance ? std::min(aFree, 1u) : 0;
  }
  const std::uint32_t reserve = aRequest.m_waiting > 1 ? 0 : m_options.m_reserve;
  return std::min(aRequest.m_amount, aFree - std::min(aFree, reserve));
}

std::optional<SlotGrant> SlotLender::Lend(const SlotRequest& aRequest,
                                          std::uint32_t aAmount,
                                          base::MonotonicTime aNow)
{
  const auto upstream = m_pool.Find(aRequest.m_upstream);
  const auto duration = std::min(aRequest.m_duration, m_options.m_maxDuration);
  SlotGrant grant{ aRequest.m_id, aRequest.m_borrower, m_self, aRequest.m_upstream, {}, duration };
  for (std::uint32_t i = 0; i < aAmount; ++i) {
    if (const auto lent = m_pool.Lend(*upstream, aNow, duration)) {
      grant.m_leases.push_back(lent->m_lease);
    }
  }
  return grant.m_leases.empty() ? std::nullopt : std::optional(std::move(grant));
}

std::optional<SlotGrant> SlotLender::OnRequest(const SlotRequest& aRequest,
                                               std::uint32_t aWaiting,
                                               base::MonotonicTime aNow)
{
  const auto upstream = m_pool.Find(aRequest.m_upstream);
  if (!upstream) {
    return std::nullopt;
  }
  std::erase_if(m_queuedRequests, [&](const QueuedRequest& aQueued) {
    return aQueued.m_until <= aNow || (aQueued.m_request.m_borrower == aRequest.m_borrower &&
                                       aQueued.m_request.m_upstream == aRequest.m_upstream);
  });
  const std::uint32_t free = m_pool.FreeOwnedSlots(*upstream, aNow);
  auto grant = Lend(aRequest, Lendable(aRequest, aWaiting, free), aNow);
  if (!grant) {
    m_queuedRequests.push_back({ aRequest, aNow + m_options.m_queueTime });
  }
  return grant;
}

std::optional<SlotGrant> SlotLender::OnFree(UpstreamIndex aUpstream,
                                            std::uint32_t aWaiting,
                                            base::MonotonicTime aNow)
{
  const std::string& id = m_pool.IdOf(aUpstream);
  // Serves the borrower with the longest queue first.
  auto best = m_queuedRequests.end();
  for (auto queued = m_queuedRequests.begin(); queued != m_queuedRequests.end(); ++queued) {
    if (queued->m_until > aNow && queued->m_request.m_upstream == id &&
        (best == m_queuedRequests.end() ||
         queued->m_request.m_waiting > best->m_request.m_waiting)) {
      best = queued;
    }
  }
  if (best == m_queuedRequests.end()) {
    return std::nullopt;
  }
  const std::uint32_t free = m_pool.FreeOwnedSlots(aUpstream, aNow);
  auto grant = Lend(best->m_request, Lendable(best->m_request, aWaiting, free), aNow);
  if (grant) {
    m_queuedRequests.erase(best);
  }
  return grant;
}

bool SlotLender::ShouldReturn(const VmIncarnation& aLender,
                              UpstreamIndex aUpstream,
                              std::uint32_t aWaiting,
                              base::MonotonicTime aNow) const
{
  return std::ranges::any_of(m_queuedRequests, [&](const QueuedRequest& aQueued) {
    return aQueued.m_until > aNow && aQueued.m_request.m_borrower == aLender &&
           aQueued.m_request.m_upstream == m_pool.IdOf(aUpstream) &&
           aQueued.m_request.m_waiting > aWaiting + m_options.m_imbalance;
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
