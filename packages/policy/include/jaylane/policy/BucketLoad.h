#pragma once

#include "jaylane/policy/SteeringTable.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// Measured load of a service, over all VMs, in the unit of the sites' capacity.
struct BucketLoad
{
  /// Load by bucket, origin by origin; as long as the table's BucketCount().
  std::vector<double> m_buckets;
  /// Load of the parts of split buckets. A split bucket missing here has unknown parts, so each
  /// counts with the whole bucket's load.
  std::unordered_map<std::uint32_t, std::array<double, kPartsPerBucket>> m_parts;
};

} // namespace jaylane::policy
