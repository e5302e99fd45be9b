#include "jaylane/policy/HoldQueue.h"

#include <algorithm>
#include <tuple>

namespace jaylane::policy {

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
  const std::chrono::duration<double, std::milli> maxHold =
    m_options.m_maxHoldRatio * aSituation.m_targetLatency;
  request.m_holdUntil =
    std::min(request.m_latestStart,
             aSituation.m_arrivedAt + std::chrono::duration_cast<std::chrono::nanoseconds>(maxHold));
  if (aNow + aSituation.m_expectedWait >= request.m_holdUntil) {
    return std::nullopt;
  }
  return request;
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
