#include "TargetPicker.h"

#include <optional>

namespace jaylane::policy {

namespace {

/// Largest weight that a full site is retried for, as a fraction of the one that did not fit.
constexpr double kMaxRetryWeight = 0.9;

} // namespace

TargetPicker::TargetPicker(const PlacementModel& aModel)
  : m_model(aModel)
{
}

TargetPicker::Candidates& TargetPicker::CandidatesFor(OriginIndex aOrigin,
                                                      SiteIndex aFrom,
                                                      MoveReason aReason)
{
  const auto region = aFrom == kNoSite ? m_model.Regions().size() : m_model.RegionOf(aFrom);
  const auto [found, isNew] = m_candidates.try_emplace({ aOrigin, region, aReason });
  if (isNew) {
    std::vector<Scored> scored;
    for (std::size_t site = 0; site < m_model.SiteCount(); ++site) {
      const auto index = static_cast<SiteIndex>(site);
      if (m_model.IsTarget(aOrigin, index, aReason)) {
        scored.emplace_back(m_model.Score(aOrigin, index, 0), index);
      }
    }
    found->second.m_available = Heap(std::greater<>{}, std::move(scored));
  }
  return found->second;
}

void TargetPicker::RetryFull(Candidates& aCandidates, OriginIndex aOrigin, double aWeight) const
{
  std::erase_if(aCandidates.m_full, [&](const Scored& aFull) {
    if (aWeight > kMaxRetryWeight * aFull.first) {
      return false;
    }
    aCandidates.m_available.emplace(m_model.Score(aOrigin, aFull.second, aWeight), aFull.second);
    return true;
  });
}

SiteIndex TargetPicker::PickAvailable(Candidates& aCandidates,
                                      OriginIndex aOrigin,
                                      SiteIndex aFrom,
                                      double aWeight) const
{
  auto& available = aCandidates.m_available;
  std::optional<Scored> source;
  SiteIndex picked = kNoSite;
  while (!available.empty() && picked == kNoSite) {
    const auto [oldScore, site] = available.top();
    available.pop();
    const auto score = m_model.Score(aOrigin, site, aWeight);
    if (score > oldScore && !available.empty() && score > available.top().first) {
      // The load of the site has grown since it was scored.
      available.emplace(score, site);
    } else if (site == aFrom) {
      source.emplace(score, site);
    } else if (m_model.Fits(aOrigin, aFrom, site, aWeight)) {
      available.emplace(score, site);
      picked = site;
    } else {
      aCandidates.m_full.emplace_back(aWeight, site);
    }
  }
  if (source) {
    available.push(*source);
  }
  return picked;
}

SiteIndex TargetPicker::Pick(OriginIndex aOrigin,
                             SiteIndex aFrom,
                             MoveReason aReason,
                             double aWeight)
{
  auto& candidates = CandidatesFor(aOrigin, aFrom, aReason);
  RetryFull(candidates, aOrigin, aWeight);
  return PickAvailable(candidates, aOrigin, aFrom, aWeight);
}

} // namespace jaylane::policy
