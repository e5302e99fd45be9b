#pragma once

#include "jaylane/policy/SteeringTable.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// Measured load of a service, summed over all VMs, in the unit of the sites' capacity.
struct BucketLoad
{
  /// Load of each bucket, ordered by origin and bucket; SteeringTable::BucketCount() elements.
  std::vector<double> m_buckets;
  /// Load of the parts of split buckets. If a split bucket is missing, its parts were not measured
  /// and each counts with the whole bucket's load.
  std::unordered_map<std::uint32_t, std::array<double, kPartsPerBucket>> m_parts;
};

} // namespace jaylane::policy
