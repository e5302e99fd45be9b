#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/CrossRegionPlacement.h"
#include "jaylane/policy/Fleet.h"
#include "jaylane/policy/LoadObservation.h"
#include "jaylane/policy/TicketSchedule.h"
#include "jaylane/policy/UrgencyLimits.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// Load that an upstream reports about itself in a response.
struct LoadReport
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
  /// Current service time on the upstream's machine as a multiple of the usual one; empty if it is
  /// not reported.
  std::optional<double> m_slowdown = std::nullopt;
};

/// Why an attempt at an upstream failed.
enum class AttemptFailure
{
  /// The connection was refused or not established in time; nothing was sent.
  Unreachable,
  /// The upstream proved that it did not execute the request.
  Rejected,
  /// The connection was closed before the response was complete.
  Lost,
  /// The upstream executed the request and responded with an error.
  Error,
  /// No response before the deadline.
  TimedOut,
  /// The upstream started to leave before the request was sent; nothing was sent.
  Withdrawn,
};

/// Options of ServiceBalancer. The defaults are explained in docs/decisions/affinity.md.
///
/// An "alpha" is the weight of the newest sample in an exponentially weighted moving average
/// (EWMA).
struct BalancerOptions
{
  /// Service times assumed until the first measurement, as fractions of the target latency: for
  /// an affinity key that the upstream has served before, and for one that it has not.
  double m_initialWarmTimeRatio = 0.35;
  double m_initialColdTimeRatio = 1.1;
  double m_serviceTimeAlpha = 0.1;
  double m_successRateAlpha = 0.15;
  /// Added to the estimated latency in proportion to the upstream's failure rate, as a fraction
  /// of the target latency.
  double m_failurePenalty = 1.5;
  /// Upstreams compared per request: in the preferred regions, and in the others.
  std::size_t m_preferredCandidates = 3;
  std::size_t m_fallbackCandidates = 1;
  /// Fraction of requests that may be sent outside their preferred regions when these lack
  /// capacity.
  double m_maxOverflowShare = 0.05;
  /// Utilization of the own region above which affinity keys are shifted to other regions, and
  /// below which they are shifted back.
  double m_shiftOutUtilization = 1.4;
  double m_shiftBackUtilization = 1.1;
  /// The same for the keys of requests with large bodies.
  double m_bulkShiftOutUtilization = 1.1;
  double m_bulkShiftBackUtilization = 0.9;
  /// When keys are ranked over the upstreams of all regions instead of the own region first.
  CrossRegionPlacement::Options m_placement;
  /// How more urgent request kinds restrict the less urgent ones.
  UrgencyLimits::Options m_urgency;
  /// Fraction of the keys shifted per step. With kShareUpdateInterval between the steps this
  /// stays below the bound on regional shifts.
  double m_shiftStep = 0.016;
  /// Longest acceptable queueing time as a fraction of the target latency: normally, and under
  /// sustained overload, when only short queues let responses arrive in time.
  double m_maxQueueWaitRatio = 0.75;
  double m_overloadMaxQueueWaitRatio = 0.3;
  /// Rejection rates between which the longest queueing time falls linearly from the first value
  /// to the second.
  double m_overloadMinRejectionRate = 0.25;
  double m_overloadFullRejectionRate = 0.5;
  /// Ejection time after the first failure to connect; doubles with each further one.
  std::chrono::milliseconds m_baseEjectionTime{ 400 };
  std::chrono::milliseconds m_maxEjectionTime{ 3000 };
  /// Time constant with which a load report decays to the average load of all upstreams.
  std::chrono::milliseconds m_reportDecayTime{ 2000 };
  /// A response is overdue after this multiple of the estimated latency, but not before
  /// m_minOverdueTime, which covers the relative spread of short latencies.
  double m_overdueFactor = 3;
  std::chrono::milliseconds m_minOverdueTime{ 150 };
  /// Affinity keys tracked per upstream: those that it served for this VM, and for others.
  std::size_t m_maxTrackedKeys = 64;
  /// Weights of a load that another VM has read, in the load of its upstream: normally, and from
  /// m_overloadMinRejectionRate on. Under overload all VMs together fill up the upstream that the
  /// same observation shows as free.
  double m_toldLoadAlpha = 0.5;
  double m_overloadToldLoadAlpha = 0.1;
  /// Time for which a key that an upstream served for another VM counts as known there.
  std::chrono::milliseconds m_toldKeyMemory{ 8000 };
  /// Smoothed utilization of an upstream above which requests spill to the next upstream in the
  /// ranking of their key, and below which they return.
  double m_spillUtilization = 0.9;
  double m_returnUtilization = 0.7;
  /// Change of the spilled fraction of an upstream's requests per step of kShareUpdateInterval.
  double m_spillStep = 0.02;
  /// The same as multiples of the mean utilization of all upstreams. Spilling costs first requests
  /// for keys and gains nothing if the others are as busy.
  double m_spillRatio = 1.6;
  double m_returnRatio = 1.3;
  /// Time constant of the smoothed utilization.
  std::chrono::milliseconds m_utilizationTime{ 3000 };
};

/// Chooses upstreams of one service for the requests of one VM.
/// Load pattern: affinity keys whose requests are spread over many VMs, upstreams whose service
/// time is several times longer for keys that they have not served before, and regional demand
/// waves that exceed the region's slots.
///
/// All VMs rank the upstreams of a key alike (rendezvous hashing weighted by slots), so that a key
/// keeps its upstream without any messages between VMs. A request goes to a lower-ranked upstream
/// if its estimated latency is shorter there. CrossRegionPlacement decides which keys are ranked
/// over all regions. Each other key, and each key of a bulk request, is assigned to the own region
/// or to the other regions; the share assigned to the own region changes slowly. Not thread safe.
class ServiceBalancer
{
public:
  /// An upstream that may receive requests.
  struct Candidate
  {
    Upstream m_upstream;
    /// End of the upstream's cold phase, and the shortest time between two requests of this VM
    /// during it; zero if this VM may send none.
    base::MonotonicTime m_coldUntil;
    std::chrono::milliseconds m_coldRequestInterval{ 0 };
    /// This VM's share of the connections that the upstream accepts from all VMs. A connection
    /// carries one request at a time.
    std::uint32_t m_maxInFlight = std::numeric_limits<std::uint32_t>::max();
    /// Network round-trip time.
    std::chrono::milliseconds m_roundTrip{ 0 };
    /// Fraction of the affinity keys that may be placed in the upstream's region; see
    /// RegionReachability.
    double m_keyShare = 1;
  };

  struct Query
  {
    /// Hash of the affinity key, or random if the route has no affinity.
    std::uint64_t m_key = 0;
    bool m_hasAffinity = false;
    /// Null or empty: all regions are allowed.
    const std::set<std::string>* m_allowedRegions = nullptr;
    /// Upstreams that have been tried for this request already; null if none.
    const std::vector<std::string>* m_triedUpstreams = nullptr;
    /// Time left until the deadline.
    std::chrono::milliseconds m_remaining{ 0 };
    std::chrono::milliseconds m_targetLatency{ 0 };
    /// Whether the body is large and costs bandwidth between regions.
    bool m_isBulk = false;
    /// Whether an earlier attempt is still running. A hedge is sent only to an upstream with a
    /// free slot.
    bool m_isHedge = false;
    /// 0 is the most urgent.
    std::uint32_t m_priority = 0;
    /// Time for which the request has been held at this VM; it counts as queueing time.
    std::chrono::milliseconds m_held{ 0 };
    /// Whether Choose() was asked for this request before, which has been counted then.
    bool m_isCounted = false;
  };

  enum class Decision
  {
    Send,
    NoUpstream,
    Overloaded,
  };

  struct Choice
  {
    Decision m_decision = Decision::NoUpstream;
    const Upstream* m_upstream = nullptr;
    /// Estimated time to the response; the shortest among all candidates if rejected, or the time
    /// until the first of them may be used.
    std::chrono::milliseconds m_expectedLatency{ 0 };
    /// Position in the ranking of the key, from 0.
    std::size_t m_rank = 0;
    bool m_isCold = false;
    /// Whether this VM has recently seen the upstream serve the key.
    bool m_hasServedKey = false;
    /// Time from sending after which the response is overdue.
    std::chrono::milliseconds m_overdueAfter{ 0 };
    /// If overloaded: whether the request may be held until an upstream accepts it, which applies
    /// to services with kinds of different priority; the time until that is expected; and the
    /// expected time from sending to the response of a request of this kind.
    bool m_mayHold = false;
    std::chrono::milliseconds m_expectedHold{ 0 };
    std::chrono::milliseconds m_latencyWithoutQueue{ 0 };
    /// Whether the request was not accepted only because more urgent kinds use the upstreams.
    bool m_isLimitedByUrgency = false;
  };

  /// @param aTicketSeed differs between VMs, so that they do not use their tickets together.
  ServiceBalancer(BalancerOptions aOptions, std::string aOwnRegion, std::uint64_t aTicketSeed = 0);

  /// Replaces the set of upstreams. The measurements of those that stay are kept.
  void Update(std::vector<Candidate> aCandidates, base::MonotonicTime aNow);

  /// Decides on one attempt. If the attempt is made, the user of this class reports its start by
  /// OnSent() and its end by OnResponse(), OnFailure() or OnCancelled().
  Choice Choose(const Query& aQuery, base::MonotonicTime aNow);

  void OnSent(const std::string& aUpstream, const Query& aQuery, base::MonotonicTime aNow);
  /// @param aLatency time from OnSent() to the end of the response.
  void OnResponse(const std::string& aUpstream,
                  const Query& aQuery,
                  std::chrono::nanoseconds aLatency,
                  const std::optional<LoadReport>& aReport,
                  base::MonotonicTime aNow);
  void OnFailure(const std::string& aUpstream,
                 AttemptFailure aFailure,
                 const std::optional<LoadReport>& aReport,
                 base::MonotonicTime aNow);
  /// Reports an attempt that ended without telling anything about the upstream, for example because
  /// the caller disconnected.
  void OnCancelled(const std::string& aUpstream);

  /// Takes the load and the key that another VM has read in a response of an upstream.
  /// @return whether the observation was used: the upstream is known, and the observation is not
  ///   older than BalancerOptions::m_toldKeyMemory.
  bool Observe(const LoadObservation& aObservation, base::MonotonicTime aNow);

  /// Limits this VM's requests to an upstream.
  /// @param aPerSecond requests per second; empty: no limit.
  void SetRate(const std::string& aUpstream,
               std::optional<double> aPerSecond,
               base::MonotonicTime aNow);

  /// Excludes an upstream until the next Update().
  void Withdraw(const std::string& aUpstream);

  /// Reports an attempt whose response is overdue. If the upstream has sent nothing at all since
  /// the attempt began, it may have stopped without closing its connections. It is then
  /// unresponsive and gets no requests until its next response or OnProbeResponse().
  /// @param aSentAt start of the attempt.
  /// @return whether this call marked the upstream as unresponsive.
  bool OnOverdue(const std::string& aUpstream, base::MonotonicTime aSentAt);
  /// Reports that the upstream answered a health probe.
  void OnProbeResponse(const std::string& aUpstream, base::MonotonicTime aNow);

  /// @return fraction of the affinity keys that are assigned to the own region.
  double LocalShare() const { return m_localShare; }
  /// @return fraction of the affinity keys that are ranked over all regions.
  double CrossRegionShare() const { return m_placement.Share(); }
  /// @return mean fraction of the upstreams' requests that spill to the next in the ranking.
  double SpillShare() const;
  std::size_t size() const { return m_states.size(); }

private:
  struct State
  {
    Candidate m_candidate;
    std::uint64_t m_hash = 0;
    std::uint32_t m_inFlight = 0;
    /// Requests of other VMs at the upstream, as of m_reportedAt.
    double m_externalLoad = 0;
    base::MonotonicTime m_reportedAt;
    /// Time of the newest request of this VM.
    base::MonotonicTime m_sentAt;
    /// Load in slots, averaged over BalancerOptions::m_utilizationTime before m_utilizationAt.
    double m_utilization = 0;
    base::MonotonicTime m_utilizationAt;
    /// Fraction of the requests that go on to the next upstream in the ranking of their key.
    double m_spill = 0;
    /// Slowdown that the upstream last reported.
    double m_slowdown = 1;
    base::MonotonicTime m_slowdownAt;
    double m_successRate = 1;
    /// Service time as a multiple of the service's average.
    double m_relativeServiceTime = 1;
    /// Consecutive failures to connect.
    std::uint32_t m_connectFailures = 0;
    base::MonotonicTime m_ejectedUntil;
    /// Time of the last response, rejection or probe response.
    base::MonotonicTime m_lastResponseAt;
    /// Set by OnOverdue().
    bool m_isUnresponsive = false;
    /// Set by SetRate().
    std::optional<TicketSchedule> m_tickets;
    /// Set by Withdraw().
    bool m_isWithdrawn = false;
    base::MonotonicTime m_lastColdRequestAt;
    bool m_hasSentColdRequest = false;
    /// Hashes of affinity keys that the upstream has served, with the time of the last response.
    std::unordered_map<std::uint64_t, base::MonotonicTime> m_servedKeys;
    /// The same for keys that it has served for other VMs, by LoadObservation::HashKey().
    std::unordered_map<std::uint16_t, base::MonotonicTime> m_toldKeys;
  };

  struct RankedState
  {
    double m_score = 0;
    /// Index in m_states.
    std::size_t m_index = 0;
  };
  struct Tiers
  {
    /// Upstreams in the preferred regions, in the others, and in regions from which the key is
    /// withheld.
    std::vector<RankedState> m_preferred;
    std::vector<RankedState> m_fallbacks;
    std::vector<RankedState> m_withheld;
  };

  /// Estimated parts of a request's latency at an upstream, in milliseconds.
  struct LatencyEstimate
  {
    double m_queueWait = 0;
    double m_serviceTime = 0;
    /// Penalty for recent failures.
    double m_failurePenalty = 0;
    /// Network round trip, and a penalty for another region.
    double m_distance = 0;

    double AtUpstream() const { return m_queueWait + m_serviceTime + m_failurePenalty; }
    double Total() const { return AtUpstream() + m_distance; }
  };

  State* FindState(const std::string& aUpstream);
  bool IsUsable(const State& aState, const Query& aQuery, base::MonotonicTime aNow) const;
  Tiers SortIntoTiers(const Query& aQuery, base::MonotonicTime aNow) const;
  /// Upstreams to compare for a request, the best first.
  struct Ranking
  {
    std::vector<RankedState> m_ranked;
    /// Upstreams before them that were skipped because they spill.
    std::size_t m_skipped = 0;
  };
  static void KeepBest(std::vector<RankedState>& aRanked, std::size_t aCount);
  Ranking Rank(const Query& aQuery, base::MonotonicTime aNow);
  /// @return time until the first upstream that lacks only a ticket may be used; empty if there is
  ///   none.
  std::optional<std::chrono::milliseconds> TicketWait(const Query& aQuery,
                                                      base::MonotonicTime aNow) const;
  bool IsOwnRegion(const State& aState) const;
  bool PrefersOwnRegion(const Query& aQuery) const;
  bool IsPlacedAcrossRegions(const Query& aQuery) const;
  void UpdatePlacement(const Query& aQuery, base::MonotonicTime aNow);
  void UpdateDistance();
  double ExternalLoad(const State& aState, base::MonotonicTime aNow) const;
  /// @param aReserved slots that the request may not use.
  /// @return requests ahead of a new one that exceed the free slots, per slot.
  double QueuedPerSlot(const State& aState, base::MonotonicTime aNow, double aReserved = 0) const;
  LatencyEstimate EstimateLatency(const State& aState,
                                  const Query& aQuery,
                                  bool aIsPlace,
                                  base::MonotonicTime aNow) const;
  double ExpectedServiceTime(const State& aState,
                             const Query& aQuery,
                             bool aIsPlace,
                             base::MonotonicTime aNow) const;
  bool KnowsKey(const State& aState, const Query& aQuery, base::MonotonicTime aNow) const;
  double Slowdown(const State& aState, base::MonotonicTime aNow) const;
  /// Skips upstreams with the probability of their spilled fraction.
  /// @param aPreferred all preferred upstreams in any order.
  /// @return the ranking among the upstreams of the first one's region, so that spilling moves no
  ///   requests between regions; nothing skipped if the request stays at the first.
  Ranking SkipSpilling(const std::vector<RankedState>& aPreferred);
  void AdjustSpill(base::MonotonicTime aNow);
  double WarmServiceTime(const Query& aQuery) const;
  double ColdServiceTime(const Query& aQuery) const;
  std::chrono::milliseconds OverdueAfter(const State& aState,
                                         const Query& aQuery,
                                         const LatencyEstimate& aEstimate) const;
  /// @return longest acceptable queueing time as a fraction of the target latency.
  double MaxQueueWaitRatio() const;
  /// @return queueing time in milliseconds at the upstream when the slots that are left to more
  ///   urgent kinds count as occupied.
  double QueueWaitBehindUrgent(const State& aState,
                               const Query& aQuery,
                               base::MonotonicTime aNow) const;
  /// Decides whether the best candidate accepts the request.
  void Accept(const Query& aQuery,
              const State& aState,
              const LatencyEstimate& aEstimate,
              base::MonotonicTime aNow,
              Choice& aChoice);
  static UrgencyLimits::Kind KindOf(const Query& aQuery);
  void AdjustLocalShare(base::MonotonicTime aNow);
  void InitializeLocalShare();
  void UpdateOverflowRate(bool aIsOverflow);
  /// Takes a load in requests, this VM's included, into account.
  void ApplyLoad(State& aState, double aLoad, double aAlpha, base::MonotonicTime aSeenAt);
  void ApplyLoadReport(State& aState,
                       const std::optional<LoadReport>& aReport,
                       base::MonotonicTime aNow);
  static void MarkResponsive(State& aState, base::MonotonicTime aNow);
  void RecordServedKey(State& aState, std::uint64_t aKey, base::MonotonicTime aNow);

  BalancerOptions m_options;
  std::string m_ownRegion;
  std::uint64_t m_ticketSeed;
  CrossRegionPlacement m_placement;
  /// Mean additional time of a request to another region; zero if no other region has upstreams.
  double m_distanceMs = 0;
  std::vector<State> m_states;
  std::unordered_map<std::string, std::size_t> m_indexById;
  std::unordered_map<std::uint32_t, std::size_t> m_indexByHash;
  /// Service times of all upstreams in milliseconds, for keys that the upstream has served before
  /// and for others; zero before the first measurement.
  double m_warmServiceTime = 0;
  double m_coldServiceTime = 0;
  /// Fraction of the keys assigned to the own region, for ordinary and for bulk requests.
  double m_localShare = 1;
  double m_localBulkShare = 1;
  bool m_isLocalShareInitialized = false;
  base::MonotonicTime m_localShareUpdatedAt;
  /// Fraction of the recent requests sent outside their preferred regions.
  double m_overflowRate = 0;
  /// Fraction of the recent requests rejected because of overload.
  double m_rejectionRate = 0;
  /// Position in the sequence of pseudo-random numbers of SkipSpilling().
  std::uint64_t m_spillDraws = 0;
  UrgencyLimits m_urgency;
  /// Average load by other VMs, as a fraction of the slots.
  double m_meanExternalLoad = 0;
};

} // namespace jaylane::policy
