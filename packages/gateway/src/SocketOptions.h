#pragma once

#include "jaylane/policy/PeerLiveness.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string_view>

namespace jaylane::gateway {

/// Timeouts after which the kernel closes a connection whose other side stopped responding without
/// a reset.
struct TcpTimeouts
{
  /// Longest time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). Linux counts a closed
  /// receive window as well, even if the peer answers each probe of it.
  std::chrono::milliseconds m_userTimeout{ 2000 };
  /// Idle time before the first keep-alive probe, interval between probes, and unanswered probes
  /// after which the connection is closed.
  std::chrono::seconds m_keepAliveIdle{ 2 };
  std::chrono::seconds m_keepAliveInterval{ 1 };
  int m_keepAliveProbes = 2;
  /// Whether the program decides with policy::PeerLiveness when unacknowledged bytes show a dead
  /// host. m_userTimeout then applies only if the system does not support ObservePeer().
  bool m_isPeerObserved = false;
  /// Longest interval between retransmissions or window probes; empty: the system's. Ignored by
  /// systems without TCP_RTO_MAX_MS, where the interval doubles for as long as a peer pauses, and a
  /// host that fails meanwhile is found that much later.
  std::optional<std::chrono::milliseconds> m_maxProbeInterval;
};

/// Opens a socket for an outgoing connection, so that its source port can still be listened on. The
/// kernel may choose a port that this process or its successor listens on, if it is not bound yet;
/// without SO_REUSEADDR on both sockets, listening then fails until a minute after the connection
/// has ended. Errors are ignored: connecting opens a closed socket.
void OpenForConnecting(boost::asio::ip::tcp::socket& aSocket,
                       const boost::asio::ip::tcp::endpoint& aRemote);

/// Disables Nagle's algorithm and sets the timeouts. Errors are ignored: the socket works without.
void SetTcpOptions(boost::asio::ip::tcp::socket& aSocket, const TcpTimeouts& aTimeouts);

/// @return what the system knows about the peer of a connected socket, or nothing if it does not
///         say.
std::optional<policy::PeerLiveness::Observation> ObservePeer(boost::asio::ip::tcp::socket& aSocket);

/// @param aText "ip:port".
/// @return the endpoint, or nothing if the text is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aText);

/// @param aText "ip:port".
/// @return whether the text names a host and port to connect to.
bool IsHostAddress(std::string_view aText);

/// @return whether an idle connection can carry another request: it is open and has no unread bytes
///         (which would belong to no request).
bool IsIdleAndOpen(boost::asio::ip::tcp::socket& aSocket);

/// @return whether received bytes are waiting to be read.
bool HasUnreadBytes(const boost::asio::ip::tcp::socket& aSocket);

/// @return whether the peer's host has not acknowledged all sent bytes, or the end of them.
bool HasUnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket);

/// @return whether the peer has closed the connection, also if unread bytes are ahead of the close.
bool HasPeerClosed(boost::asio::ip::tcp::socket& aSocket);

} // namespace jaylane::gateway
