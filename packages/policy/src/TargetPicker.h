#pragma once

#include "PlacementModel.h"

#include <functional>
#include <map>
#include <queue>
#include <tuple>
#include <vector>

namespace jaylane::policy {

/// Finds the site with the best score that has room.
///
/// Weights must not fall from one call to the next for the same source region, origin and reason: a
/// site without room is not tried again, so that full sites do not slow down a step.
class TargetPicker
{
public:
  /// @param aModel must outlive this; its loads may grow between calls.
  explicit TargetPicker(const PlacementModel& aModel);

  /// @param aFrom site that the load leaves, or kNoSite.
  /// @return the site, or kNoSite if no allowed one has room.
  SiteIndex Pick(OriginIndex aOrigin, SiteIndex aFrom, MoveReason aReason, double aWeight);

private:
  using Scored = std::pair<double, SiteIndex>;
  using Heap = std::priority_queue<Scored, std::vector<Scored>, std::greater<>>;

  Heap& HeapFor(OriginIndex aOrigin, SiteIndex aFrom, MoveReason aReason);

  const PlacementModel& m_model;
  std::map<std::tuple<OriginIndex, std::size_t, MoveReason>, Heap> m_heaps;
};

} // namespace jaylane::policy
