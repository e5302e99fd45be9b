#pragma once

#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>

namespace jaylane::ctl {

/// @return the text with everything escaped that HTML gives a meaning, also within attributes.
std::string EscapeHtml(std::string_view aText);

/// @return the text with control characters replaced, which could move a terminal's cursor.
std::string Printable(std::string_view aText);

/// @return the value as JSON in one line.
std::string Compact(const Json::Value& aValue);

/// @return the value as indented JSON with a line end.
std::string Pretty(const Json::Value& aValue);

/// @return UTC time with milliseconds.
std::string FormatMillis(std::uint64_t aMillis);

/// Interprets a value of the command line: JSON where it parses as JSON, else text.
Json::Value ParseValue(const std::string& aText);

/// @return the text percent-encoded for a query.
std::string EncodeQuery(std::string_view aText);

} // namespace jaylane::ctl
