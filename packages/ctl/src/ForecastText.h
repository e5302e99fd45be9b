#pragma once

#include <json/value.h>
#include <string>

namespace jaylane::ctl {

/// @param aForecast member "forecast" of the response to a plan.
/// @return table of services; the row of each is followed by its peak load and by the share of
/// load that each law refuses. Empty if there is no forecast.
std::string FormatForecast(const Json::Value& aForecast);

} // namespace jaylane::ctl
