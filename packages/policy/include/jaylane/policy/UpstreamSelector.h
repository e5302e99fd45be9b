#pragma once

#include "jaylane/policy/UpstreamState.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// An upstream in the platform's VM list.
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
  /// UpstreamState::m_incarnation at that time.
  std::uint64_t m_incarnation = 0;
};

enum class ProbeResult
{
  Active,
  Warming,
  Leaving,
  Unreachable,
};

/// How a request of this VM ended.
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
  /// Time in which the share of a new or recovered upstream grows linearly to the full one; see
  /// docs/decisions/slow-start.md.
  std::chrono::milliseconds m_rampDuration{ std::chrono::seconds{ 12 } };
  /// Share at the start of the ramp.
  double m_rampFloor = 0.1;
  /// A listed upstream counts as ready after this time without a probe.
  std::chrono::milliseconds m_joinTimeout{ 2000 };
  /// Consecutive own failures, or failed probes, that eject.
  std::uint32_t m_failures = 3;
  /// Share of a service's upstreams ejected at most, rounded down, but at least one of two.
  double m_maxEjectedShare = 0.3;
  /// First ejection; doubles with each further one up to m_maxEjection.
  std::chrono::milliseconds m_ejection{ 5000 };
  std::chrono::milliseconds m_maxEjection{ 60000 };
  /// An own success this recent outweighs probes and the VM list.
  std::chrono::milliseconds m_trustOwn{ 3000 };
  /// An upstream that still answers is kept this long after the list dropped it.
  std::chrono::milliseconds m_maxUnlisted{ 30000 };
  /// A gone upstream is remembered this long: a list that lags less cannot revive it.
  std::chrono::milliseconds m_rememberGone{ std::chrono::minutes{ 10 } };
  /// Time constant of the latency mean.
  std::chrono::milliseconds m_latencyMemory{ 3000 };
  /// Time constant with which an unused upstream's latency returns to the service's mean, so
  /// that it is tried again.
  std::chrono::milliseconds m_latencyReturn{ 10000 };
  /// Scores this close count as a tie (0.01 = 1%).
  double m_tie = 0.01;
  /// Reported load older than this is ignored.
  std::chrono::milliseconds m_reportLifetime{ 10000 };
};

/// Chooses the upstream of each request of one service. Not thread safe.
class UpstreamSelector
{
public:
  /// @return uniformly distributed 64 bits.
  using Random = std::function<std::uint64_t()>;
  /// @return whether this VM may dispatch to the upstream now.
  using HasFreeSlot = std::function<bool(std::string_view)>;

  /// @param aRandom source of the random candidates.
  UpstreamSelector(const UpstreamSelectorOptions& aOptions, Random aRandom);

  /// Changes the options; they apply from the next decision on.
  void SetOptions(const UpstreamSelectorOptions& aOptions) { m_options = aOptions; }

  /// Applies a VM list; upstreams that it lacks are gone.
  void ApplyList(std::span<const ListedUpstream> aList, base::MonotonicTime aNow);

  /// @param aIncarnation the incarnation known when the probe was sent; a result for another
  ///                     one is ignored.
  void ApplyProbe(std::string_view aId,
                  std::string_view aIncarnation,
                  ProbeResult aResult,
                  base::MonotonicTime aNow);

  /// Reports lag or are wrong, so they only break ties.
  /// @param aInFlight requests that the upstream reports.
  void ApplyLoad(std::string_view aId, std::uint32_t aInFlight, base::MonotonicTime aNow);

  /// @param aExcluded upstreams already tried.
  /// @return id of the upstream, or nothing if none may be used. Suspect and joining upstreams
  ///         are used only if no other exists; leaving and gone ones never.
  std::optional<UpstreamChoice> Pick(const HasFreeSlot& aHasFreeSlot,
                                     std::span<const std::string> aExcluded,
                                     base::MonotonicTime aNow);

  /// Counts a dispatched request. Each needs one Finished().
  void Dispatched(const UpstreamChoice& aChoice);

  /// Results of a replaced incarnation are ignored.
  /// @param aLatency time from dispatch to the last byte; used if completed or timed out.
  void Finished(const UpstreamChoice& aChoice,
                DispatchResult aResult,
                std::chrono::nanoseconds aLatency,
                base::MonotonicTime aNow);

  /// Ends ramps and ejections whose time has passed. Called by Pick() too.
  void Advance(base::MonotonicTime aNow);

  /// @return the state, or nullptr. Valid until the next ApplyList().
  const UpstreamState* Find(std::string_view aId) const;

  /// @return all upstreams.
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
  bool OwnSuccessIsRecent(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  bool MayEject() const;
  bool EjectionIsOver(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  void UpdateLatency(UpstreamState& aUpstream, double aSeconds, base::MonotonicTime aNow);
  void UpdateMean(double aSeconds);
  double Latency(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  double RampShare(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  double Score(const UpstreamState& aUpstream, base::MonotonicTime aNow) const;
  const UpstreamState& Better(const UpstreamState& aFirst,
                              const UpstreamState& aSecond,
                              base::MonotonicTime aNow) const;
  const UpstreamState* PickByDrawing(const Request& aRequest);
  const UpstreamState* PickByScanning(const Request& aRequest);
  std::size_t DrawCandidate(base::MonotonicTime aNow, std::size_t aExcept);
  double UnitRandom();

  UpstreamSelectorOptions m_options;
  Random m_random;
  std::vector<UpstreamState> m_upstreams;
  // Indices in m_upstreams; a member to avoid an allocation per request.
  std::vector<std::size_t> m_candidates;
  // Mean latency of the service in seconds, 0 while unknown.
  double m_meanLatency = 0;
  base::MonotonicTime m_nextAdvance;
  bool m_hasList = false;
};

} // namespace jaylane::policy
