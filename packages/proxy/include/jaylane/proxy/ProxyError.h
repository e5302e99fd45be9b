#pragma once

#include <system_error>

namespace jaylane::proxy {

/// Errors of the request forwarding layer.
enum class ProxyErrc
{
  Ok = 0,
  ListenFailed,
  Overloaded,
};

/// @return the category of ProxyErrc.
const std::error_category& ProxyCategory();

/// @param aCode value of this layer.
/// @return the value as an error code of ProxyCategory().
std::error_code make_error_code(ProxyErrc aCode);

} // namespace jaylane::proxy

template<>
struct std::is_error_code_enum<jaylane::proxy::ProxyErrc> : std::true_type
{
};
