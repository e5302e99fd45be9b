#pragma once

#include <string>

namespace jaylane::settings {

/// @return text of docs/settings.md: all keys with ranges and defaults, generated from the key
/// tables that the parsers use. A test compares the page with this text.
std::string SettingsReference();

} // namespace jaylane::settings
