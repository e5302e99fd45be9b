#pragma once

#include "jaylane/base/Error.h"

#include <json/value.h>
#include <string_view>

namespace jaylane::settings {

/// Parses JSON from an untrusted source: no comments, duplicate members or trailing text, and a
/// bounded depth. jsoncpp accepts the former by default and throws on deep nesting.
/// @param aText one JSON value of any type.
/// @return the value, or MalformedDocument with the position of the problem.
base::Result<Json::Value> ParseJson(std::string_view aText);

} // namespace jaylane::settings
