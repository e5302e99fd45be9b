#pragma once

#include "jaylane/policy/Fleet.h"

#include <set>
#include <string>

namespace jaylane::policy {

/// Regions that may execute a request: those that both its route and its team allow.
/// Load pattern: teams that are bound to their home regions use routes that are restricted as well.
class AllowedRegions
{
public:
  AllowedRegions() = default;
  /// @param aRoute must outlive this object.
  /// @param aTeam the same; null if the caller has none.
  AllowedRegions(const Route& aRoute, const Team* aTeam);

  /// @return the allowed regions; null if all are allowed.
  const std::set<std::string>* Get() const;
  /// @return whether no region may execute the request.
  bool IsNone() const { return m_isCommon && m_common.empty(); }

private:
  /// Used if only one of route and team is restricted.
  const std::set<std::string>* m_single = nullptr;
  std::set<std::string> m_common;
  /// Whether route and team are both restricted, so that m_common applies.
  bool m_isCommon = false;
};

} // namespace jaylane::policy
