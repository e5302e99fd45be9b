#pragma once

#include "jaylane/base/Error.h"

#include <json/value.h>
#include <string_view>

namespace jaylane::settings {

/// Parses JSON from an untrusted source. Rejects comments, duplicate members and trailing text,
/// which jsoncpp accepts by default, and deep nesting, on which jsoncpp throws.
/// @param aText one JSON value of any type.
/// @return the value, or MalformedDocument with the position of the problem.
base::Result<Json::Value> ParseJson(std::string_view aText);

} // namespace jaylane::settings
