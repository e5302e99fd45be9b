#include "jaylane/policy/UpstreamLimits.h"

namespace jaylane::policy {

namespace {

/// Age up to which observations are told to others. The VMs that send requests to the upstream
/// renew them far more often.
constexpr std::chrono::seconds kTellAge{ 10 };

} // namespace

bool UpstreamLimits::Observe(const LimitObservation& aObservation)
{
  const auto present = m_observations.find(aObservation.m_upstream);
  if (present == m_observations.end()) {
    if (!aObservation.m_perSecond) {
      return false;
    }
    m_observations.emplace(aObservation.m_upstream, aObservation);
    return true;
  }
  if (aObservation.m_seenAt <= present->second.m_seenAt) {
    return false;
  }
  const bool hasChanged = present->second.m_perSecond != aObservation.m_perSecond;
  present->second = aObservation;
  return hasChanged;
}

std::optional<double> UpstreamLimits::LimitOf(const std::string& aUpstream) const
{
  const auto present = m_observations.find(aUpstream);
  return present == m_observations.end() ? std::nullopt : present->second.m_perSecond;
}

std::vector<std::string> UpstreamLimits::Limited() const
{
  std::vector<std::string> limited;
  for (const auto& [upstream, observation] : m_observations) {
    if (observation.m_perSecond) {
      limited.push_back(upstream);
    }
  }
  return limited;
}

std::vector<LimitObservation> UpstreamLimits::Recent(base::MonotonicTime aNow) const
{
  std::vector<LimitObservation> recent;
  for (const auto& [upstream, observation] : m_observations) {
    if (aNow - observation.m_seenAt < kTellAge) {
      recent.push_back(observation);
    }
  }
  return recent;
}

void UpstreamLimits::RemoveExpired(const std::function<bool(const std::string& aUpstream)>& aExists,
                                   base::MonotonicTime aNow)
{
  std::erase_if(m_observations, [&aExists, aNow](const auto& aEntry) {
    const bool lasts = aEntry.second.m_perSecond && aExists(aEntry.first);
    return !lasts && aNow - aEntry.second.m_seenAt > kTellAge;
  });
}

} // namespace jaylane::policy
