#pragma once

#include "jaylane/base/Clock.h"

#include <optional>
#include <vector>

namespace jaylane::policy {

/// Decides since when a VM may have lost contact to most availability zones.
/// Load pattern: the store is out of service for all VMs, or a VM, a zone or a region is cut off
/// from it and from the others, and must tell these two apart.
/// @param aHeardAt for each known zone, the last time at which a VM of it was heard; empty if
/// never.
/// @return the latest time at or after which more than half of the zones were heard; empty if that
///   was never so.
std::optional<base::MonotonicTime> MostZonesHeardAt(
  std::vector<std::optional<base::MonotonicTime>> aHeardAt);

} // namespace jaylane::policy
