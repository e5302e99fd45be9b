#pragma once

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace jaylane::platform {

/// @param aValue any JSON value.
/// @return the value as JSON text on one line.
std::string WriteJson(const Json::Value& aValue);

/// @param aText JSON text.
/// @return the object, or nothing if the text is not exactly one valid JSON object.
std::optional<Json::Value> ParseJsonObject(std::string_view aText);

} // namespace jaylane::platform
