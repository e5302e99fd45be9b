#include "jaylane/policy/UrgencyLimits.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

namespace {

using std::chrono::nanoseconds;
using Millis = std::chrono::duration<double, std::milli>;

} // namespace

UrgencyLimits::UrgencyLimits(Options aOptions)
  : m_options(aOptions)
{
}

bool UrgencyLimits::IsRecent(const State& aState, base::MonotonicTime aNow) const
{
  return aState.m_requests > 0 && aNow - aState.m_lastRequest < m_options.m_idleTime;
}

double UrgencyLimits::Decay(const State& aState, base::MonotonicTime aNow) const
{
  return std::exp(-Millis(aNow - aState.m_lastRequest) / Millis(m_options.m_memory));
}

void UrgencyLimits::MakeRoom(base::MonotonicTime aNow)
{
  if (m_kinds.size() < m_options.m_maxKinds) {
    return;
  }
  std::erase_if(m_kinds, [&](const auto& aEntry) { return !IsRecent(aEntry.second, aNow); });
  if (m_kinds.size() >= m_options.m_maxKinds) {
    m_kinds.erase(std::ranges::min_element(
      m_kinds, {}, [](const auto& aEntry) { return aEntry.second.m_lastRequest; }));
  }
}

void UrgencyLimits::OnRequest(const Kind& aKind, base::MonotonicTime aNow)
{
  auto found = m_kinds.find(aKind);
  if (found == m_kinds.end()) {
    MakeRoom(aNow);
    found = m_kinds.try_emplace(aKind).first;
  }
  State& state = found->second;
  state.m_requests = state.m_requests * Decay(state, aNow) + 1;
  state.m_lastRequest = aNow;
}

void UrgencyLimits::OnServed(const Kind& aKind, nanoseconds aServiceTime)
{
  const auto found = m_kinds.find(aKind);
  if (found == m_kinds.end()) {
    return;
  }
  double& average = found->second.m_serviceTimeMs;
  const double sample = Millis(aServiceTime).count();
  average = average == 0 ? sample : average + m_options.m_serviceTimeAlpha * (sample - average);
}

std::optional<nanoseconds> UrgencyLimits::MaxQueueWait(std::uint32_t aPriority,
                                                       base::MonotonicTime aNow) const
{
  std::optional<Millis> shortest;
  for (const auto& [kind, state] : m_kinds) {
    const bool hasTarget = kind.m_targetLatency.count() > 0;
    if (hasTarget && kind.m_priority < aPriority && IsRecent(state, aNow)) {
      const Millis target = kind.m_targetLatency;
      const Millis timeToQueue =
        std::max(target - Millis(state.m_serviceTimeMs), m_options.m_minQueueRatio * target);
      shortest = std::min(shortest.value_or(timeToQueue), timeToQueue);
    }
  }
  if (!shortest) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<nanoseconds>(m_options.m_queueShare * *shortest);
}

double UrgencyLimits::ReservedShare(std::uint32_t aPriority, base::MonotonicTime aNow) const
{
  double urgent = 0;
  double all = 0;
  for (const auto& [kind, state] : m_kinds) {
    const double demand =
      IsRecent(state, aNow) ? state.m_requests * Decay(state, aNow) * state.m_serviceTimeMs : 0;
    all += demand;
    urgent += kind.m_priority < aPriority ? demand : 0;
  }
  return all == 0 ? 0 : std::min(urgent / all, m_options.m_maxReserve);
}

std::optional<nanoseconds> UrgencyLimits::ServiceTime(const Kind& aKind) const
{
  const auto found = m_kinds.find(aKind);
  if (found == m_kinds.end() || found->second.m_serviceTimeMs == 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<nanoseconds>(Millis(found->second.m_serviceTimeMs));
}

bool UrgencyLimits::HasPriorities(base::MonotonicTime aNow) const
{
  std::optional<std::uint32_t> first;
  return std::ranges::any_of(m_kinds, [&](const auto& aEntry) {
    if (!IsRecent(aEntry.second, aNow)) {
      return false;
    }
    first = first.value_or(aEntry.first.m_priority);
    return *first != aEntry.first.m_priority;
  });
}

} // namespace jaylane::policy
