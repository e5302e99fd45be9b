#pragma once

#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace jaylane::entry {

/// @return the value on one line.
std::string WriteJson(const Json::Value& aValue);

/// @return the parsed value, or nothing if the text is not one JSON value.
std::optional<Json::Value> ParseJson(std::string_view aText);

} // namespace jaylane::entry
