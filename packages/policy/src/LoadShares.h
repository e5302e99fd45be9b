#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/policy/BucketLoad.h"

#include <cstdint>

namespace jaylane::policy {

/// Set of a bucket's parts, one bit each.
using PartMask = std::uint64_t;
inline constexpr PartMask kAllParts = ~PartMask{ 0 };
static_assert(kPartsPerBucket == 64);

/// Shares and weights of buckets and parts.
///
/// A share is relative to the service's load and counts toward the cap. It is never below the
/// measured one: the floor raises the shares of single buckets, but they are relative to the total
/// of the measured load alone. A weight is absolute and counts toward the capacities.
class LoadShares
{
public:
  /// @param aFloor lowest share of a bucket relative to the mean.
  /// @param aIdleLoad lowest total load that the floor of weights is derived from, so that buckets
  ///   that have no traffic at present do not all fit into one site.
  /// @return InvalidLoad unless there is a finite value of at least 0 for each bucket.
  static base::Result<LoadShares> Make(const BucketLoad& aLoad,
                                       std::uint32_t aBucketCount,
                                       double aFloor,
                                       double aIdleLoad);

  /// @return share of the set of parts, at most that of the whole bucket. A set of parts that were
  ///   not measured counts with the whole bucket's share.
  double Share(std::uint32_t aBucket, PartMask aParts = kAllParts) const;

  /// @return share of all parts of the runs.
  double Share(const std::vector<PartRun>& aRuns) const;

  /// @return upper bound on the weight of the set of parts.
  double Weight(std::uint32_t aBucket, PartMask aParts = kAllParts) const;

  /// @return whether the parts of the bucket have been measured.
  bool HasMeasuredParts(std::uint32_t aBucket) const { return m_load->m_parts.contains(aBucket); }

  double TotalLoad() const { return m_total; }

private:
  double MeasuredLoad(std::uint32_t aBucket, PartMask aParts) const;

  const BucketLoad* m_load = nullptr;
  double m_total = 0;
  double m_shareFloor = 0;
  double m_weightFloor = 0;
};

} // namespace jaylane::policy
