#include "LoadShares.h"

#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace jaylane::policy {

namespace {

bool IsValidLoad(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

} // namespace

base::Result<LoadShares> LoadShares::Make(const BucketLoad& aLoad,
                                          std::uint32_t aBucketCount,
                                          double aFloor,
                                          double aIdleLoad)
{
  if (aLoad.m_buckets.size() != aBucketCount) {
    return base::Error{ PolicyErrc::InvalidLoad, "number of buckets differs from the table's" };
  }
  bool valid = std::all_of(aLoad.m_buckets.begin(), aLoad.m_buckets.end(), IsValidLoad);
  for (const auto& [bucket, parts] : aLoad.m_parts) {
    valid = valid && bucket < aBucketCount && std::all_of(parts.begin(), parts.end(), IsValidLoad);
  }
  if (!valid) {
    return base::Error{ PolicyErrc::InvalidLoad,
                        "a load is negative or not finite, or its bucket does not exist" };
  }
  LoadShares shares;
  shares.m_load = &aLoad;
  shares.m_total = std::accumulate(aLoad.m_buckets.begin(), aLoad.m_buckets.end(), 0.0);
  shares.m_shareFloor = aFloor / aBucketCount;
  shares.m_weightFloor = aFloor * std::max(shares.m_total, aIdleLoad) / aBucketCount;
  return shares;
}

double LoadShares::MeasuredLoad(std::uint32_t aBucket, PartMask aParts) const
{
  const auto whole = m_load->m_buckets[aBucket];
  if (aParts == kAllParts || aParts == 0) {
    return aParts == 0 ? 0 : whole;
  }
  const auto found = m_load->m_parts.find(aBucket);
  if (found == m_load->m_parts.end()) {
    return whole;
  }
  double sum = 0;
  double selected = 0;
  for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
    sum += found->second[part];
    if ((aParts >> part & 1) != 0) {
      selected += found->second[part];
    }
  }
  // Buckets and parts need not be measured at the same time; the higher result counts.
  return sum > 0 ? std::max(selected, whole * selected / sum) : whole;
}

double LoadShares::Share(std::uint32_t aBucket, PartMask aParts) const
{
  const auto measured = m_total > 0 ? MeasuredLoad(aBucket, aParts) / m_total : 0;
  const auto floor = m_shareFloor * std::popcount(aParts) / kPartsPerBucket;
  return std::max(measured, floor);
}

double LoadShares::Share(const std::vector<PartRun>& aRuns) const
{
  double sum = 0;
  for (const auto& run : aRuns) {
    const auto end = run.m_first + run.m_count;
    for (auto at = run.m_first; at < end;) {
      const auto bucket = at / kPartsPerBucket;
      const auto bucketEnd = std::min(end, (bucket + 1) * kPartsPerBucket);
      const auto count = bucketEnd - at;
      const auto mask = count == kPartsPerBucket
                          ? kAllParts
                          : ((PartMask{ 1 } << count) - 1) << (at % kPartsPerBucket);
      sum += Share(bucket, mask);
      at = bucketEnd;
    }
  }
  return sum;
}

double LoadShares::Weight(std::uint32_t aBucket, PartMask aParts) const
{
  const auto floor = m_weightFloor * std::popcount(aParts) / kPartsPerBucket;
  return std::max(MeasuredLoad(aBucket, aParts), floor);
}

} // namespace jaylane::policy
