#pragma once

#include "jaylane/policy/ShiftPlanner.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::policy {

/// Load refused when a rule comes into force before its shift is complete.
struct RuleForecast
{
  std::string m_ruleId;
  base::WallTime m_effectiveAt{};
  double m_refusedShare = 0;
};

struct ForecastStep
{
  base::WallTime m_at{};
  double m_movedShare = 0;
  std::array<double, kMoveReasonCount> m_movedByReason{};
};

/// Highest load relative to capacity.
struct PeakUtilization
{
  std::map<SiteId, double> m_sites;
  std::map<std::string, double> m_regions;
  /// Load by (origin region, region); relative to the link's limit where there is one, otherwise
  /// absolute.
  std::map<std::pair<std::string, std::string>, double> m_links;
};

/// Course of a shift if inputs stay as they are.
struct Forecast
{
  std::vector<ForecastStep> m_steps;
  /// When the last step took place; the start if there is none.
  base::WallTime m_endAt{};
  /// Settled if the shift completes, otherwise what stops it.
  PlanState m_finalState = PlanState::Settled;
  PeakUtilization m_peak;
  std::vector<RuleForecast> m_rules;
};

/// Dry run of a shift.
/// @param aMaxSteps bound on the work; the forecast ends there with its state as it is.
/// @return the course, or the planner's error.
base::Result<Forecast> MakeForecast(const SteeringTable& aCurrent,
                                    const PlanInput& aInput,
                                    base::WallTime aNow,
                                    std::size_t aMaxSteps = 1000);

} // namespace jaylane::policy
