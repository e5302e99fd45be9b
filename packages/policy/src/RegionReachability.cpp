#include "jaylane/policy/RegionReachability.h"

#include <algorithm>

namespace jaylane::policy {

bool RegionReachability::OnFailure(const std::string& aRegion, const std::string& aUpstream)
{
  State& state = m_regions[aRegion];
  state.m_failed.insert(aUpstream);
  if (state.m_isCutOff || state.m_failed.size() < m_options.m_failuresUntilCut) {
    return false;
  }
  state.m_isCutOff = true;
  state.m_wasCutOff = true;
  return true;
}

bool RegionReachability::OnResponse(const std::string& aRegion, base::MonotonicTime aNow)
{
  const auto entry = m_regions.find(aRegion);
  if (entry == m_regions.end()) {
    return false;
  }
  State& state = entry->second;
  state.m_failed.clear();
  if (!state.m_isCutOff) {
    return false;
  }
  state.m_isCutOff = false;
  state.m_regainedAt = aNow;
  return true;
}

double RegionReachability::KeyShare(const std::string& aRegion, base::MonotonicTime aNow) const
{
  const auto entry = m_regions.find(aRegion);
  if (entry == m_regions.end() || !entry->second.m_wasCutOff) {
    return 1;
  }
  if (entry->second.m_isCutOff) {
    return 0;
  }
  using Seconds = std::chrono::duration<double>;
  return std::clamp(
    Seconds(aNow - entry->second.m_regainedAt) / Seconds(m_options.m_returnTime), 0.0, 1.0);
}

bool RegionReachability::IsReturning(base::MonotonicTime aNow) const
{
  return std::ranges::any_of(m_regions, [&](const auto& aEntry) {
    const double share = KeyShare(aEntry.first, aNow);
    return share > 0 && share < 1;
  });
}

} // namespace jaylane::policy
