#pragma once

#include "PlacementModel.h"

#include <functional>
#include <map>
#include <queue>
#include <tuple>
#include <vector>

namespace jaylane::policy {

/// Selects the target site with the best score among those with enough capacity left.
///
/// A full site is retried only for a clearly smaller weight, so that full sites do not slow down a
/// step. Weights should decrease from one call to the next.
class TargetPicker
{
public:
  /// @param aModel must outlive this; its loads may grow between calls.
  explicit TargetPicker(const PlacementModel& aModel);

  /// @param aFrom site that the load leaves, or kNoSite.
  /// @param aWeight load to place, in the unit of the capacities.
  /// @return the site, or kNoSite if no allowed one has enough capacity left.
  SiteIndex Pick(OriginIndex aOrigin, SiteIndex aFrom, MoveReason aReason, double aWeight);

private:
  using Scored = std::pair<double, SiteIndex>;
  using Heap = std::priority_queue<Scored, std::vector<Scored>, std::greater<>>;

  struct Candidates
  {
    Heap m_available;           ///< Last known score and site, lowest score first.
    std::vector<Scored> m_full; ///< Weight that did not fit, and the site.
  };

  Candidates& CandidatesFor(OriginIndex aOrigin, SiteIndex aFrom, MoveReason aReason);

  /// Makes full sites available again for which aWeight is clearly smaller than the one refused.
  void RetryFull(Candidates& aCandidates, OriginIndex aOrigin, double aWeight) const;
  SiteIndex PickAvailable(Candidates& aCandidates,
                          OriginIndex aOrigin,
                          SiteIndex aFrom,
                          double aWeight) const;

  const PlacementModel& m_model;
  std::map<std::tuple<OriginIndex, std::size_t, MoveReason>, Candidates> m_candidates;
};

} // namespace jaylane::policy
