#pragma once

#include "jaylane/base/Error.h"

#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace jaylane::base {

/// An IPv4 address and port. Names are not resolved.
struct SocketAddress
{
  /// In host byte order.
  std::uint32_t m_host = 0;
  std::uint16_t m_port = 0;

  /// @param aText "a.b.c.d:port".
  /// @return the address, or InvalidValue.
  static Result<SocketAddress> Parse(std::string_view aText);

  /// @param aText "a.b.c.d".
  /// @return the address in host byte order, or InvalidValue.
  static Result<std::uint32_t> ParseHost(std::string_view aText);

  /// @return "a.b.c.d:port".
  std::string ToString() const;

  /// @return the address without its port.
  std::string HostString() const;

  /// @return the address in the form that the socket API takes.
  sockaddr_in ToSockaddr() const;

  bool operator==(const SocketAddress&) const = default;
};

} // namespace jaylane::base
