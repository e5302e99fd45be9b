#pragma once

#include <string>

namespace jaylane::settings {

/// @return docs/settings.md: all keys with ranges and defaults, from the tables that the parsers
/// use. A test compares the page with this text.
std::string SettingsReference();

} // namespace jaylane::settings
