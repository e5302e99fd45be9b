#pragma once

#include "jaylane/base/Error.h"

#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::testing {

/// Restricts the requests of an origin region to a set of regions from a point in time on.
struct LegalRule
{
  std::string m_service;
  std::string m_origin;
  std::set<std::string> m_allowedRegions;
  /// Milliseconds of wall time since the epoch.
  double m_effectiveMillis = 0;
};

/// Limits and legal rules that a history is checked against.
struct HistoryRules
{
  /// Requests may still arrive at an upstream for this long after its leave signal.
  std::chrono::milliseconds m_leavingLimit{ 2000 };
  /// A request sent before a legal rule takes effect may arrive at its upstream this long after.
  std::chrono::milliseconds m_legalGrace{ 100 };
  std::vector<LegalRule> m_legalRules;

  /// @param aText {"leaving_limit_ms","legal_grace_ms","legal":[{"service","origin_region",
  ///   "allowed_regions","effective_at_ms"}]}; the members of the outer object are optional.
  /// @return the rules, or TestingErrc::Malformed.
  static base::Result<HistoryRules> Parse(std::string_view aText);
};

} // namespace jaylane::testing
