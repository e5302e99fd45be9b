#include "ColdBucketMerge.h"

#include <set>

namespace jaylane::policy {

namespace {

/// Number of splits above which buckets are merged whatever their share, to keep splits available.
constexpr std::size_t kScarceAboveSplits = kMaxSplits / 2;

std::set<std::uint32_t> MovedBuckets(const CapWindow& aWindow)
{
  std::set<std::uint32_t> buckets;
  for (const auto& move : aWindow.Moves()) {
    for (const auto& run : move.m_parts) {
      const auto last = (run.m_first + run.m_count - 1) / kPartsPerBucket;
      for (auto bucket = run.m_first / kPartsPerBucket; bucket <= last; ++bucket) {
        buckets.insert(bucket);
      }
    }
  }
  return buckets;
}

} // namespace

void MergeColdBuckets(SteeringTable& aTable,
                      const LoadShares& aShares,
                      const PlacementModel& aModel,
                      const CapWindow& aWindow,
                      double aBelow)
{
  if (aTable.SplitCount() == 0) {
    return;
  }
  const auto moved = MovedBuckets(aWindow);
  for (std::uint32_t bucket = 0; bucket < aTable.BucketCount(); ++bucket) {
    const auto origin = static_cast<OriginIndex>(bucket / kBucketsPerOrigin);
    if (!aTable.IsSplit(bucket) || moved.contains(bucket) ||
        aModel.RequiredMoveReason(origin, aTable.SiteOf(bucket))) {
      continue;
    }
    if (aShares.Share(bucket) < aBelow || aTable.SplitCount() > kScarceAboveSplits) {
      aTable.Merge(bucket);
    }
  }
}

} // namespace jaylane::policy
