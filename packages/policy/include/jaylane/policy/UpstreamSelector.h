#pragma once

#include "jaylane/policy/UpstreamState.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// An entry of the platform's VM list.
struct ListedUpstream
{
  std::string m_id;
  std::string m_incarnation;
  std::uint32_t m_slots = 1;
  bool m_leaving = false;
};

/// An upstream chosen for one request.
struct UpstreamChoice
{
  std::string m_id;
  /// UpstreamState::m_incarnation when it was chosen.
  std::uint64_t m_incarnation = 0;
};

/// What a health probe found.
enum class ProbeResult
{
  Active,
  Warming,
  Leaving,
  Unreachable,
};

/// How a request that this VM dispatched to an upstream ended.
enum class DispatchResult
{
  Completed,
  /// The upstream proved that it did not execute the request.
  Rejected,
  /// Connection refused or lost, or an invalid response.
  Failed,
  TimedOut,
  /// Cancelled by the caller; says nothing about the upstream.
  Cancelled,
};

struct UpstreamSelectorOptions
{
  /// Time over which the share of a new or recovered upstream grows linearly to its full share;
  /// see docs/decisions/slow-start.md.
  std::chrono::milliseconds m_rampDuration{ std::chrono::seconds{ 12 } };
  /// Fraction of the full share at the start of the ramp.
  double m_rampInitialShare = 0.1;
  /// A listed upstream counts as ready after this time without a probe result.
  std::chrono::milliseconds m_joinTimeout{ 2000 };
  /// Consecutive failures of dispatched requests, or of probes, after which an upstream is
  /// ejected.
  std::uint32_t m_failureThreshold = 3;
  /// Largest fraction of a service's upstreams that may be ejected at a time, rounded down. If
  /// there are two or more upstreams, one may always be ejected.
  double m_maxEjectedShare = 0.3;
  /// Length of the first ejection; doubles with each further one up to m_maxEjectionTime.
  std::chrono::milliseconds m_baseEjectionTime{ 5000 };
  std::chrono::milliseconds m_maxEjectionTime{ 60000 };
  /// A request completed this recently outweighs failed probes and the VM list.
  std::chrono::milliseconds m_recentSuccessTime{ 3000 };
  /// An upstream that still completes requests is kept this long after the list dropped it.
  std::chrono::milliseconds m_unlistedGracePeriod{ 30000 };
  /// The state of a gone upstream is kept this long, so that a list that lags by less cannot
  /// bring back an upstream that left.
  std::chrono::milliseconds m_goneRetention{ std::chrono::minutes{ 10 } };
  /// Time constant of an upstream's mean latency.
  std::chrono::milliseconds m_latencyTimeConstant{ 3000 };
  /// Time constant with which the latency of an unused upstream decays to the service's mean, so
  /// that the upstream is tried again.
  std::chrono::milliseconds m_latencyDecayTime{ 10000 };
  /// Relative difference of two scores up to which they count as tied.
  double m_tieTolerance = 0.01;
  /// Load reports older than this are ignored.
  std::chrono::milliseconds m_maxReportAge{ 10000 };
};

/// Chooses the upstream of each request of one service. Not thread safe.
class UpstreamSelector
{
public:
  /// @return uniformly distributed 64 bits.
  using Random = std::function<std::uint64_t()>;
  /// @return whether this VM has a free slot at the upstream with the given id.
  using HasFreeSlot = std::function<bool(std::string_view)>;

  /// @param aRandom random source for sampling candidates.
  UpstreamSelector(const UpstreamSelectorOptions& aOptions, Random aRandom);

  /// Changes the options; they apply from the next decision on.
  void SetOptions(const UpstreamSelectorOptions& aOptions) { m_options = aOptions; }

  /// Applies a VM list. Upstreams missing from it become gone, some after
  /// m_unlistedGracePeriod.
  void ApplyList(std::span<const ListedUpstream> aList, base::MonotonicTime aNow);

  /// Applies the result of a health probe.
  /// @param aIncarnation incarnation to which the probe was sent; the result is ignored if the
  ///                     upstream has been replaced since.
  void ApplyProbe(std::string_view aId,
                  std::string_view aIncarnation,
                  ProbeResult aResult,
                  base::MonotonicTime aNow);

  /// Applies a load report. Reports may be late or wrong, so they only break ties.
  /// @param aInFlight requests in flight at the upstream, from all VMs.
  void ApplyLoad(std::string_view aId, std::uint32_t aInFlight, base::MonotonicTime aNow);

  /// Chooses the less loaded of two random upstreams.
  /// @param aExcluded upstreams already tried.
  /// @return the upstream, or nothing if none is usable. Suspect and joining upstreams are used
  ///         only if there are no active or warming ones; leaving and gone ones are never used.
  std::optional<UpstreamChoice> Pick(const HasFreeSlot& aHasFreeSlot,
                                     std::span<const std::string> aExcluded,
                                     base::MonotonicTime aNow);

  /// Counts a dispatched request. Each call must be followed by one call of Finished().
  void Dispatched(const UpstreamChoice& aChoice);

  /// Records the end of a dispatched request. Ignored if the upstream has been replaced since.
  /// @param aLatency time from dispatch to the last byte; ignored if rejected or cancelled.
  void Finished(const UpstreamChoice& aChoice,
                DispatchResult aResult,
                std::chrono::nanoseconds aLatency,
                base::MonotonicTime aNow);

  /// Ends ramps and ejections whose time is over. Also called by Pick().
  void Advance(base::MonotonicTime aNow);

  /// @return the state, or nullptr. Valid until the next ApplyList().
  const UpstreamState* Find(std::string_view aId) const;

  /// @return all upstreams, ordered by id. Valid until the next ApplyList().
  std::span<const UpstreamState> Upstreams() const { return m_upstreams; }

private:
  struct Request
  {
    const HasFreeSlot& m_hasFreeSlot;
    std::span<const std::string> m_excluded;
    base::MonotonicTime m_now;
  };

  UpstreamState* FindMutable(std::string_view aId);
  UpstreamState* FindMutable(const UpstreamChoice& aChoice);
  void ApplyListed(UpstreamState& aUpstream,
                   const ListedUpstream& aListed,
                   base::MonotonicTime aNow);
  void ApplyMissing(UpstreamState& aUpstream, base::MonotonicTime aNow);
  void AdvanceOne(UpstreamState& aUpstream, base::MonotonicTime aNow);
  void Eject(UpstreamState& aUpstream, base::MonotonicTime aNow);
  bool HasRecentSuccess(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  bool MayEject() const;
  bool IsEjectionOver(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  void UpdateLatency(UpstreamState& aUpstream, double aSeconds, base::MonotonicTime aNow);
  void UpdateMean(double aSeconds);
  double Latency(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  double RampShare(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  double Score(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  const UpstreamState& LessLoaded(const UpstreamState& aFirst,
                                  const UpstreamState& aSecond,
                                  base::MonotonicTime aNow) const;
  const UpstreamState* PickBySampling(const Request& aRequest);
  const UpstreamState* PickByScanning(const Request& aRequest);
  std::size_t SampleCandidate(base::MonotonicTime aNow, std::size_t aExcept);
  double UnitRandom();

  UpstreamSelectorOptions m_options;
  Random m_random;
  // Ordered by id.
  std::vector<UpstreamState> m_upstreams;
  // Scratch space of PickByScanning(): indices in m_upstreams. A member so that no memory is
  // allocated per request.
  std::vector<std::size_t> m_candidates;
  // Mean latency of the service in seconds; 0 before the first completed request.
  double m_meanLatency = 0;
  base::MonotonicTime m_nextAdvance;
  // Whether a VM list that was not empty has been applied.
  bool m_hasList = false;
};

} // namespace jaylane::policy
