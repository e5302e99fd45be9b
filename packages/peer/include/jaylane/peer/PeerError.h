#pragma once

#include <system_error>

namespace jaylane::peer {

/// Errors of the communication between entry VMs.
enum class PeerErrc
{
  Ok = 0,
  /// The peer could not be reached or did not respond in time; it may have acted on the call.
  NoResponse,
  /// The peer refused the call.
  Refused,
  /// A message does not have the expected form.
  Malformed,
  ListenFailed,
};

/// @return the category of PeerErrc.
const std::error_category& PeerCategory();

/// @param aCode value of this layer.
/// @return the value as an error code of PeerCategory().
std::error_code make_error_code(PeerErrc aCode);

} // namespace jaylane::peer

template<>
struct std::is_error_code_enum<jaylane::peer::PeerErrc> : std::true_type
{
};
