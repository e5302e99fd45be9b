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
  /// No response in time or a lost one; a write may have taken effect.
  Timeout,
  /// The expected version is not the current one.
  Conflict,
  NotFound,
  TooLarge,
  Malformed,
};

/// @return the category of PlatformErrc.
const std::error_category& PlatformCategory();

/// @param aCode value of this layer.
/// @return the value as an error code of PlatformCategory().
std::error_code make_error_code(PlatformErrc aCode);

/// @param aCode kind of the failure.
/// @param aDetail particulars for the log.
/// @return both as an error.
inline base::Error MakeError(PlatformErrc aCode, std::string aDetail = {})
{
  return { make_error_code(aCode), std::move(aDetail) };
}

} // namespace jaylane::platform

template<>
struct std::is_error_code_enum<jaylane::platform::PlatformErrc> : std::true_type
{
};
