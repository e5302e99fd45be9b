#pragma once

#include "CapWindow.h"
#include "LoadShares.h"
#include "PlacementModel.h"

namespace jaylane::policy {

/// Merges split buckets whose parts are all at one site, need not leave it, and have not moved
/// within the window.
/// @param aBelow share from which a bucket stays split, because it would be split again. Ignored
/// while
///   more than half of the table's splits are in use.
void MergeColdBuckets(SteeringTable& aTable,
                      const LoadShares& aShares,
                      const PlacementModel& aModel,
                      const CapWindow& aWindow,
                      double aBelow);

} // namespace jaylane::policy
