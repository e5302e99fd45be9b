#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace jaylane::policy {

/// Tells by how much the more urgent request kinds of a service restrict the less urgent ones, from
/// the recent requests of this VM.
/// Load pattern: request kinds of different priority on the same upstreams. An upstream's queue is
/// first in, first out, so a kind that accepts 3,000 ms of queue fills it up to a length at which
/// a kind that accepts 375 ms is rejected. Not thread safe.
class UrgencyLimits
{
public:
  struct Options
  {
    /// Time constant with which requests are forgotten. A VM of a large fleet receives one or two
    /// requests of a rare kind per second.
    std::chrono::milliseconds m_memory{ 10'000 };
    /// A kind without requests for this long no longer restricts others.
    std::chrono::milliseconds m_idleTime{ 20'000 };
    /// Queueing time left to less urgent kinds, as a fraction of the time that the urgent kind can
    /// queue and be in time. The rest covers load data that is older than the last requests.
    double m_queueShare = 0.6;
    /// Fraction of the target latency that counts at least as time to queue, for kinds whose
    /// service time alone uses up the target.
    double m_minQueueRatio = 0.25;
    /// Largest fraction of an upstream's slots that is left free for more urgent kinds. The slots
    /// that these use already are part of the upstream's load.
    double m_maxReserve = 0.1;
    /// Weight of the newest service time in the average of its kind.
    double m_serviceTimeAlpha = 0.1;
    /// Kinds tracked at most.
    std::size_t m_maxKinds = 64;
  };

  /// Requests of one priority and target latency.
  struct Kind
  {
    /// 0 is the most urgent.
    std::uint32_t m_priority = 0;
    std::chrono::milliseconds m_targetLatency{ 0 };

    auto operator<=>(const Kind&) const = default;
  };

  explicit UrgencyLimits(Options aOptions);

  /// Counts a request once, whether or not it is accepted.
  void OnRequest(const Kind& aKind, base::MonotonicTime aNow);
  /// @param aServiceTime time at the upstream without queueing.
  void OnServed(const Kind& aKind, std::chrono::nanoseconds aServiceTime);

  /// @return longest queueing time that a request may accept, so that the recent kinds that are
  /// more
  ///   urgent still find room in the same queue; empty if there are none.
  std::optional<std::chrono::nanoseconds> MaxQueueWait(std::uint32_t aPriority,
                                                       base::MonotonicTime aNow) const;
  /// @return fraction of the recent demand for slot time that is of more urgent kinds, at most
  ///   Options::m_maxReserve.
  double ReservedShare(std::uint32_t aPriority, base::MonotonicTime aNow) const;
  /// @return mean service time of the kind; empty before its first response.
  std::optional<std::chrono::nanoseconds> ServiceTime(const Kind& aKind) const;
  /// @return whether recent requests had different priorities.
  bool HasPriorities(base::MonotonicTime aNow) const;

private:
  struct State
  {
    /// Number of requests, each weighted by its age as of m_lastRequest.
    double m_requests = 0;
    base::MonotonicTime m_lastRequest;
    /// Zero before the first response.
    double m_serviceTimeMs = 0;
  };

  bool IsRecent(const State& aState, base::MonotonicTime aNow) const;
  double Decay(const State& aState, base::MonotonicTime aNow) const;
  void MakeRoom(base::MonotonicTime aNow);

  Options m_options;
  /// Ordered by priority.
  std::map<Kind, State> m_kinds;
};

} // namespace jaylane::policy
