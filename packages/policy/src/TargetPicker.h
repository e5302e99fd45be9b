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
/// A site without room is tried again only for a clearly lighter weight, so that full sites do not
/// slow down a step. Weights should fall from one call to the next.
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

  struct Candidates
  {
    Heap m_open;
    std::vector<Scored> m_full; ///< Weight that did not fit, and the site.
  };

  Candidates& CandidatesFor(OriginIndex aOrigin, SiteIndex aFrom, MoveReason aReason);

  void Reopen(Candidates& aCandidates, OriginIndex aOrigin, double aWeight) const;
  SiteIndex PickOpen(Candidates& aCandidates,
                     OriginIndex aOrigin,
                     SiteIndex aFrom,
                     double aWeight) const;

  const PlacementModel& m_model;
  std::map<std::tuple<OriginIndex, std::size_t, MoveReason>, Candidates> m_candidates;
};

} // namespace jaylane::policy
