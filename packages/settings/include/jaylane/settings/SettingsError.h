#pragma once

#include <system_error>

namespace jaylane::settings {

/// Error codes of the settings package. SettingsCategory() has a message for each.
enum class SettingsErrc
{
  Ok = 0,
  MalformedDocument,
  MalformedEdit,
  InvalidTree,
  Conflict,
  BaseTooOld,
  BaseInFuture,
  TooLarge,
  IdReused,
  NotFound,
  Unauthorized,
  Forbidden,
};

/// @return the error category of SettingsErrc.
const std::error_category& SettingsCategory();

/// @param aCode error of this package.
/// @return the error code in SettingsCategory().
std::error_code make_error_code(SettingsErrc aCode);

} // namespace jaylane::settings

template<>
struct std::is_error_code_enum<jaylane::settings::SettingsErrc> : std::true_type
{
};
