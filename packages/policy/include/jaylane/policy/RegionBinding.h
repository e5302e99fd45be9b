#pragma once

#include "jaylane/policy/AllowedRegions.h"

#include <optional>
#include <set>
#include <string>

namespace jaylane::policy {

/// Regions that may execute a request while the configuration changes: those that every version
/// allows that was active from the arrival of the request to its next attempt.
/// Load pattern: requests wait, are retried or hedged while versions move their route from one
/// region to another and back.
///
/// The version of the arrival alone would send data to a region that has been forbidden since, and
/// the newest version alone to one that was forbidden when the caller sent it.
class RegionBinding
{
public:
  /// Restricts the request to the regions of one more version.
  void Add(const AllowedRegions& aAllowed);

  /// No region may execute the request, since the regions of a version are not known.
  void ForbidAll() { m_regions.emplace(); }

  /// @return the allowed regions; null if all are allowed.
  const std::set<std::string>* Get() const { return m_regions ? &*m_regions : nullptr; }
  /// @return whether only some regions may execute the request.
  bool IsRestricted() const { return m_regions.has_value(); }
  /// @return whether no region may execute the request.
  bool IsNone() const { return m_regions && m_regions->empty(); }
  bool Allows(const std::string& aRegion) const
  {
    return !m_regions || m_regions->contains(aRegion);
  }

private:
  std::optional<std::set<std::string>> m_regions;
};

} // namespace jaylane::policy
