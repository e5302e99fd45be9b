#pragma once

#include "CapWindow.h"
#include "LoadShares.h"
#include "PlacementModel.h"

namespace jaylane::policy {

/// Represents split buckets whole again that are at one site, need not leave it, and have not
/// moved within the window.
/// @param aBelow share above which a bucket stays split, because it would be split again; does
///   not count while splits run short.
void MergeColdBuckets(SteeringTable& aTable,
                      const LoadShares& aShares,
                      const PlacementModel& aModel,
                      const CapWindow& aWindow,
                      double aBelow);

} // namespace jaylane::policy
