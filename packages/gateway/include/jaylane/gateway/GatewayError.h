#pragma once

#include <system_error>

namespace jaylane::gateway {

/// Errors of the gateway layer.
enum class GatewayErrc
{
  Ok = 0,
  InvalidSettings,
  /// An address cannot be listened on.
  ListenFailed,
  /// An address cannot be listened on now, because another socket has it or its interface is not
  /// up.
  AddressUnavailable,
  InvalidStoreResponse,
};

/// @return the category of GatewayErrc.
const std::error_category& GatewayCategory();

/// @param aCode value of this layer.
/// @return the value as an error code of GatewayCategory().
std::error_code make_error_code(GatewayErrc aCode);

} // namespace jaylane::gateway

template<>
struct std::is_error_code_enum<jaylane::gateway::GatewayErrc> : std::true_type
{
};
