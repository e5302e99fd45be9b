#pragma once

#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>

namespace jaylane::ctl {

/// @return the text escaped for HTML elements and quoted attributes.
std::string EscapeHtml(std::string_view aText);

/// @return the text with each ASCII control character replaced by "?", so that a text from a
/// server cannot send escape sequences to the terminal.
std::string Printable(std::string_view aText);

/// @return the value as JSON on one line.
std::string CompactJson(const Json::Value& aValue);

/// @return the value as indented JSON that ends with a newline.
std::string IndentedJson(const Json::Value& aValue);

/// @param aMillis milliseconds since the Unix epoch.
/// @return ISO 8601 time in UTC with milliseconds.
std::string FormatMillis(std::uint64_t aMillis);

/// Parses a value of the command line.
/// @return the value as JSON if it is valid JSON, else as a string.
Json::Value ParseJsonOrText(const std::string& aText);

/// @return the text percent-encoded for the value of a query parameter.
std::string EncodeQuery(std::string_view aText);

} // namespace jaylane::ctl
