#pragma once

#include <system_error>

namespace jaylane::settings {

/// Errors of the settings package.
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

/// @return the category of SettingsErrc.
const std::error_category& SettingsCategory();

/// @param aCode value of this layer.
/// @return the value as an error code of SettingsCategory().
std::error_code make_error_code(SettingsErrc aCode);

} // namespace jaylane::settings

template<>
struct std::is_error_code_enum<jaylane::settings::SettingsErrc> : std::true_type
{
};
