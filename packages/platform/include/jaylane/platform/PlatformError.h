#pragma once

#include "jaylane/base/Error.h"

#include <string>
#include <system_error>

namespace jaylane::platform {

/// Errors of the platform client.
enum class PlatformErrc
{
  Ok = 0,
  /// The call had no effect: no endpoint could be reached, or the store refused it.
  Unavailable,
  /// No response was received in time; a write may have taken effect.
  Timeout,
  /// The object does not have the expected version.
  Conflict,
  NotFound,
  TooLarge,
  Malformed,
};

/// @return the category of PlatformErrc.
const std::error_category& PlatformCategory();

/// @param aCode error of this layer.
/// @return the error code in PlatformCategory().
std::error_code make_error_code(PlatformErrc aCode);

/// @param aCode kind of the error.
/// @param aDetail details for the log.
inline base::Error MakeError(PlatformErrc aCode, std::string aDetail = {})
{
  return { make_error_code(aCode), std::move(aDetail) };
}

} // namespace jaylane::platform

template<>
struct std::is_error_code_enum<jaylane::platform::PlatformErrc> : std::true_type
{
};
