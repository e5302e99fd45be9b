#pragma once

#include "jaylane/policy/Forecast.h"

#include <json/value.h>
#include <string>

namespace jaylane::entry {

/// @return name of the state in the administration API.
const char* PlanStateName(policy::PlanState aState);

/// @return an entry of the member "forecast" of POST /v1/plan (docs/admin-api.md).
Json::Value MakeForecastReport(const std::string& aService, const policy::Forecast& aForecast);

/// @param aProblem why there is no forecast.
/// @return the entry for a service without a forecast.
Json::Value MakeForecastProblem(const std::string& aService, const std::string& aProblem);

} // namespace jaylane::entry
