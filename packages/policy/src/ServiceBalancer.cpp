#include "jaylane/policy/ServiceBalancer.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Shortest time between two steps of the local share; five steps in two seconds.
constexpr milliseconds kShareStep{ 400 };
/// Requests over which the overflow share is averaged.
constexpr double kOverflowGain = 1.0 / 100;
/// Cost of leaving the region beyond the round trip: bytes on shared links.
constexpr double kOtherRegionCost = 20;
/// Separates the hash that places a key in a region from the one that ranks upstreams.
constexpr std::uint64_t kRegionSalt = 0x9E3779B97F4A7C15;
/// Quantile of service times that estimates follow; waiting in queues is estimated apart.
constexpr double kTimeQuantile = 0.35;
/// Weight of the newest load report of an upstream, and in the average over all.
constexpr double kReportGain = 0.5;
constexpr double kMeanLoadGain = 0.05;
/// Weight of the newest decision in the part of requests rejected: about the last 100.
constexpr double kRejectionGain = 0.01;
constexpr double kHashRange = 18446744073709551616.0;

std::uint64_t Mix(std::uint64_t aValue)
{
  return XXH64(&aValue, sizeof aValue, kRegionSalt);
}

double UnitInterval(std::uint64_t aHash)
{
  return (static_cast<double>(aHash) + 1) / (kHashRange + 2);
}

double ToMillis(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

/// Moves an estimate towards a quantile of the samples; unlike an average it is not raised by
/// the few samples that waited in a queue.
void TrackQuantile(double& aEstimate, double aSample, double aQuantile, double aGain)
{
  if (aEstimate == 0) {
    aEstimate = aSample;
  } else {
    aEstimate *= 1 + aGain * (aSample > aEstimate ? aQuantile : aQuantile - 1);
  }
}

void Average(double& aAverage, double aSample, double aGain)
{
  aAverage = aAverage == 0 ? aSample : aAverage + aGain * (aSample - aAverage);
}

} // namespace

ServiceBalancer::ServiceBalancer(BalancerOptions aOptions, std::string aOwnRegion)
  : m_options(aOptions)
  , m_ownRegion(std::move(aOwnRegion))
{
}

void ServiceBalancer::Update(std::vector<Candidate> aCandidates, base::MonotonicTime aNow)
{
  std::vector<State> states;
  states.reserve(aCandidates.size());
  std::unordered_map<std::string, std::size_t> indexById;
  for (Candidate& candidate : aCandidates) {
    const std::string id = candidate.m_upstream.m_id;
    State state;
    if (State* known = FindState(id); known && known->m_candidate.m_upstream.m_startedAtMs ==
                                                 candidate.m_upstream.m_startedAtMs) {
      state = std::move(*known);
    }
    state.m_candidate = std::move(candidate);
    state.m_hash = XXH64(id.data(), id.size(), 0);
    indexById[id] = states.size();
    states.push_back(std::move(state));
  }
  m_states = std::move(states);
  m_indexById = std::move(indexById);
  if (!m_isShareSet && !m_states.empty()) {
    InitializeLocalShare();
    m_shareChanged = aNow;
  }
}

void ServiceBalancer::InitializeLocalShare()
{
  // Assumes equal demand in each region that has upstreams until load reports say more.
  double own = 0;
  double all = 0;
  std::set<std::string> regions;
  for (const State& state : m_states) {
    const double slots = state.m_candidate.m_upstream.m_slots;
    all += slots;
    own += IsOwnRegion(state) ? slots : 0;
    regions.insert(state.m_candidate.m_upstream.m_region);
  }
  m_localShare = all == 0 ? 1 : std::min(1.0, own / all * static_cast<double>(regions.size()));
  m_isShareSet = true;
}

ServiceBalancer::State* ServiceBalancer::FindState(const std::string& aUpstream)
{
  const auto index = m_indexById.find(aUpstream);
  return index == m_indexById.end() ? nullptr : &m_states[index->second];
}

bool ServiceBalancer::IsOwnRegion(const State& aState) const
{
  return aState.m_candidate.m_upstream.m_region == m_ownRegion;
}

bool ServiceBalancer::PrefersOwnRegion(const Query& aQuery) const
{
  return UnitInterval(Mix(aQuery.m_key)) <= (aQuery.m_isBulk ? m_bulkShare : m_localShare);
}

bool ServiceBalancer::IsUsable(const State& aState,
                               const Query& aQuery,
                               base::MonotonicTime aNow) const
{
  const Upstream& upstream = aState.m_candidate.m_upstream;
  if (aQuery.m_allowedRegions && !aQuery.m_allowedRegions->empty() &&
      !aQuery.m_allowedRegions->contains(upstream.m_region)) {
    return false;
  }
  if (aState.m_inFlight >= aState.m_candidate.m_maxInFlight) {
    return false;
  }
  if (aState.m_isSilent || aNow < aState.m_ejectedUntil ||
      (aState.m_failures > 0 && aState.m_inFlight > 0)) {
    return false;
  }
  if (aQuery.m_triedUpstreams && std::ranges::find(*aQuery.m_triedUpstreams, upstream.m_id) !=
                                   aQuery.m_triedUpstreams->end()) {
    return false;
  }
  if (aNow >= aState.m_candidate.m_coldUntil) {
    return true;
  }
  const milliseconds spacing = aState.m_candidate.m_coldSpacing;
  return spacing.count() > 0 && (!aState.m_hasSentCold || aNow - aState.m_lastCold >= spacing);
}

std::vector<ServiceBalancer::Ranked> ServiceBalancer::Rank(const Query& aQuery,
                                                           base::MonotonicTime aNow) const
{
  const bool prefersOwn = PrefersOwnRegion(aQuery);
  std::vector<Ranked> preferred;
  std::vector<Ranked> others;
  for (std::size_t i = 0; i < m_states.size(); ++i) {
    const State& state = m_states[i];
    if (!IsUsable(state, aQuery, aNow)) {
      continue;
    }
    const double unit = UnitInterval(Mix(aQuery.m_key ^ state.m_hash));
    const double score = state.m_candidate.m_upstream.m_slots / -std::log(unit);
    const bool isOther = IsOwnRegion(state) != prefersOwn;
    (isOther ? others : preferred).push_back({ score, i, isOther });
  }
  const auto keepBest = [](std::vector<Ranked>& aRanked, std::size_t aCount) {
    const auto middle = aRanked.begin() + std::min(aCount, aRanked.size());
    std::ranges::partial_sort(aRanked, middle, std::ranges::greater{}, &Ranked::m_score);
    aRanked.erase(middle, aRanked.end());
  };
  keepBest(preferred, m_options.m_preferredCandidates);
  if (preferred.empty() || m_overflowRate < m_options.m_overflowShare) {
    keepBest(others, m_options.m_otherCandidates);
    preferred.insert(preferred.end(), others.begin(), others.end());
  }
  return preferred;
}

double ServiceBalancer::WarmTime(const Query& aQuery) const
{
  return m_warmTime > 0 ? m_warmTime : m_options.m_warmPrior * ToMillis(aQuery.m_targetLatency);
}

double ServiceBalancer::ColdTime(const Query& aQuery) const
{
  const double cold =
    m_coldTime > 0 ? m_coldTime : m_options.m_coldPrior * ToMillis(aQuery.m_targetLatency);
  return std::max(cold, WarmTime(aQuery));
}

double ServiceBalancer::ServiceTime(const State& aState,
                                    const Query& aQuery,
                                    std::size_t aRank) const
{
  // The first of the ranking is taken to know the key: other VMs send it there too.
  const bool isFirst = aRank == 0 && !aQuery.m_isHedge;
  const bool isWarm = !aQuery.m_hasAffinity || isFirst || aState.m_keys.contains(aQuery.m_key);
  return (isWarm ? WarmTime(aQuery) : ColdTime(aQuery)) * aState.m_slowness;
}

milliseconds ServiceBalancer::OverdueAfter(const State& aState,
                                           const Query& aQuery,
                                           const Estimate& aEstimate) const
{
  const bool isKnown = !aQuery.m_hasAffinity || aState.m_keys.contains(aQuery.m_key);
  const double service = isKnown ? WarmTime(aQuery) : ColdTime(aQuery);
  const double expected =
    ToMillis(aState.m_candidate.m_roundTrip) + aEstimate.m_wait + service * aState.m_slowness;
  const milliseconds overdue{ static_cast<std::int64_t>(expected * m_options.m_overdueFactor) };
  return std::max(overdue, m_options.m_shortestOverdue);
}

double ServiceBalancer::OtherLoad(const State& aState, base::MonotonicTime aNow) const
{
  const double age = ToMillis(aNow - aState.m_reportedAt);
  const double weight = std::exp(-age / ToMillis(m_options.m_reportLife));
  const double average = m_meanOtherLoad * aState.m_candidate.m_upstream.m_slots;
  return average + weight * (aState.m_otherLoad - average);
}

double ServiceBalancer::WaitAt(const State& aState, base::MonotonicTime aNow) const
{
  const double slots = std::max(1U, aState.m_candidate.m_upstream.m_slots);
  const double load = aState.m_inFlight + OtherLoad(aState, aNow);
  return std::max(0.0, load - slots + 1) / slots;
}

ServiceBalancer::Estimate ServiceBalancer::EstimateAt(const State& aState,
                                                      const Query& aQuery,
                                                      std::size_t aRank,
                                                      base::MonotonicTime aNow) const
{
  Estimate estimate;
  estimate.m_wait = WaitAt(aState, aNow) * WarmTime(aQuery) * aState.m_slowness;
  estimate.m_service = ServiceTime(aState, aQuery, aRank);
  const double failing =
    (1 - aState.m_successRate) * m_options.m_failureCost * ToMillis(aQuery.m_targetLatency);
  const double leaving = IsOwnRegion(aState) ? 0 : kOtherRegionCost;
  estimate.m_other = ToMillis(aState.m_candidate.m_roundTrip) + failing + leaving;
  return estimate;
}

ServiceBalancer::Choice ServiceBalancer::Choose(const Query& aQuery, base::MonotonicTime aNow)
{
  AdjustLocalShare(aNow);
  Choice choice;
  Estimate best;
  const std::vector<Ranked> ranked = Rank(aQuery, aNow);
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    const State& state = m_states[ranked[rank].m_index];
    const Estimate estimate = EstimateAt(state, aQuery, rank, aNow);
    if (!choice.m_upstream || estimate.Total() < best.Total()) {
      best = estimate;
      choice.m_upstream = &state.m_candidate.m_upstream;
      choice.m_rank = rank;
      choice.m_isCold = aNow < state.m_candidate.m_coldUntil;
      choice.m_hasServedKey = state.m_keys.contains(aQuery.m_key);
      choice.m_overdueAfter = OverdueAfter(state, aQuery, estimate);
    }
  }
  if (!choice.m_upstream) {
    return choice;
  }
  choice.m_expectedLatency = milliseconds{ static_cast<std::int64_t>(best.Total()) };
  const double target = ToMillis(aQuery.m_targetLatency);
  const double withoutWait = best.Total() - best.m_wait;
  // A request that needs long by itself is still worth sending, since the upstream then knows it.
  const double limit = std::max(WaitLimit() * target, target - withoutWait);
  const bool isInTime = withoutWait <= ToMillis(aQuery.m_remaining);
  if (aQuery.m_isHedge) {
    const bool isFree = best.m_wait == 0 && !choice.m_isCold;
    choice.m_decision = isFree && isInTime ? Decision::Send : Decision::Overloaded;
    return choice;
  }
  choice.m_decision = best.m_wait <= limit && isInTime ? Decision::Send : Decision::Overloaded;
  const double rejected = choice.m_decision == Decision::Overloaded ? 1 : 0;
  m_rejectionRate += kRejectionGain * (rejected - m_rejectionRate);
  return choice;
}

double ServiceBalancer::WaitLimit() const
{
  const double overload = (m_rejectionRate - m_options.m_overloadFrom) /
                          (m_options.m_overloadFull - m_options.m_overloadFrom);
  const double fall = m_options.m_waitLimit - m_options.m_overloadWaitLimit;
  return m_options.m_waitLimit - fall * std::clamp(overload, 0.0, 1.0);
}

void ServiceBalancer::CountOverflow(bool aIsOverflow)
{
  m_overflowRate += kOverflowGain * ((aIsOverflow ? 1.0 : 0.0) - m_overflowRate);
}

void ServiceBalancer::OnSent(const std::string& aUpstream,
                             const Query& aQuery,
                             base::MonotonicTime aNow)
{
  State* state = FindState(aUpstream);
  if (!state) {
    return;
  }
  ++state->m_inFlight;
  if (aNow < state->m_candidate.m_coldUntil) {
    state->m_hasSentCold = true;
    state->m_lastCold = aNow;
  }
  CountOverflow(IsOwnRegion(*state) != PrefersOwnRegion(aQuery));
}

void ServiceBalancer::NoteReport(State& aState,
                                 const std::optional<LoadReport>& aReport,
                                 base::MonotonicTime aNow)
{
  if (!aReport) {
    return;
  }
  const double load = aReport->m_running + aReport->m_waiting;
  const double others = std::max(0.0, load - aState.m_inFlight);
  aState.m_otherLoad = OtherLoad(aState, aNow);
  aState.m_otherLoad += kReportGain * (others - aState.m_otherLoad);
  aState.m_reportedAt = aNow;
  const double slots = std::max(1U, aState.m_candidate.m_upstream.m_slots);
  m_meanOtherLoad += kMeanLoadGain * (others / slots - m_meanOtherLoad);
}

void ServiceBalancer::RememberKey(State& aState, std::uint64_t aKey, base::MonotonicTime aNow)
{
  aState.m_keys[aKey] = aNow;
  if (aState.m_keys.size() > m_options.m_keysRemembered) {
    aState.m_keys.erase(std::ranges::min_element(
      aState.m_keys, {}, [](const auto& aEntry) { return aEntry.second; }));
  }
}

void ServiceBalancer::OnResponse(const std::string& aUpstream,
                                 const Query& aQuery,
                                 std::chrono::nanoseconds aLatency,
                                 const std::optional<LoadReport>& aReport,
                                 base::MonotonicTime aNow)
{
  State* state = FindState(aUpstream);
  if (!state) {
    return;
  }
  state->m_inFlight -= state->m_inFlight > 0 ? 1 : 0;
  state->m_failures = 0;
  Hear(*state, aNow);
  Average(state->m_successRate, 1, m_options.m_successGain);
  NoteReport(*state, aReport, aNow);
  if (m_warmTime == 0) {
    m_warmTime = WarmTime(aQuery);
  }
  const bool hadQueue = aReport && aReport->m_waiting > 0;
  const bool wasKnown = !aQuery.m_hasAffinity || state->m_keys.contains(aQuery.m_key);
  const double time = std::max(1.0, ToMillis(aLatency) - ToMillis(state->m_candidate.m_roundTrip));
  if (wasKnown && !hadQueue) {
    TrackQuantile(state->m_slowness, time / WarmTime(aQuery), kTimeQuantile, m_options.m_timeGain);
    state->m_slowness = std::clamp(state->m_slowness, 0.7, 20.0);
    TrackQuantile(m_warmTime, time, kTimeQuantile, m_options.m_timeGain / 2);
  } else if (!wasKnown && !hadQueue && time > WarmTime(aQuery) * 1.5) {
    Average(m_coldTime, time, m_options.m_timeGain);
  }
  RememberKey(*state, aQuery.m_key, aNow);
}

void ServiceBalancer::OnFailure(const std::string& aUpstream,
                                AttemptFailure aFailure,
                                const std::optional<LoadReport>& aReport,
                                base::MonotonicTime aNow)
{
  State* state = FindState(aUpstream);
  if (!state) {
    return;
  }
  state->m_inFlight -= state->m_inFlight > 0 ? 1 : 0;
  NoteReport(*state, aReport, aNow);
  if (aFailure == AttemptFailure::Rejected || aFailure == AttemptFailure::Error) {
    Hear(*state, aNow);
  }
  Average(state->m_successRate, 0.001, m_options.m_successGain);
  if (aFailure != AttemptFailure::Unreachable) {
    return;
  }
  const std::uint32_t doublings = std::min(state->m_failures, 4U);
  ++state->m_failures;
  state->m_ejectedUntil =
    aNow + std::min(m_options.m_ejection * (1 << doublings), m_options.m_longestEjection);
}

void ServiceBalancer::OnCancelled(const std::string& aUpstream)
{
  if (State* state = FindState(aUpstream)) {
    state->m_inFlight -= state->m_inFlight > 0 ? 1 : 0;
  }
}

bool ServiceBalancer::OnOverdue(const std::string& aUpstream, base::MonotonicTime aSentAt)
{
  State* state = FindState(aUpstream);
  if (!state || state->m_isSilent || state->m_heardAt > aSentAt) {
    return false;
  }
  state->m_isSilent = true;
  return true;
}

void ServiceBalancer::OnProbeResponse(const std::string& aUpstream, base::MonotonicTime aNow)
{
  if (State* state = FindState(aUpstream)) {
    Hear(*state, aNow);
  }
}

void ServiceBalancer::Hear(State& aState, base::MonotonicTime aNow)
{
  aState.m_heardAt = aNow;
  aState.m_isSilent = false;
}

void ServiceBalancer::AdjustLocalShare(base::MonotonicTime aNow)
{
  if (aNow - m_shareChanged < kShareStep) {
    return;
  }
  m_shareChanged = aNow;
  double load = 0;
  double slots = 0;
  for (const State& state : m_states) {
    if (IsOwnRegion(state) && aNow >= state.m_ejectedUntil) {
      load += state.m_inFlight + OtherLoad(state, aNow);
      slots += state.m_candidate.m_upstream.m_slots;
    }
  }
  const double utilization = slots == 0 ? 1 : load / slots;
  if (utilization > m_options.m_moveBulkAbove) {
    m_bulkShare = std::max(0.0, m_bulkShare - m_options.m_moveStep);
  } else if (utilization < m_options.m_moveBulkBackBelow) {
    m_bulkShare = std::min(1.0, m_bulkShare + m_options.m_moveStep);
  }
  if (utilization > m_options.m_moveAwayAbove) {
    m_localShare = std::max(0.0, m_localShare - m_options.m_moveStep);
  } else if (utilization < m_options.m_moveBackBelow) {
    m_localShare = std::min(1.0, m_localShare + m_options.m_moveStep);
  }
}

} // namespace jaylane::policy
