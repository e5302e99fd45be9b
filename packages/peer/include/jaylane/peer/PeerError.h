#pragma once

#include <system_error>

namespace jaylane::peer {

/// Errors of the communication between entry VMs.
enum class PeerErrc
{
  Ok = 0,
  /// The peer could not be reached or did not respond in time. It may have executed the call.
  NoResponse,
  /// The peer refused the call.
  Refused,
  /// A message lacks a field or has one of the wrong type.
  Malformed,
  ListenFailed,
};

/// @return the category of PeerErrc.
const std::error_category& PeerCategory();

/// @param aCode error of this layer.
/// @return the error code in PeerCategory().
std::error_code make_error_code(PeerErrc aCode);

} // namespace jaylane::peer

template<>
struct std::is_error_code_enum<jaylane::peer::PeerErrc> : std::true_type
{
};
