#include "jaylane/policy/HoldQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace jaylane::policy {

namespace {

using std::chrono::nanoseconds;

/// Keeps the expected wait finite.
constexpr double kMinSent = 1e-3;

} // namespace

HoldQueue::HoldQueue(Options aOptions)
  : m_options(aOptions)
{
}

bool HoldQueue::Less::operator()(const Request& aLeft, const Request& aRight) const
{
  return std::tie(aLeft.m_priority, aLeft.m_latestStart, aLeft.m_id) <
         std::tie(aRight.m_priority, aRight.m_latestStart, aRight.m_id);
}

std::optional<HoldQueue::Request> HoldQueue::Assess(std::uint64_t aId,
                                                    const Situation& aSituation,
                                                    base::MonotonicTime aNow) const
{
  Request request{ aId, aSituation.m_priority, {}, {} };
  request.m_latestStart =
    aSituation.m_arrivedAt + aSituation.m_targetLatency - aSituation.m_latency;
  const auto holdUntil = [&](double aRatio) {
    const std::chrono::duration<double> hold = aRatio * aSituation.m_targetLatency;
    return std::min(request.m_latestStart,
                    aSituation.m_arrivedAt + std::chrono::duration_cast<nanoseconds>(hold));
  };
  const auto ahead = std::distance(m_order.begin(), m_order.lower_bound(request));
  request.m_holdUntil = holdUntil(m_options.m_maxExpectedHoldRatio);
  if (aNow + ExpectedWait(static_cast<std::size_t>(ahead), aNow) > request.m_holdUntil) {
    request.m_holdUntil = holdUntil(m_options.m_maxHoldRatio);
  }
  if (aNow + aSituation.m_expectedWait >= request.m_holdUntil) {
    return std::nullopt;
  }
  return request;
}

double HoldQueue::RecentlySent(base::MonotonicTime aNow) const
{
  const std::chrono::duration<double> age = aNow - m_lastSentAt;
  return m_recentlySent * std::exp(-age / m_options.m_rateTime);
}

std::chrono::duration<double> HoldQueue::ExpectedWait(std::size_t aAhead,
                                                      base::MonotonicTime aNow) const
{
  const std::chrono::duration<double> window = m_options.m_rateTime;
  return window * (static_cast<double>(aAhead) + 1) / std::max(RecentlySent(aNow), kMinSent);
}

void HoldQueue::OnSent(std::uint64_t aId, base::MonotonicTime aNow)
{
  Remove(aId);
  m_recentlySent = RecentlySent(aNow) + 1;
  m_lastSentAt = aNow;
}

std::optional<std::uint64_t> HoldQueue::Put(const Request& aRequest)
{
  Remove(aRequest.m_id);
  m_byId[aRequest.m_id] = m_order.insert(aRequest).first;
  if (m_order.size() <= m_options.m_capacity) {
    return std::nullopt;
  }
  const std::uint64_t last = m_order.rbegin()->m_id;
  Remove(last);
  return last;
}

void HoldQueue::Remove(std::uint64_t aId)
{
  if (const auto found = m_byId.find(aId); found != m_byId.end()) {
    m_order.erase(found->second);
    m_byId.erase(found);
  }
}

std::vector<std::uint64_t> HoldQueue::InOrder() const
{
  std::vector<std::uint64_t> ids;
  ids.reserve(m_order.size());
  for (const Request& request : m_order) {
    ids.push_back(request.m_id);
  }
  return ids;
}

} // namespace jaylane::policy
