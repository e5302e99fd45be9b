// Selection of an upstream per request. UpstreamSelector.cpp updates the states that it uses.
#include "jaylane/policy/UpstreamSelector.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

using base::MonotonicTime;

namespace {

// Random samples taken before all upstreams are scanned instead. If half of the upstreams are
// usable, 12 samples find two of them in 99.7% of the cases.
constexpr int kMaxSamples = 12;

bool IsPreferred(const UpstreamState& aUpstream)
{
  return aUpstream.Phase() == UpstreamPhase::Active || aUpstream.Phase() == UpstreamPhase::Warming;
}

bool IsLastResort(const UpstreamState& aUpstream)
{
  return aUpstream.Phase() == UpstreamPhase::Joining || aUpstream.Phase() == UpstreamPhase::Suspect;
}

bool IsExcluded(const UpstreamState& aUpstream, std::span<const std::string> aExcluded)
{
  return std::find(aExcluded.begin(), aExcluded.end(), aUpstream.m_id) != aExcluded.end();
}

} // namespace

std::optional<UpstreamChoice> UpstreamSelector::Pick(const HasFreeSlot& aHasFreeSlot,
                                                     std::span<const std::string> aExcluded,
                                                     MonotonicTime aNow)
{
  if (aNow >= m_nextAdvance) {
    Advance(aNow);
  }
  if (m_upstreams.empty()) {
    return std::nullopt;
  }
  const Request request{ aHasFreeSlot, aExcluded, aNow };
  const auto* chosen = PickBySampling(request);
  if (chosen == nullptr) {
    chosen = PickByScanning(request);
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return UpstreamChoice{ chosen->m_id, chosen->m_incarnation };
}

const UpstreamState* UpstreamSelector::PickBySampling(const Request& aRequest)
{
  const UpstreamState* first = nullptr;
  for (int sample = 0; sample < kMaxSamples; ++sample) {
    const auto& state = m_upstreams[m_random() % m_upstreams.size()];
    if (&state == first || !IsPreferred(state) || IsExcluded(state, aRequest.m_excluded) ||
        UnitRandom() >= RampShare(state, aRequest.m_now) || !aRequest.m_hasFreeSlot(state.m_id)) {
      continue;
    }
    if (first != nullptr) {
      return &LessLoaded(*first, state, aRequest.m_now);
    }
    first = &state;
  }
  return nullptr;
}

const UpstreamState* UpstreamSelector::PickByScanning(const Request& aRequest)
{
  const auto collect = [&](bool (*aMayUse)(const UpstreamState&)) {
    m_candidates.clear();
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
      if (aMayUse(m_upstreams[i]) && !IsExcluded(m_upstreams[i], aRequest.m_excluded)) {
        m_candidates.push_back(i);
      }
    }
    return !m_candidates.empty();
  };
  if (!collect(IsPreferred) && !collect(IsLastResort)) {
    return nullptr;
  }
  std::erase_if(m_candidates, [&](std::size_t aIndex) {
    return !aRequest.m_hasFreeSlot(m_upstreams[aIndex].m_id);
  });
  if (m_candidates.empty()) {
    return nullptr;
  }
  const auto first = SampleCandidate(aRequest.m_now, m_upstreams.size());
  if (m_candidates.size() == 1) {
    return &m_upstreams[first];
  }
  const auto second = SampleCandidate(aRequest.m_now, first);
  return &LessLoaded(m_upstreams[first], m_upstreams[second], aRequest.m_now);
}

std::size_t UpstreamSelector::SampleCandidate(MonotonicTime aNow, std::size_t aExcept)
{
  double total = 0;
  for (const auto index : m_candidates) {
    total += index == aExcept ? 0 : RampShare(m_upstreams[index], aNow);
  }
  double remaining = UnitRandom() * total;
  std::size_t chosen = aExcept;
  for (const auto index : m_candidates) {
    if (index == aExcept) {
      continue;
    }
    chosen = index;
    remaining -= RampShare(m_upstreams[index], aNow);
    if (remaining < 0) {
      break;
    }
  }
  return chosen;
}

double UpstreamSelector::UnitRandom()
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(m_random() >> 11) * kScale;
}

double UpstreamSelector::RampShare(const UpstreamState& aUpstream, MonotonicTime aNow) const
{
  if (aUpstream.Phase() != UpstreamPhase::Warming) {
    return 1;
  }
  const double initialShare = m_options.m_rampInitialShare;
  using Fraction = std::chrono::duration<double>;
  const double progress =
    Fraction(aNow - aUpstream.m_enteredAt) / Fraction(m_options.m_rampDuration);
  return initialShare + (1 - initialShare) * std::clamp(progress, 0.0, 1.0);
}

double UpstreamSelector::Score(const UpstreamState& aUpstream, MonotonicTime aNow) const
{
  return (aUpstream.m_inFlight + 1.0) / aUpstream.m_slots * Latency(aUpstream, aNow);
}

const UpstreamState& UpstreamSelector::LessLoaded(const UpstreamState& aFirst,
                                                  const UpstreamState& aSecond,
                                                  MonotonicTime aNow) const
{
  const double first = Score(aFirst, aNow);
  const double second = Score(aSecond, aNow);
  const auto hasRecentReport = [&](const UpstreamState& aUpstream) {
    return aNow - aUpstream.m_reportedAt <= m_options.m_maxReportAge;
  };
  if (std::abs(first - second) <= m_options.m_tieTolerance * std::max(first, second) &&
      hasRecentReport(aFirst) && hasRecentReport(aSecond)) {
    const double firstLoad = static_cast<double>(aFirst.m_reportedInFlight) / aFirst.m_slots;
    const double secondLoad = static_cast<double>(aSecond.m_reportedInFlight) / aSecond.m_slots;
    if (firstLoad != secondLoad) {
      return firstLoad < secondLoad ? aFirst : aSecond;
    }
  }
  return first <= second ? aFirst : aSecond;
}

} // namespace jaylane::policy
