#pragma once

#include "jaylane/policy/ShiftPlanner.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::policy {

/// Share of the load that is refused when a rule comes into force before its shift is complete.
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

/// Highest utilization during a shift.
struct PeakUtilization
{
  std::map<SiteId, double> m_sites;
  std::map<std::string, double> m_regions;
  /// By (origin region, region): load relative to the link's limit, or absolute if it has none.
  std::map<std::pair<std::string, std::string>, double> m_links;
};

/// Predicted course of a shift, provided that the inputs do not change.
struct Forecast
{
  std::vector<ForecastStep> m_steps;
  /// Time of the last step, or the start if there is none.
  base::WallTime m_endAt{};
  /// Settled if the shift completes, otherwise what prevents it.
  PlanState m_finalState = PlanState::Settled;
  PeakUtilization m_peak;
  std::vector<RuleForecast> m_rules;
};

/// Simulates a shift with the planner.
/// @param aMaxSteps limit on the number of steps, to bound the work; the forecast ends there.
/// @return the forecast, or the planner's error.
base::Result<Forecast> MakeForecast(const SteeringTable& aCurrent,
                                    const PlanInput& aInput,
                                    base::WallTime aNow,
                                    std::size_t aMaxSteps = 1000);

} // namespace jaylane::policy
