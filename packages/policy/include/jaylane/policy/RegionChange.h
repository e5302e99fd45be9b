#pragma once

#include "jaylane/policy/Fleet.h"

#include <set>
#include <string>
#include <vector>

namespace jaylane::policy {

/// The regions that may execute the requests of a route or of a team differ between two versions of
/// the configuration.
struct RegionChange
{
  /// Host and path prefix of the route; empty if the change is a team's.
  std::string m_route;
  /// Empty if the change is a route's.
  std::string m_team;
  /// Both are empty if all regions are allowed.
  std::set<std::string> m_previous;
  std::set<std::string> m_allowed;

  bool operator==(const RegionChange&) const = default;
};

/// @return the changes of routes and teams that both versions have, and those that one of them
/// lacks
///   and the other restricts. A missing one counts as unrestricted.
std::vector<RegionChange> RegionChangesBetween(const Configuration& aPrevious,
                                               const Configuration& aNext);

} // namespace jaylane::policy
