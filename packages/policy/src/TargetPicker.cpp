#include "TargetPicker.h"

#include <optional>

namespace jaylane::policy {

TargetPicker::TargetPicker(const PlacementModel& aModel)
  : m_model(aModel)
{
}

TargetPicker::Heap& TargetPicker::HeapFor(OriginIndex aOrigin, SiteIndex aFrom, MoveReason aReason)
{
  const auto region = aFrom == kNoSite ? m_model.Regions().size() : m_model.RegionOf(aFrom);
  const auto [found, isNew] = m_heaps.try_emplace({ aOrigin, region, aReason });
  if (isNew) {
    std::vector<Scored> scored;
    for (std::size_t site = 0; site < m_model.SiteCount(); ++site) {
      const auto index = static_cast<SiteIndex>(site);
      if (m_model.IsTarget(aOrigin, index, aReason)) {
        scored.emplace_back(m_model.Score(aOrigin, index, 0), index);
      }
    }
    found->second = Heap(std::greater<>{}, std::move(scored));
  }
  return found->second;
}

SiteIndex TargetPicker::Pick(OriginIndex aOrigin,
                             SiteIndex aFrom,
                             MoveReason aReason,
                             double aWeight)
{
  auto& heap = HeapFor(aOrigin, aFrom, aReason);
  std::optional<Scored> source;
  SiteIndex picked = kNoSite;
  while (!heap.empty()) {
    const auto [oldScore, site] = heap.top();
    heap.pop();
    const auto score = m_model.Score(aOrigin, site, aWeight);
    if (score > oldScore && !heap.empty() && score > heap.top().first) {
      // Loads grew since the site was last scored.
      heap.emplace(score, site);
      continue;
    }
    if (site == aFrom) {
      source.emplace(score, site);
      continue;
    }
    if (m_model.Fits(aOrigin, aFrom, site, aWeight)) {
      heap.emplace(score, site);
      picked = site;
      break;
    }
  }
  if (source) {
    heap.push(*source);
  }
  return picked;
}

} // namespace jaylane::policy
