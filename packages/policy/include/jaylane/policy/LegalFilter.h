#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// Restricts the regions that may serve callers of an origin region. If several rules apply to an
/// origin, a region must be allowed by each of them.
struct LegalRule
{
  std::string m_id;
  std::string m_service; ///< Empty for every service.
  std::string m_origin;  ///< Empty for every origin.
  std::vector<std::string> m_allowedRegions;
  base::WallTime m_effectiveAt{};
};

/// Decides by the legal rules whether a region may serve a request. Immutable.
class LegalFilter
{
public:
  LegalFilter() = default;

  /// @param aService service whose requests are checked. Rules of other services are dropped.
  /// @param aRules accepted rules, whether or not they are in force yet.
  /// @param aMaxClockError rules take effect earlier by this time, so that a slow clock lets no
  ///   request pass after a rule's effective time.
  LegalFilter(std::string_view aService,
              std::vector<LegalRule> aRules,
              std::chrono::milliseconds aMaxClockError);

  /// @return the first rule in force that forbids the region to serve callers of the origin, or
  ///   nullptr if there is none.
  const LegalRule* FindViolation(std::string_view aOrigin,
                                 std::string_view aRegion,
                                 base::WallTime aNow) const;

  /// @return whether the region may serve callers of the origin at aNow.
  bool Allows(std::string_view aOrigin, std::string_view aRegion, base::WallTime aNow) const
  {
    return FindViolation(aOrigin, aRegion, aNow) == nullptr;
  }

  /// @return whether the region may serve callers of the origin once all rules are in force.
  bool AllowsEventually(std::string_view aOrigin, std::string_view aRegion) const;

  const std::vector<LegalRule>& Rules() const { return m_rules; }

private:
  std::vector<LegalRule> m_rules; ///< Ordered by origin, then by effective time.
  std::chrono::milliseconds m_maxClockError{ 0 };
};

} // namespace jaylane::policy
