#pragma once

#include "jaylane/base/Error.h"

#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::testing {

/// From a time on, requests of an origin may run in some regions only.
struct LegalRule
{
  std::string m_service;
  std::string m_origin;
  std::set<std::string> m_allowedRegions;
  /// Milliseconds of wall time since the epoch.
  double m_effectiveMillis = 0;
};

/// Bounds that a history is checked against.
struct HistoryRules
{
  /// New work may arrive at an upstream for this long after its leave signal.
  std::chrono::milliseconds m_leavingLimit{ 2000 };
  /// A request dispatched before a legal rule takes effect may arrive this much later.
  std::chrono::milliseconds m_legalGrace{ 100 };
  std::vector<LegalRule> m_legal;

  /// @param aText {"leaving_limit_ms","legal_grace_ms","legal":[{"service","origin_region",
  ///   "allowed_regions","effective_at_ms"}]}; all members are optional.
  static base::Result<HistoryRules> Parse(std::string_view aText);
};

} // namespace jaylane::testing
