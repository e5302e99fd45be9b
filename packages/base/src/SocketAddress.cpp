#include "jaylane/base/SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace jaylane::base {

Result<std::uint32_t> SocketAddress::ParseHost(std::string_view aText)
{
  in_addr parsed{};
  if (inet_pton(AF_INET, std::string(aText).c_str(), &parsed) != 1) {
    return Error{ BaseErrc::InvalidValue, fmt::format("'{}' is not an IPv4 address", aText) };
  }
  return ntohl(parsed.s_addr);
}

Result<SocketAddress> SocketAddress::Parse(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return Error{ BaseErrc::InvalidValue, fmt::format("'{}' is not of the form host:port", aText) };
  }
  const auto host = ParseHost(aText.substr(0, colon));
  if (!host) {
    return host.GetError();
  }
  SocketAddress address{ *host, 0 };
  const auto port = aText.substr(colon + 1);
  const char* const last = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), last, address.m_port);
  if (port.empty() || parsed.ec != std::errc{} || parsed.ptr != last) {
    return Error{ BaseErrc::InvalidValue, fmt::format("'{}' is not a port number", port) };
  }
  return address;
}

std::string SocketAddress::HostString() const
{
  return fmt::format(
    "{}.{}.{}.{}", m_host >> 24, (m_host >> 16) & 0xff, (m_host >> 8) & 0xff, m_host & 0xff);
}

std::string SocketAddress::ToString() const
{
  return fmt::format("{}:{}", HostString(), m_port);
}

sockaddr_in SocketAddress::ToSockaddr() const
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(m_host);
  address.sin_port = htons(m_port);
  return address;
}

} // namespace jaylane::base
