#pragma once

#include <json/value.h>
#include <string>

namespace jaylane::ctl {

/// @param aForecast member "forecast" of a plan.
/// @return a table of services and below each what its shift needs and refuses; empty without.
std::string ShowForecast(const Json::Value& aForecast);

} // namespace jaylane::ctl
