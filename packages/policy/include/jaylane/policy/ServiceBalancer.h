#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/Fleet.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// Load of an upstream as it reported it in a response.
struct LoadReport
{
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
};

/// Why an attempt at an upstream ended without a response that it made for the request.
enum class AttemptFailure
{
  /// The connection was refused or not established in time; nothing was sent.
  Unreachable,
  /// The upstream proved that it did not run the request.
  Rejected,
  /// The connection ended before or within the response.
  Lost,
  /// The upstream ran the request and reported a failure of its own.
  Error,
  /// No response until the deadline.
  TimedOut,
};

/// Tuning of ServiceBalancer. The defaults are from docs/decisions/affinity.md.
struct BalancerOptions
{
  /// Assumed service time of an affinity key that the upstream knows, part of the target latency.
  double m_warmPrior = 0.35;
  /// The same for a key that it does not know.
  double m_coldPrior = 1.1;
  /// Weight of the newest sample in averages of service times.
  double m_timeGain = 0.1;
  /// Weight of the newest sample in the success rate of an upstream.
  double m_successGain = 0.15;
  /// Cost of a failed attempt, part of the target latency.
  double m_failureCost = 1.5;
  /// Upstreams of the preferred and of the other regions that are compared for a request.
  std::size_t m_preferredCandidates = 3;
  std::size_t m_otherCandidates = 1;
  /// Part of requests that may leave the preferred region because it is short of room for them.
  double m_overflowShare = 0.05;
  /// Utilization of the own region above and below which keys move away and back.
  double m_moveAwayAbove = 1.4;
  double m_moveBackBelow = 1.1;
  /// The same for keys of requests with large bodies.
  double m_moveBulkAbove = 1.1;
  double m_moveBulkBackBelow = 0.9;
  /// Part of keys moved a step; with kShareStep it stays below the bound on regional shifts.
  double m_moveStep = 0.016;
  /// Queueing time that a request accepts, part of the target latency: while few requests are
  /// rejected, and under lasting overload, when only short queues let responses be in time.
  double m_waitLimit = 0.75;
  double m_overloadWaitLimit = 0.3;
  /// Parts of the requests rejected at which the limit begins to fall and is at its lowest.
  double m_overloadFrom = 0.25;
  double m_overloadFull = 0.5;
  /// First ejection after an unreachable upstream; doubles with each further failure.
  std::chrono::milliseconds m_ejection{ 400 };
  std::chrono::milliseconds m_longestEjection{ 3000 };
  /// Time in which a load report loses most of its meaning; then the average load is assumed.
  std::chrono::milliseconds m_reportLife{ 2000 };
  /// A response is overdue after this multiple of the expected wait and service time, and a
  /// shortest time that covers the spread of short ones.
  double m_overdueFactor = 3;
  std::chrono::milliseconds m_shortestOverdue{ 150 };
  /// Affinity keys remembered an upstream.
  std::size_t m_keysRemembered = 64;
};

/// Chooses upstreams of one service for the requests of one VM.
/// Load pattern: a few dozen hot affinity keys, upstreams whose service time is several times
/// longer for unknown keys, and regional demand waves beyond the region's slots.
///
/// All VMs of a region rank the upstreams of a key alike (rendezvous hashing weighted by slots),
/// so that a key is served where it is known without any messages. A request leaves the first
/// upstream of the ranking when its expected completion there is later than elsewhere. Each key
/// belongs to the own region or to the others as a whole; that part changes slowly.
/// Not thread safe.
class ServiceBalancer
{
public:
  /// An upstream that may receive requests.
  struct Candidate
  {
    Upstream m_upstream;
    /// Until when it counts as cold, and the spacing that this VM keeps then.
    base::MonotonicTime m_coldUntil;
    std::chrono::milliseconds m_coldSpacing{ 0 };
    /// This VM's part of the connections that the upstream accepts from all; each carries one
    /// request at a time.
    std::uint32_t m_maxInFlight = std::numeric_limits<std::uint32_t>::max();
    /// Time to reach it and back.
    std::chrono::milliseconds m_roundTrip{ 0 };
  };

  struct Query
  {
    /// Hash of the affinity key, or random where the route has no affinity.
    std::uint64_t m_key = 0;
    bool m_hasAffinity = false;
    /// Empty: all regions.
    const std::set<std::string>* m_allowedRegions = nullptr;
    /// Upstreams that had the request already.
    const std::vector<std::string>* m_triedUpstreams = nullptr;
    std::chrono::milliseconds m_remaining{ 0 };
    std::chrono::milliseconds m_targetLatency{ 0 };
    /// A large body, which costs bandwidth between regions.
    bool m_isBulk = false;
    /// A second attempt while the first still runs: only at an upstream with a free slot.
    bool m_isHedge = false;
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
    /// Expected time to the response, the shortest found if rejected.
    std::chrono::milliseconds m_expectedLatency{ 0 };
    /// Position in the ranking of the key.
    std::size_t m_rank = 0;
    bool m_isCold = false;
    /// This VM has seen the upstream serve the key.
    bool m_hasServedKey = false;
    /// Time from sending after which the response is overdue.
    std::chrono::milliseconds m_overdueAfter{ 0 };
  };

  ServiceBalancer(BalancerOptions aOptions, std::string aOwnRegion);

  /// Replaces the set of upstreams; what is known about those that stay is kept.
  void Update(std::vector<Candidate> aCandidates, base::MonotonicTime aNow);

  /// Decides on one attempt. The caller reports it by OnSent() and one of the other calls.
  Choice Choose(const Query& aQuery, base::MonotonicTime aNow);

  void OnSent(const std::string& aUpstream, const Query& aQuery, base::MonotonicTime aNow);
  void OnResponse(const std::string& aUpstream,
                  const Query& aQuery,
                  std::chrono::nanoseconds aLatency,
                  const std::optional<LoadReport>& aReport,
                  base::MonotonicTime aNow);
  void OnFailure(const std::string& aUpstream,
                 AttemptFailure aFailure,
                 const std::optional<LoadReport>& aReport,
                 base::MonotonicTime aNow);
  /// The attempt was cancelled by the caller's leaving.
  void OnCancelled(const std::string& aUpstream);

  /// The response to an attempt is overdue. An upstream that has sent nothing at all since the
  /// attempt may be gone without closing its connections; it gets no requests until it is heard.
  /// @param aSentAt start of the attempt.
  /// @return whether the upstream counts as silent from now on.
  bool OnOverdue(const std::string& aUpstream, base::MonotonicTime aSentAt);
  /// A probe was answered by the upstream.
  void OnProbeResponse(const std::string& aUpstream, base::MonotonicTime aNow);

  /// @return part of the affinity keys that belong to the own region.
  double LocalShare() const { return m_localShare; }
  std::size_t size() const { return m_states.size(); }

private:
  struct State
  {
    Candidate m_candidate;
    std::uint64_t m_hash = 0;
    std::uint32_t m_inFlight = 0;
    /// Requests of other VMs at the upstream.
    double m_otherLoad = 0;
    base::MonotonicTime m_reportedAt;
    double m_successRate = 1;
    /// Service time relative to the service's average.
    double m_slowness = 1;
    std::uint32_t m_failures = 0;
    base::MonotonicTime m_ejectedUntil;
    /// When the last response or rejection came.
    base::MonotonicTime m_heardAt;
    bool m_isSilent = false;
    base::MonotonicTime m_lastCold;
    bool m_hasSentCold = false;
    std::unordered_map<std::uint64_t, base::MonotonicTime> m_keys;
  };

  struct Ranked
  {
    double m_score = 0;
    std::size_t m_index = 0;
    bool m_isOther = false;
  };

  /// Expected times of a request at an upstream, in milliseconds.
  struct Estimate
  {
    double m_wait = 0;
    double m_service = 0;
    /// Travel, and the expected cost of a failure.
    double m_other = 0;

    double Total() const { return m_wait + m_service + m_other; }
  };

  State* FindState(const std::string& aUpstream);
  bool IsUsable(const State& aState, const Query& aQuery, base::MonotonicTime aNow) const;
  std::vector<Ranked> Rank(const Query& aQuery, base::MonotonicTime aNow) const;
  bool IsOwnRegion(const State& aState) const;
  bool PrefersOwnRegion(const Query& aQuery) const;
  double OtherLoad(const State& aState, base::MonotonicTime aNow) const;
  double WaitAt(const State& aState, base::MonotonicTime aNow) const;
  Estimate EstimateAt(const State& aState,
                      const Query& aQuery,
                      std::size_t aRank,
                      base::MonotonicTime aNow) const;
  double ServiceTime(const State& aState, const Query& aQuery, std::size_t aRank) const;
  double WarmTime(const Query& aQuery) const;
  double ColdTime(const Query& aQuery) const;
  std::chrono::milliseconds OverdueAfter(const State& aState,
                                         const Query& aQuery,
                                         const Estimate& aEstimate) const;
  double WaitLimit() const;
  void AdjustLocalShare(base::MonotonicTime aNow);
  void InitializeLocalShare();
  void CountOverflow(bool aIsOverflow);
  void NoteReport(State& aState,
                  const std::optional<LoadReport>& aReport,
                  base::MonotonicTime aNow);
  static void Hear(State& aState, base::MonotonicTime aNow);
  void RememberKey(State& aState, std::uint64_t aKey, base::MonotonicTime aNow);

  BalancerOptions m_options;
  std::string m_ownRegion;
  std::vector<State> m_states;
  std::unordered_map<std::string, std::size_t> m_indexById;
  /// Averages in milliseconds; zero until known.
  double m_warmTime = 0;
  double m_coldTime = 0;
  double m_localShare = 1;
  double m_bulkShare = 1;
  bool m_isShareSet = false;
  base::MonotonicTime m_shareChanged;
  double m_overflowRate = 0;
  /// Part of the recent requests that found no room.
  double m_rejectionRate = 0;
  /// Average load by other VMs, part of the slots.
  double m_meanOtherLoad = 0;
};

} // namespace jaylane::policy
