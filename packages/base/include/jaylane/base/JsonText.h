#pragma once

#include "jaylane/base/Error.h"

#include <json/value.h>
#include <string>
#include <string_view>

namespace jaylane::base {

/// @return the value on one line.
std::string WriteJson(const Json::Value& aValue);

/// Parses JSON from an untrusted source: no comments, duplicate members or trailing text, and a
/// bounded depth. jsoncpp accepts the former by default and throws on deep nesting, which would
/// end a thread and so the process.
/// @param aText one JSON value of any type.
/// @return the value, or InvalidValue with the position of the problem.
Result<Json::Value> ParseJson(std::string_view aText);

} // namespace jaylane::base
