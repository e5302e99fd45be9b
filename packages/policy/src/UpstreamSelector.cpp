#include "jaylane/policy/UpstreamSelector.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <xxhash.h>

namespace jaylane::policy {

using base::MonotonicTime;

namespace {

// Ramps and ejections last for seconds, so checking for their end on every request is not worth
// the cost.
constexpr std::chrono::milliseconds kAdvanceInterval{ 50 };
// A failed or rejected request counts as this multiple of the upstream's latency. Otherwise an
// upstream that fails fast would look like the best one.
constexpr double kFailurePenalty = 2;
constexpr double kMinLatencySeconds = 1e-4;
// Penalties multiply during an outage. Without a bound the mean would overflow and never recover.
constexpr double kMaxLatencySeconds = 60;

// Mean latency assumed until the first request of the service has completed.
constexpr double kInitialLatencySeconds = 0.05;

double Seconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::uint64_t HashIncarnation(std::string_view aIncarnation)
{
  return XXH3_64bits(aIncarnation.data(), aIncarnation.size());
}

UpstreamState MakeState(const ListedUpstream& aListed,
                        std::uint64_t aIncarnation,
                        MonotonicTime aNow)
{
  UpstreamState state;
  state.m_id = aListed.m_id;
  state.m_incarnation = aIncarnation;
  state.m_state = UpstreamChart().Chart().Initial();
  state.m_slots = std::max(aListed.m_slots, 1u);
  state.m_enteredAt = aNow;
  return state;
}

} // namespace

UpstreamSelector::UpstreamSelector(const UpstreamSelectorOptions& aOptions, Random aRandom)
  : m_options(aOptions)
  , m_random(std::move(aRandom))
{
}

const UpstreamState* UpstreamSelector::Find(std::string_view aId) const
{
  const auto found = std::lower_bound(
    m_upstreams.begin(), m_upstreams.end(), aId, [](const UpstreamState& aState, auto aWanted) {
      return aState.m_id < aWanted;
    });
  return found != m_upstreams.end() && found->m_id == aId ? &*found : nullptr;
}

UpstreamState* UpstreamSelector::FindMutable(std::string_view aId)
{
  return const_cast<UpstreamState*>(Find(aId));
}

UpstreamState* UpstreamSelector::FindMutable(const UpstreamChoice& aChoice)
{
  auto* const state = FindMutable(aChoice.m_id);
  return state != nullptr && state->m_incarnation == aChoice.m_incarnation ? state : nullptr;
}

void UpstreamSelector::ApplyList(std::span<const ListedUpstream> aList, MonotonicTime aNow)
{
  std::unordered_set<std::string_view> ids;
  for (const ListedUpstream& listed : aList) {
    ids.insert(listed.m_id);
    auto* state = FindMutable(listed.m_id);
    if (state == nullptr) {
      auto added = MakeState(listed, HashIncarnation(listed.m_incarnation), aNow);
      added.m_wasRunning = !m_hasList;
      const auto place = std::lower_bound(
        m_upstreams.begin(),
        m_upstreams.end(),
        listed.m_id,
        [](const UpstreamState& aState, const auto& aId) { return aState.m_id < aId; });
      state = &*m_upstreams.insert(place, std::move(added));
    }
    ApplyListed(*state, listed, aNow);
  }
  for (UpstreamState& state : m_upstreams) {
    if (!ids.contains(state.m_id)) {
      ApplyMissing(state, aNow);
    }
  }
  std::erase_if(m_upstreams, [&](const UpstreamState& aState) {
    return aState.Phase() == UpstreamPhase::Gone &&
           aNow - aState.m_enteredAt > m_options.m_goneRetention;
  });
  m_hasList = m_hasList || !aList.empty();
}

void UpstreamSelector::ApplyListed(UpstreamState& aUpstream,
                                   const ListedUpstream& aListed,
                                   MonotonicTime aNow)
{
  const auto incarnation = HashIncarnation(aListed.m_incarnation);
  auto& replaced = aUpstream.m_replacedIncarnations;
  if (incarnation != aUpstream.m_incarnation) {
    if (std::find(replaced.begin(), replaced.end(), incarnation) != replaced.end()) {
      return;
    }
    auto fresh = MakeState(aListed, incarnation, aNow);
    std::copy(replaced.begin(), replaced.end() - 1, fresh.m_replacedIncarnations.begin() + 1);
    fresh.m_replacedIncarnations[0] = aUpstream.m_incarnation;
    aUpstream = std::move(fresh);
  }
  aUpstream.m_slots = std::max(aListed.m_slots, 1u);
  aUpstream.m_unlistedAt.reset();
  if (aListed.m_leaving) {
    Fire(aUpstream, UpstreamEvent::Leave, aNow);
  } else {
    Fire(aUpstream, UpstreamEvent::List, aNow);
  }
}

void UpstreamSelector::ApplyMissing(UpstreamState& aUpstream, MonotonicTime aNow)
{
  if (!aUpstream.m_unlistedAt) {
    aUpstream.m_unlistedAt = aNow;
  }
  // A wrong list must not take an upstream out of use that is completing requests.
  if (aNow - *aUpstream.m_unlistedAt < m_options.m_unlistedGracePeriod &&
      aUpstream.Phase() != UpstreamPhase::Leaving && HasRecentSuccess(aUpstream, aNow)) {
    return;
  }
  Fire(aUpstream, UpstreamEvent::Vanish, aNow);
}

void UpstreamSelector::ApplyProbe(std::string_view aId,
                                  std::string_view aIncarnation,
                                  ProbeResult aResult,
                                  MonotonicTime aNow)
{
  auto* const state = FindMutable({ std::string(aId), HashIncarnation(aIncarnation) });
  if (state == nullptr) {
    return;
  }
  switch (aResult) {
    case ProbeResult::Leaving:
      Fire(*state, UpstreamEvent::Leave, aNow);
      return;
    case ProbeResult::Unreachable:
      if (++state->m_probeFailures >= m_options.m_failureThreshold &&
          !HasRecentSuccess(*state, aNow)) {
        Eject(*state, aNow);
      }
      return;
    case ProbeResult::Warming:
      state->m_wasRunning = false;
      [[fallthrough]];
    case ProbeResult::Active:
      state->m_probeFailures = 0;
      Fire(*state, UpstreamEvent::Ready, aNow);
      return;
  }
}

void UpstreamSelector::ApplyLoad(std::string_view aId, std::uint32_t aInFlight, MonotonicTime aNow)
{
  if (auto* const state = FindMutable(aId)) {
    state->m_reportedInFlight = aInFlight;
    state->m_reportedAt = aNow;
  }
}

void UpstreamSelector::Dispatched(const UpstreamChoice& aChoice)
{
  if (auto* const state = FindMutable(aChoice)) {
    ++state->m_inFlight;
  }
}

void UpstreamSelector::Finished(const UpstreamChoice& aChoice,
                                DispatchResult aResult,
                                std::chrono::nanoseconds aLatency,
                                MonotonicTime aNow)
{
  auto* const state = FindMutable(aChoice);
  if (state == nullptr) {
    return;
  }
  state->m_inFlight -= state->m_inFlight > 0 ? 1 : 0;
  switch (aResult) {
    case DispatchResult::Completed:
      state->m_failures = 0;
      state->m_probeFailures = 0;
      state->m_lastSuccess = aNow;
      UpdateLatency(*state, Seconds(aLatency), aNow);
      UpdateMean(Seconds(aLatency));
      Fire(*state, UpstreamEvent::Ready, aNow);
      Fire(*state, UpstreamEvent::Recover, aNow);
      return;
    case DispatchResult::Rejected:
      UpdateLatency(*state, kFailurePenalty * Latency(*state, aNow), aNow);
      return;
    case DispatchResult::Failed:
    case DispatchResult::TimedOut: {
      const double penalty = kFailurePenalty * Latency(*state, aNow);
      UpdateLatency(*state, std::max(penalty, Seconds(aLatency)), aNow);
      if (++state->m_failures >= m_options.m_failureThreshold) {
        Eject(*state, aNow);
      }
      return;
    }
    case DispatchResult::Cancelled:
      return;
  }
}

bool UpstreamSelector::HasRecentSuccess(const UpstreamState& aUpstream, MonotonicTime aNow) const
{
  return aUpstream.m_failures == 0 && aUpstream.m_lastSuccess &&
         aNow - *aUpstream.m_lastSuccess <= m_options.m_recentSuccessTime;
}

bool UpstreamSelector::MayEject() const
{
  std::size_t total = 0;
  std::size_t ejected = 0;
  for (const UpstreamState& state : m_upstreams) {
    const auto phase = state.Phase();
    total += phase != UpstreamPhase::Leaving && phase != UpstreamPhase::Gone ? 1 : 0;
    ejected += phase == UpstreamPhase::Suspect ? 1 : 0;
  }
  const auto share =
    static_cast<std::size_t>(m_options.m_maxEjectedShare * static_cast<double>(total));
  return ejected < (total >= 2 ? std::max<std::size_t>(share, 1) : 0);
}

void UpstreamSelector::Eject(UpstreamState& aUpstream, MonotonicTime aNow)
{
  aUpstream.m_mayEject = MayEject();
  Fire(aUpstream, UpstreamEvent::Fail, aNow);
}

bool UpstreamSelector::IsEjectionOver(const UpstreamState& aUpstream, MonotonicTime aNow) const
{
  // Probes may keep failing although the upstream works, so they cannot extend an ejection beyond
  // the maximum.
  const auto elapsed = aNow - aUpstream.m_enteredAt;
  if (elapsed >= m_options.m_maxEjectionTime) {
    return true;
  }
  const auto doublings = std::min(std::max(aUpstream.m_ejections, 1u) - 1, 16u);
  return elapsed >= m_options.m_baseEjectionTime * (1u << doublings) &&
         aUpstream.m_probeFailures < m_options.m_failureThreshold;
}

void UpstreamSelector::Advance(MonotonicTime aNow)
{
  m_nextAdvance = aNow + kAdvanceInterval;
  for (UpstreamState& state : m_upstreams) {
    AdvanceOne(state, aNow);
  }
}

void UpstreamSelector::AdvanceOne(UpstreamState& aUpstream, MonotonicTime aNow)
{
  if (aUpstream.m_unlistedAt) {
    ApplyMissing(aUpstream, aNow);
  }
  const auto elapsed = aNow - aUpstream.m_enteredAt;
  switch (aUpstream.Phase()) {
    case UpstreamPhase::Joining:
      if (elapsed >= m_options.m_joinTimeout) {
        Fire(aUpstream, UpstreamEvent::Ready, aNow);
      }
      return;
    case UpstreamPhase::Warming:
      if (elapsed >= m_options.m_rampDuration) {
        Fire(aUpstream, UpstreamEvent::Warmed, aNow);
      }
      return;
    case UpstreamPhase::Suspect:
      if (IsEjectionOver(aUpstream, aNow)) {
        Fire(aUpstream, UpstreamEvent::Recover, aNow);
      }
      return;
    case UpstreamPhase::Active:
      if (elapsed >= m_options.m_maxEjectionTime) {
        aUpstream.m_ejections = 0;
      }
      return;
    case UpstreamPhase::Leaving:
    case UpstreamPhase::Gone:
      return;
  }
}

void UpstreamSelector::UpdateLatency(UpstreamState& aUpstream, double aSeconds, MonotonicTime aNow)
{
  const double sample = std::clamp(aSeconds, kMinLatencySeconds, kMaxLatencySeconds);
  const double timeConstant = Seconds(m_options.m_latencyTimeConstant);
  if (aUpstream.m_latency == 0) {
    aUpstream.m_latency = sample;
  } else {
    // The weight grows with the time since the last sample. The bound limits the effect of a single
    // sample on an upstream that is used rarely.
    const double idleTime = std::max(Seconds(aNow - aUpstream.m_latencyUpdatedAt), 0.0);
    const double weight = std::min(1 - std::exp(-idleTime / timeConstant), 0.3);
    aUpstream.m_latency += weight * (sample - aUpstream.m_latency);
  }
  aUpstream.m_latencyUpdatedAt = aNow;
}

void UpstreamSelector::UpdateMean(double aSeconds)
{
  const double sample = std::clamp(aSeconds, kMinLatencySeconds, kMaxLatencySeconds);
  // Averages over about the last 100 completed requests.
  m_meanLatency = m_meanLatency == 0 ? sample : m_meanLatency + 0.01 * (sample - m_meanLatency);
}

double UpstreamSelector::Latency(const UpstreamState& aUpstream, MonotonicTime aNow) const
{
  const double mean = m_meanLatency == 0 ? kInitialLatencySeconds : m_meanLatency;
  if (aUpstream.m_latency == 0) {
    return mean;
  }
  const double idleTime =
    Seconds(aNow - aUpstream.m_latencyUpdatedAt) / Seconds(m_options.m_latencyDecayTime);
  return idleTime < 0.1 ? aUpstream.m_latency
                        : mean + (aUpstream.m_latency - mean) * std::exp(-idleTime);
}

} // namespace jaylane::policy
