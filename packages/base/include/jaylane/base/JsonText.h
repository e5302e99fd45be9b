#pragma once

#include "jaylane/base/Error.h"

#include <json/value.h>
#include <string>
#include <string_view>

namespace jaylane::base {

/// @return the value as JSON text on one line.
std::string WriteJson(const Json::Value& aValue);

/// Parses JSON from an untrusted source. Rejects comments, duplicate members, trailing text and
/// deep nesting. By default jsoncpp accepts the first three and throws an exception on deep
/// nesting, which would terminate the process if not caught.
/// @param aText one JSON value of any type.
/// @return the value, or InvalidValue with the position and kind of the error.
Result<Json::Value> ParseJson(std::string_view aText);

} // namespace jaylane::base
