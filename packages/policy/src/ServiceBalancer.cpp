#include "jaylane/policy/ServiceBalancer.h"

#include "HashFraction.h"
#include "QuantileTracker.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Shortest time between two steps of the local share. At most five steps fit into the two seconds
/// for which regional shifts are bounded.
constexpr milliseconds kShareUpdateInterval{ 400 };
/// Weight of the newest request in the overflow rate, which averages over about 100 requests.
constexpr double kOverflowAlpha = 1.0 / 100;
/// Penalty for an upstream in another region, in addition to the round trip: bytes on shared links.
constexpr double kCrossRegionPenaltyMs = 20;
/// Seed of PlacementFraction(); differs from 0, the seed of the hashes that it is applied to.
constexpr std::uint64_t kPlacementSeed = 0x9E3779B97F4A7C15;
/// Seed of the fraction that is compared with Candidate::m_keyShare.
constexpr std::uint64_t kKeyShareSeed = 0x165667B19E3779F9;
/// Quantile of the samples that the service time estimates follow. Queueing time, which some
/// samples include, is estimated separately.
constexpr double kServiceTimeQuantile = 0.35;
/// Weights of the newest load report: in the load of its upstream, and in the average over all.
constexpr double kReportAlpha = 0.5;
constexpr double kMeanLoadAlpha = 0.05;
/// Largest load that is believed, in requests per slot. One wrong report must not make the whole
/// service look full.
constexpr double kMaxLoadPerSlot = 16;
/// Weight of the newest decision in the rejection rate, which averages over about 100 requests.
constexpr double kRejectionAlpha = 0.01;
/// A load report's slowdown is used no longer than this; it changes many times per second.
constexpr milliseconds kSlowdownMemory{ 600 };
/// Upstreams that a request may skip because they spill. A key of a long-running type needs the
/// slots of up to three.
constexpr std::size_t kMaxSkipped = 5;
/// Seed of the numbers that are compared with the spilled fractions.
constexpr std::uint64_t kSpillSeed = 0x27D4EB2F165667C5;
/// Fraction of a key that decides whether it belongs to the own region, or of a key combined with
/// an upstream's hash that ranks the upstream for the key.
double PlacementFraction(std::uint64_t aValue)
{
  return detail::HashFraction(aValue, kPlacementSeed);
}

double ToMillis(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

/// Updates an exponentially weighted moving average.
/// @param aAverage 0 before the first sample.
void UpdateAverage(double& aAverage, double aSample, double aAlpha)
{
  aAverage = aAverage == 0 ? aSample : aAverage + aAlpha * (aSample - aAverage);
}

/// Erases the entry with the oldest time if there are more than aLimit.
void EraseOldest(auto& aTimes, std::size_t aLimit)
{
  if (aTimes.size() > aLimit) {
    aTimes.erase(
      std::ranges::min_element(aTimes, {}, [](const auto& aEntry) { return aEntry.second; }));
  }
}

} // namespace

ServiceBalancer::ServiceBalancer(BalancerOptions aOptions,
                                 std::string aOwnRegion,
                                 std::uint64_t aTicketSeed)
  : m_options(aOptions)
  , m_ownRegion(std::move(aOwnRegion))
  , m_ticketSeed(aTicketSeed)
  , m_placement(m_options.m_placement)
  , m_urgency(m_options.m_urgency)
{
}

void ServiceBalancer::Update(std::vector<Candidate> aCandidates, base::MonotonicTime aNow)
{
  std::vector<State> states;
  states.reserve(aCandidates.size());
  std::unordered_map<std::string, std::size_t> indexById;
  std::unordered_map<std::uint32_t, std::size_t> indexByHash;
  for (Candidate& candidate : aCandidates) {
    const std::string id = candidate.m_upstream.m_id;
    State state;
    if (State* existing = FindState(id);
        existing &&
        existing->m_candidate.m_upstream.m_startedAtMs == candidate.m_upstream.m_startedAtMs) {
      state = std::move(*existing);
      state.m_isWithdrawn = false;
    }
    state.m_candidate = std::move(candidate);
    state.m_hash = XXH64(id.data(), id.size(), 0);
    indexById[id] = states.size();
    indexByHash[LoadObservation::HashUpstream(id)] = states.size();
    states.push_back(std::move(state));
  }
  m_states = std::move(states);
  m_indexById = std::move(indexById);
  m_indexByHash = std::move(indexByHash);
  UpdateDistance();
  if (!m_isLocalShareInitialized && !m_states.empty()) {
    InitializeLocalShare();
    m_localShareUpdatedAt = aNow;
  }
}

void ServiceBalancer::UpdateDistance()
{
  double total = 0;
  std::size_t count = 0;
  for (const State& state : m_states) {
    if (!IsOwnRegion(state)) {
      total += ToMillis(state.m_candidate.m_roundTrip) + kCrossRegionPenaltyMs;
      ++count;
    }
  }
  m_distanceMs = count == 0 ? 0 : total / static_cast<double>(count);
}

void ServiceBalancer::UpdatePlacement(const Query& aQuery, base::MonotonicTime aNow)
{
  if (!aQuery.m_hasAffinity || aQuery.m_isBulk || m_distanceMs == 0) {
    return;
  }
  using Millis = std::chrono::duration<double, std::milli>;
  const auto toTime = [](double aMillis) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Millis(aMillis));
  };
  m_placement.Update(
    toTime(ColdServiceTime(aQuery) - WarmServiceTime(aQuery)), toTime(m_distanceMs), aNow);
}

bool ServiceBalancer::IsPlacedAcrossRegions(const Query& aQuery) const
{
  return aQuery.m_hasAffinity && !aQuery.m_isBulk && m_placement.Contains(aQuery.m_key);
}

void ServiceBalancer::InitializeLocalShare()
{
  // Without load reports, equal demand is assumed in each region that has upstreams.
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
  m_isLocalShareInitialized = true;
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
  return PlacementFraction(aQuery.m_key) <= (aQuery.m_isBulk ? m_localBulkShare : m_localShare);
}

bool ServiceBalancer::IsUsable(const State& aState,
                               const Query& aQuery,
                               base::MonotonicTime aNow) const
{
  const Upstream& upstream = aState.m_candidate.m_upstream;
  if (aQuery.m_allowedRegions && !aQuery.m_allowedRegions->contains(upstream.m_region)) {
    return false;
  }
  if (aState.m_inFlight >= aState.m_candidate.m_maxInFlight) {
    return false;
  }
  if (aState.m_isWithdrawn || aState.m_isUnresponsive || aNow < aState.m_ejectedUntil ||
      (aState.m_connectFailures > 0 && aState.m_inFlight > 0)) {
    return false;
  }
  if (aQuery.m_triedUpstreams && std::ranges::find(*aQuery.m_triedUpstreams, upstream.m_id) !=
                                   aQuery.m_triedUpstreams->end()) {
    return false;
  }
  if (aNow >= aState.m_candidate.m_coldUntil) {
    return true;
  }
  const milliseconds interval = aState.m_candidate.m_coldRequestInterval;
  return interval.count() > 0 &&
         (!aState.m_hasSentColdRequest || aNow - aState.m_lastColdRequestAt >= interval);
}

ServiceBalancer::Tiers ServiceBalancer::SortIntoTiers(const Query& aQuery,
                                                      base::MonotonicTime aNow) const
{
  const bool isAcrossRegions = IsPlacedAcrossRegions(aQuery);
  const bool prefersOwn = PrefersOwnRegion(aQuery);
  const double keyFraction = detail::HashFraction(aQuery.m_key, kKeyShareSeed);
  Tiers tiers;
  for (std::size_t i = 0; i < m_states.size(); ++i) {
    const State& state = m_states[i];
    if (!IsUsable(state, aQuery, aNow) || (state.m_tickets && !state.m_tickets->HasTicket(aNow))) {
      continue;
    }
    const double uniform = PlacementFraction(aQuery.m_key ^ state.m_hash);
    const RankedState ranked{ state.m_candidate.m_upstream.m_slots / -std::log(uniform), i };
    if (keyFraction > state.m_candidate.m_keyShare) {
      tiers.m_withheld.push_back(ranked);
    } else if (isAcrossRegions || IsOwnRegion(state) == prefersOwn) {
      tiers.m_preferred.push_back(ranked);
    } else {
      tiers.m_fallbacks.push_back(ranked);
    }
  }
  return tiers;
}

void ServiceBalancer::KeepBest(std::vector<RankedState>& aRanked, std::size_t aCount)
{
  const auto middle = aRanked.begin() + std::min(aCount, aRanked.size());
  std::ranges::partial_sort(aRanked, middle, std::ranges::greater{}, &RankedState::m_score);
  aRanked.erase(middle, aRanked.end());
}

ServiceBalancer::Ranking ServiceBalancer::Rank(const Query& aQuery, base::MonotonicTime aNow)
{
  Tiers tiers = SortIntoTiers(aQuery, aNow);
  if (aQuery.m_hasAffinity && !aQuery.m_isHedge) {
    if (Ranking spilled = SkipSpilling(tiers.m_preferred); spilled.m_skipped > 0) {
      return spilled;
    }
  }
  std::vector<RankedState> ranked = std::move(tiers.m_preferred);
  KeepBest(ranked, m_options.m_preferredCandidates);
  if (ranked.empty() || m_overflowRate < m_options.m_maxOverflowShare) {
    KeepBest(tiers.m_fallbacks, m_options.m_fallbackCandidates);
    ranked.insert(ranked.end(), tiers.m_fallbacks.begin(), tiers.m_fallbacks.end());
  }
  if (ranked.empty()) {
    KeepBest(tiers.m_withheld, m_options.m_preferredCandidates);
    ranked = std::move(tiers.m_withheld);
  }
  return { std::move(ranked), 0 };
}

double ServiceBalancer::WarmServiceTime(const Query& aQuery) const
{
  return m_warmServiceTime > 0
           ? m_warmServiceTime
           : m_options.m_initialWarmTimeRatio * ToMillis(aQuery.m_targetLatency);
}

double ServiceBalancer::ColdServiceTime(const Query& aQuery) const
{
  const double cold = m_coldServiceTime > 0
                        ? m_coldServiceTime
                        : m_options.m_initialColdTimeRatio * ToMillis(aQuery.m_targetLatency);
  return std::max(cold, WarmServiceTime(aQuery));
}

bool ServiceBalancer::KnowsKey(const State& aState,
                               const Query& aQuery,
                               base::MonotonicTime aNow) const
{
  if (!aQuery.m_hasAffinity || aState.m_servedKeys.contains(aQuery.m_key)) {
    return true;
  }
  const auto told = aState.m_toldKeys.find(LoadObservation::HashKey(aQuery.m_key));
  return told != aState.m_toldKeys.end() && aNow - told->second <= m_options.m_toldKeyMemory;
}

double ServiceBalancer::Slowdown(const State& aState, base::MonotonicTime aNow) const
{
  return aNow - aState.m_slowdownAt <= kSlowdownMemory ? aState.m_slowdown : 1;
}

double ServiceBalancer::ExpectedServiceTime(const State& aState,
                                            const Query& aQuery,
                                            bool aIsPlace,
                                            base::MonotonicTime aNow) const
{
  // The upstream at the key's place counts as warm: other VMs send the key there too.
  const bool isWarm = (aIsPlace && !aQuery.m_isHedge) || KnowsKey(aState, aQuery, aNow);
  return (isWarm ? WarmServiceTime(aQuery) : ColdServiceTime(aQuery)) *
         aState.m_relativeServiceTime * Slowdown(aState, aNow);
}

ServiceBalancer::Ranking ServiceBalancer::SkipSpilling(const std::vector<RankedState>& aPreferred)
{
  const auto first = std::ranges::max_element(aPreferred, {}, &RankedState::m_score);
  if (first == aPreferred.end() || m_states[first->m_index].m_spill == 0) {
    return {};
  }
  const std::string& region = m_states[first->m_index].m_candidate.m_upstream.m_region;
  std::vector<RankedState> ranked = aPreferred;
  std::erase_if(ranked, [&](const RankedState& aState) {
    return m_states[aState.m_index].m_candidate.m_upstream.m_region != region;
  });
  const std::size_t count = std::min(ranked.size(), kMaxSkipped + m_options.m_preferredCandidates);
  KeepBest(ranked, count);
  std::size_t skipped = 0;
  while (skipped < kMaxSkipped && skipped + 1 < ranked.size() &&
         detail::HashFraction(++m_spillDraws ^ m_ticketSeed, kSpillSeed) <
           m_states[ranked[skipped].m_index].m_spill) {
    ++skipped;
  }
  ranked.erase(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(skipped));
  ranked.resize(std::min(ranked.size(), m_options.m_preferredCandidates));
  return { std::move(ranked), skipped };
}

void ServiceBalancer::AdjustSpill(base::MonotonicTime aNow)
{
  double mean = 0;
  for (const State& state : m_states) {
    mean += state.m_utilization / static_cast<double>(m_states.size());
  }
  for (State& state : m_states) {
    const double age = ToMillis(aNow - state.m_utilizationAt);
    const double weight = std::exp(-age / ToMillis(m_options.m_utilizationTime) / 3);
    const double utilization = mean + weight * (state.m_utilization - mean);
    if (utilization > std::max(m_options.m_spillUtilization, m_options.m_spillRatio * mean)) {
      state.m_spill = std::min(1.0, state.m_spill + m_options.m_spillStep);
    } else if (utilization <
               std::max(m_options.m_returnUtilization, m_options.m_returnRatio * mean)) {
      state.m_spill = std::max(0.0, state.m_spill - m_options.m_spillStep);
    }
  }
}

double ServiceBalancer::SpillShare() const
{
  double sum = 0;
  for (const State& state : m_states) {
    sum += state.m_spill;
  }
  return m_states.empty() ? 0 : sum / static_cast<double>(m_states.size());
}

milliseconds ServiceBalancer::OverdueAfter(const State& aState,
                                           const Query& aQuery,
                                           const LatencyEstimate& aEstimate) const
{
  const bool isWarm = !aQuery.m_hasAffinity || aState.m_servedKeys.contains(aQuery.m_key);
  const double service = isWarm ? WarmServiceTime(aQuery) : ColdServiceTime(aQuery);
  const double expected = ToMillis(aState.m_candidate.m_roundTrip) + aEstimate.m_queueWait +
                          service * aState.m_relativeServiceTime;
  const milliseconds overdue{ static_cast<std::int64_t>(expected * m_options.m_overdueFactor) };
  return std::max(overdue, m_options.m_minOverdueTime);
}

double ServiceBalancer::ExternalLoad(const State& aState, base::MonotonicTime aNow) const
{
  const double age = ToMillis(aNow - aState.m_reportedAt);
  const double weight = std::exp(-age / ToMillis(m_options.m_reportDecayTime));
  const double average = m_meanExternalLoad * aState.m_candidate.m_upstream.m_slots;
  return average + weight * (aState.m_externalLoad - average);
}

double ServiceBalancer::QueuedPerSlot(const State& aState,
                                      base::MonotonicTime aNow,
                                      double aReserved) const
{
  const double slots = std::max(1U, aState.m_candidate.m_upstream.m_slots);
  const double load = aState.m_inFlight + ExternalLoad(aState, aNow);
  return std::max(0.0, load + aReserved - slots + 1) / slots;
}

ServiceBalancer::LatencyEstimate ServiceBalancer::EstimateLatency(const State& aState,
                                                                  const Query& aQuery,
                                                                  bool aIsPlace,
                                                                  base::MonotonicTime aNow) const
{
  LatencyEstimate estimate;
  estimate.m_queueWait = QueuedPerSlot(aState, aNow) * WarmServiceTime(aQuery) *
                         aState.m_relativeServiceTime * Slowdown(aState, aNow);
  estimate.m_serviceTime = ExpectedServiceTime(aState, aQuery, aIsPlace, aNow);
  estimate.m_failurePenalty =
    (1 - aState.m_successRate) * m_options.m_failurePenalty * ToMillis(aQuery.m_targetLatency);
  const double regionPenalty = IsOwnRegion(aState) ? 0 : kCrossRegionPenaltyMs;
  estimate.m_distance = ToMillis(aState.m_candidate.m_roundTrip) + regionPenalty;
  return estimate;
}

ServiceBalancer::Choice ServiceBalancer::Choose(const Query& aQuery, base::MonotonicTime aNow)
{
  AdjustLocalShare(aNow);
  UpdatePlacement(aQuery, aNow);
  if (!aQuery.m_isHedge && !aQuery.m_isCounted) {
    m_urgency.OnRequest(KindOf(aQuery), aNow);
  }
  Choice choice;
  const State* bestState = nullptr;
  LatencyEstimate best;
  // The distance must not decide between the upstreams of a key that is placed across regions. The
  // own region's upstreams would be used until they are busy, and the requests would all change
  // their region when demand rises.
  const bool isAcrossRegions = IsPlacedAcrossRegions(aQuery);
  const auto cost = [isAcrossRegions](const LatencyEstimate& aEstimate) {
    return isAcrossRegions ? aEstimate.AtUpstream() : aEstimate.Total();
  };
  const Ranking ranking = Rank(aQuery, aNow);
  for (std::size_t i = 0; i < ranking.m_ranked.size(); ++i) {
    const State& state = m_states[ranking.m_ranked[i].m_index];
    const LatencyEstimate estimate = EstimateLatency(state, aQuery, i == 0, aNow);
    if (!choice.m_upstream || cost(estimate) < cost(best)) {
      best = estimate;
      bestState = &state;
      choice.m_upstream = &state.m_candidate.m_upstream;
      choice.m_rank = ranking.m_skipped + i;
      choice.m_isCold = aNow < state.m_candidate.m_coldUntil;
      choice.m_hasServedKey = state.m_servedKeys.contains(aQuery.m_key);
      choice.m_overdueAfter = OverdueAfter(state, aQuery, estimate);
    }
  }
  if (!choice.m_upstream) {
    if (const auto wait = TicketWait(aQuery, aNow)) {
      choice.m_decision = Decision::Overloaded;
      choice.m_expectedLatency = *wait;
    }
    return choice;
  }
  Accept(aQuery, *bestState, best, aNow, choice);
  return choice;
}

UrgencyLimits::Kind ServiceBalancer::KindOf(const Query& aQuery)
{
  return { aQuery.m_priority, aQuery.m_targetLatency };
}

double ServiceBalancer::QueueWaitBehindUrgent(const State& aState,
                                              const Query& aQuery,
                                              base::MonotonicTime aNow) const
{
  const double share = m_urgency.ReservedShare(aQuery.m_priority, aNow);
  const double slots = std::max(1U, aState.m_candidate.m_upstream.m_slots);
  const double reserved = share * std::clamp(m_meanExternalLoad, 0.0, 1.0) * slots;
  return QueuedPerSlot(aState, aNow, reserved) * WarmServiceTime(aQuery) *
         aState.m_relativeServiceTime * Slowdown(aState, aNow);
}

void ServiceBalancer::Accept(const Query& aQuery,
                             const State& aState,
                             const LatencyEstimate& aEstimate,
                             base::MonotonicTime aNow,
                             Choice& aChoice)
{
  aChoice.m_expectedLatency = milliseconds{ static_cast<std::int64_t>(aEstimate.Total()) };
  const double target = ToMillis(aQuery.m_targetLatency);
  const double latencyWithoutQueue = aEstimate.Total() - aEstimate.m_queueWait;
  const bool isInTime = latencyWithoutQueue <= ToMillis(aQuery.m_remaining);
  if (aQuery.m_isHedge) {
    const bool isFree = aEstimate.m_queueWait == 0 && !aChoice.m_isCold;
    aChoice.m_decision = isFree && isInTime ? Decision::Send : Decision::Overloaded;
    return;
  }
  // A request whose service time alone uses up the target is still sent if it need not queue for
  // long: the upstream serves the key faster from then on.
  const double ownLimit =
    std::max(MaxQueueWaitRatio() * target, target - latencyWithoutQueue) - ToMillis(aQuery.m_held);
  double excess = aEstimate.m_queueWait - ownLimit;
  const bool isWithinOwnLimit = excess <= 0;
  if (const auto limit = m_urgency.MaxQueueWait(aQuery.m_priority, aNow)) {
    excess = std::max(excess, QueueWaitBehindUrgent(aState, aQuery, aNow) - ToMillis(*limit));
  }
  aChoice.m_decision = excess <= 0 && isInTime ? Decision::Send : Decision::Overloaded;
  aChoice.m_isLimitedByUrgency = isWithinOwnLimit && isInTime && excess > 0;
  if (aChoice.m_decision == Decision::Overloaded) {
    aChoice.m_mayHold = isInTime && m_urgency.HasPriorities(aNow);
    aChoice.m_expectedHold = milliseconds{ static_cast<std::int64_t>(std::ceil(excess)) };
    const auto service = m_urgency.ServiceTime(KindOf(aQuery));
    const double latency =
      service ? ToMillis(*service) + aEstimate.m_distance : latencyWithoutQueue;
    aChoice.m_latencyWithoutQueue = milliseconds{ static_cast<std::int64_t>(latency) };
  }
  // A kind that only makes way for more urgent ones does not shorten their limits.
  if (!aQuery.m_isCounted && !aChoice.m_isLimitedByUrgency) {
    const bool isRejected = aChoice.m_decision == Decision::Overloaded && !aChoice.m_mayHold;
    m_rejectionRate += kRejectionAlpha * ((isRejected ? 1 : 0) - m_rejectionRate);
  }
}

std::optional<milliseconds> ServiceBalancer::TicketWait(const Query& aQuery,
                                                        base::MonotonicTime aNow) const
{
  std::optional<milliseconds> shortest;
  for (const State& state : m_states) {
    if (state.m_tickets && IsUsable(state, aQuery, aNow)) {
      const auto wait = std::chrono::ceil<milliseconds>(state.m_tickets->IssuedAt(aNow) - aNow);
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest;
}

double ServiceBalancer::MaxQueueWaitRatio() const
{
  const double overload =
    (m_rejectionRate - m_options.m_overloadMinRejectionRate) /
    (m_options.m_overloadFullRejectionRate - m_options.m_overloadMinRejectionRate);
  const double reduction = m_options.m_maxQueueWaitRatio - m_options.m_overloadMaxQueueWaitRatio;
  return m_options.m_maxQueueWaitRatio - reduction * std::clamp(overload, 0.0, 1.0);
}

void ServiceBalancer::UpdateOverflowRate(bool aIsOverflow)
{
  m_overflowRate += kOverflowAlpha * ((aIsOverflow ? 1.0 : 0.0) - m_overflowRate);
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
  state->m_sentAt = aNow;
  if (state->m_tickets) {
    state->m_tickets->Take(aNow);
  }
  if (aNow < state->m_candidate.m_coldUntil) {
    state->m_hasSentColdRequest = true;
    state->m_lastColdRequestAt = aNow;
  }
  UpdateOverflowRate(!IsPlacedAcrossRegions(aQuery) &&
                     IsOwnRegion(*state) != PrefersOwnRegion(aQuery));
}

void ServiceBalancer::ApplyLoadReport(State& aState,
                                      const std::optional<LoadReport>& aReport,
                                      base::MonotonicTime aNow)
{
  if (!aReport) {
    return;
  }
  ApplyLoad(
    aState, static_cast<double>(aReport->m_running) + aReport->m_waiting, kReportAlpha, aNow);
  if (aReport->m_slowdown) {
    aState.m_slowdown = *aReport->m_slowdown;
    aState.m_slowdownAt = aNow;
  }
}

void ServiceBalancer::ApplyLoad(State& aState,
                                double aLoad,
                                double aAlpha,
                                base::MonotonicTime aSeenAt)
{
  const double slots = std::max(1U, aState.m_candidate.m_upstream.m_slots);
  aLoad = std::min(aLoad, kMaxLoadPerSlot * slots);
  // A request that was sent after the load was read is not part of it.
  const std::uint32_t newer = aState.m_sentAt > aSeenAt && aState.m_inFlight > 0 ? 1 : 0;
  const double externalLoad = std::max(0.0, aLoad - (aState.m_inFlight - newer));
  aState.m_externalLoad = ExternalLoad(aState, aSeenAt);
  aState.m_externalLoad += aAlpha * (externalLoad - aState.m_externalLoad);
  aState.m_reportedAt = aSeenAt;
  m_meanExternalLoad += kMeanLoadAlpha * (externalLoad / slots - m_meanExternalLoad);
  const double age = ToMillis(aSeenAt - aState.m_utilizationAt);
  const double kept = std::exp(-age / ToMillis(m_options.m_utilizationTime));
  aState.m_utilization = kept * aState.m_utilization + (1 - kept) * aLoad / slots;
  aState.m_utilizationAt = aSeenAt;
}

bool ServiceBalancer::Observe(const LoadObservation& aObservation, base::MonotonicTime aNow)
{
  const auto index = m_indexByHash.find(aObservation.m_upstream);
  const base::MonotonicTime seenAt = std::min(aObservation.m_seenAt, aNow);
  if (index == m_indexByHash.end() || aNow - seenAt > m_options.m_toldKeyMemory) {
    return false;
  }
  State& state = m_states[index->second];
  if (seenAt > state.m_reportedAt) {
    const double load = aObservation.m_running + aObservation.m_waiting;
    const double overload = std::min(1.0, m_rejectionRate / m_options.m_overloadMinRejectionRate);
    const double alpha =
      std::lerp(m_options.m_toldLoadAlpha, m_options.m_overloadToldLoadAlpha, overload);
    ApplyLoad(state, load, alpha, seenAt);
  }
  if (aObservation.m_key != 0) {
    auto& servedAt = state.m_toldKeys[aObservation.m_key];
    servedAt = std::max(servedAt, seenAt);
    EraseOldest(state.m_toldKeys, m_options.m_maxTrackedKeys);
  }
  return true;
}

void ServiceBalancer::RecordServedKey(State& aState, std::uint64_t aKey, base::MonotonicTime aNow)
{
  aState.m_servedKeys[aKey] = aNow;
  EraseOldest(aState.m_servedKeys, m_options.m_maxTrackedKeys);
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
  state->m_connectFailures = 0;
  MarkResponsive(*state, aNow);
  UpdateAverage(state->m_successRate, 1, m_options.m_successRateAlpha);
  ApplyLoadReport(*state, aReport, aNow);
  if (m_warmServiceTime == 0) {
    m_warmServiceTime = WarmServiceTime(aQuery);
  }
  const bool hadQueue = aReport && aReport->m_waiting > 0;
  const bool wasWarm = !aQuery.m_hasAffinity || state->m_servedKeys.contains(aQuery.m_key);
  // The measured service times refer to the usual speed of the upstream.
  const double slowdown = aReport ? aReport->m_slowdown.value_or(1) : 1;
  const double time =
    std::max(1.0, (ToMillis(aLatency) - ToMillis(state->m_candidate.m_roundTrip)) / slowdown);
  if (wasWarm && !hadQueue) {
    detail::TrackQuantile(state->m_relativeServiceTime,
                          time / WarmServiceTime(aQuery),
                          kServiceTimeQuantile,
                          m_options.m_serviceTimeAlpha);
    state->m_relativeServiceTime = std::clamp(state->m_relativeServiceTime, 0.7, 20.0);
    detail::TrackQuantile(
      m_warmServiceTime, time, kServiceTimeQuantile, m_options.m_serviceTimeAlpha / 2);
  } else if (!wasWarm && !hadQueue && time > WarmServiceTime(aQuery) * 1.5) {
    UpdateAverage(m_coldServiceTime, time, m_options.m_serviceTimeAlpha);
  }
  if (!hadQueue) {
    m_urgency.OnServed(KindOf(aQuery),
                       std::chrono::duration_cast<std::chrono::nanoseconds>(
                         std::chrono::duration<double, std::milli>(time)));
  }
  RecordServedKey(*state, aQuery.m_key, aNow);
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
  ApplyLoadReport(*state, aReport, aNow);
  if (aFailure == AttemptFailure::Rejected || aFailure == AttemptFailure::Error) {
    MarkResponsive(*state, aNow);
  }
  // Above 0, which UpdateAverage() would take for a missing average.
  UpdateAverage(state->m_successRate, 0.001, m_options.m_successRateAlpha);
  if (aFailure != AttemptFailure::Unreachable) {
    return;
  }
  const std::uint32_t doublings = std::min(state->m_connectFailures, 4U);
  ++state->m_connectFailures;
  state->m_ejectedUntil =
    aNow + std::min(m_options.m_baseEjectionTime * (1 << doublings), m_options.m_maxEjectionTime);
}

void ServiceBalancer::OnCancelled(const std::string& aUpstream)
{
  if (State* state = FindState(aUpstream)) {
    state->m_inFlight -= state->m_inFlight > 0 ? 1 : 0;
  }
}

void ServiceBalancer::SetRate(const std::string& aUpstream,
                              std::optional<double> aPerSecond,
                              base::MonotonicTime aNow)
{
  State* state = FindState(aUpstream);
  if (!state) {
    return;
  }
  if (!aPerSecond) {
    state->m_tickets.reset();
  } else if (state->m_tickets) {
    state->m_tickets->SetRate(*aPerSecond, aNow);
  } else {
    const double phase = detail::HashFraction(state->m_hash, m_ticketSeed);
    state->m_tickets.emplace(*aPerSecond, phase, aNow);
  }
}

void ServiceBalancer::Withdraw(const std::string& aUpstream)
{
  if (State* state = FindState(aUpstream)) {
    state->m_isWithdrawn = true;
  }
}

bool ServiceBalancer::OnOverdue(const std::string& aUpstream, base::MonotonicTime aSentAt)
{
  State* state = FindState(aUpstream);
  if (!state || state->m_isUnresponsive || state->m_lastResponseAt > aSentAt) {
    return false;
  }
  state->m_isUnresponsive = true;
  return true;
}

void ServiceBalancer::OnProbeResponse(const std::string& aUpstream, base::MonotonicTime aNow)
{
  if (State* state = FindState(aUpstream)) {
    MarkResponsive(*state, aNow);
  }
}

void ServiceBalancer::MarkResponsive(State& aState, base::MonotonicTime aNow)
{
  aState.m_lastResponseAt = aNow;
  aState.m_isUnresponsive = false;
}

void ServiceBalancer::AdjustLocalShare(base::MonotonicTime aNow)
{
  if (aNow - m_localShareUpdatedAt < kShareUpdateInterval) {
    return;
  }
  m_localShareUpdatedAt = aNow;
  AdjustSpill(aNow);
  double load = 0;
  double slots = 0;
  for (const State& state : m_states) {
    if (IsOwnRegion(state) && aNow >= state.m_ejectedUntil) {
      load += state.m_inFlight + ExternalLoad(state, aNow);
      slots += state.m_candidate.m_upstream.m_slots;
    }
  }
  const double utilization = slots == 0 ? 1 : load / slots;
  if (utilization > m_options.m_bulkShiftOutUtilization) {
    m_localBulkShare = std::max(0.0, m_localBulkShare - m_options.m_shiftStep);
  } else if (utilization < m_options.m_bulkShiftBackUtilization) {
    m_localBulkShare = std::min(1.0, m_localBulkShare + m_options.m_shiftStep);
  }
  if (utilization > m_options.m_shiftOutUtilization) {
    m_localShare = std::max(0.0, m_localShare - m_options.m_shiftStep);
  } else if (utilization < m_options.m_shiftBackUtilization) {
    m_localShare = std::min(1.0, m_localShare + m_options.m_shiftStep);
  }
}

} // namespace jaylane::policy
