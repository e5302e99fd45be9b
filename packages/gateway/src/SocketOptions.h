#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string_view>

namespace jaylane::gateway {

/// Limits after which the kernel gives a connection up that went silent without a reset.
struct SilenceLimits
{
  /// Longest time that sent bytes may stay unacknowledged.
  std::chrono::milliseconds m_unacknowledged{ 2000 };
  /// Idle time before the first keep-alive probe, and time between probes.
  std::chrono::seconds m_probeAfter{ 2 };
  std::chrono::seconds m_probeInterval{ 1 };
  int m_probes = 2;
};

/// Disables Nagle's algorithm and sets the limits; errors are ignored, the socket works without.
void SetSilenceLimits(boost::asio::ip::tcp::socket& aSocket, const SilenceLimits& aLimits);

/// @param aText "ip:port".
/// @return the endpoint, or nothing if the text is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aText);

/// @return whether an idle connection can carry another request: open, and without bytes that
///         belong to no request.
bool IsIdleAndOpen(boost::asio::ip::tcp::socket& aSocket);

} // namespace jaylane::gateway
