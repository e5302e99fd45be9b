#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// Requests of one service that are held at this VM until an upstream may accept them, in the order
/// in which they should be sent: by priority, then by the latest start in time.
/// Load pattern: bursts of a patient request kind on upstreams that it shares with an urgent one.
/// The patient kind may add little to the upstreams' queues (see UrgencyLimits), but has time to
/// wait for the slots that become free. Not thread safe.
class HoldQueue
{
public:
  struct Options
  {
    /// Requests held at most. Each try costs a ranking of all upstreams per held request.
    std::size_t m_capacity = 64;
    /// Longest time to hold a request, as a fraction of its target latency, when it is not known
    /// that its slot will become free, and when it is. In UrgencyReplay, 0.125 instead of 0.25
    /// costs the patient kind 0.01 to 0.02 of its requests in target.
    double m_maxHoldRatio = 0.25;
    double m_maxExpectedHoldRatio = 0.8;
    /// Time over which the rate of the requests that were sent after having been held is averaged.
    std::chrono::milliseconds m_rateTime{ 2000 };
  };

  struct Request
  {
    /// Chosen by the user of this class; unique among the held requests.
    std::uint64_t m_id = 0;
    /// 0 is the most urgent.
    std::uint32_t m_priority = 0;
    /// Latest time of sending at which the response is still expected in time.
    base::MonotonicTime m_latestStart;
    /// When the request is rejected if it has not been sent.
    base::MonotonicTime m_holdUntil;
  };

  /// What is known about a request that no upstream accepts now.
  struct Situation
  {
    std::uint32_t m_priority = 0;
    std::chrono::milliseconds m_targetLatency{ 0 };
    base::MonotonicTime m_arrivedAt;
    /// Time after which an upstream is expected to accept the request.
    std::chrono::milliseconds m_expectedWait{ 0 };
    /// Expected time from sending to the response.
    std::chrono::milliseconds m_latency{ 0 };
  };

  explicit HoldQueue(Options aOptions);

  /// A request's slot is known to become free if the requests that go before it and itself are sent
  /// in time at the rate at which held requests were sent recently.
  /// @return how the request should be held; empty if it must be rejected, because no upstream is
  ///   expected to accept it while it can be held and be in time.
  std::optional<Request> Assess(std::uint64_t aId,
                                const Situation& aSituation,
                                base::MonotonicTime aNow) const;

  /// Holds a request, or changes the order of one that is held.
  /// @return id of the request that must be rejected since the queue is full: the least urgent one,
  ///   which may be the new one; empty if there is room.
  std::optional<std::uint64_t> Put(const Request& aRequest);
  /// Removes a request that is sent.
  void OnSent(std::uint64_t aId, base::MonotonicTime aNow);
  /// Removes a request if it is held.
  void Remove(std::uint64_t aId);

  /// @return the ids of all held requests, the most urgent first.
  std::vector<std::uint64_t> InOrder() const;
  std::size_t size() const { return m_order.size(); }

private:
  struct Less
  {
    bool operator()(const Request& aLeft, const Request& aRight) const;
  };
  using Order = std::set<Request, Less>;

  /// @return expected time until a request is sent that goes after so many others.
  std::chrono::duration<double> ExpectedWait(std::size_t aAhead, base::MonotonicTime aNow) const;
  /// @return held requests sent recently, each weighted by its age.
  double RecentlySent(base::MonotonicTime aNow) const;

  Options m_options;
  /// RecentlySent() as of m_lastSentAt.
  double m_recentlySent = 0;
  base::MonotonicTime m_lastSentAt;
  Order m_order;
  std::unordered_map<std::uint64_t, Order::iterator> m_byId;
};

} // namespace jaylane::policy
