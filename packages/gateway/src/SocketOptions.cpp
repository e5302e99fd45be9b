#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstddef>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace jaylane::gateway {

namespace {

/// Option for the largest retransmission timeout, since Linux 6.15; missing in older headers.
constexpr int kTcpRtoMaxMs = 44;

void SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
}

} // namespace

void OpenForConnecting(boost::asio::ip::tcp::socket& aSocket,
                       const boost::asio::ip::tcp::endpoint& aRemote)
{
  boost::system::error_code ignored;
  aSocket.open(aRemote.protocol(), ignored);
  aSocket.set_option(boost::asio::socket_base::reuse_address(true), ignored);
}

void SetTcpOptions(boost::asio::ip::tcp::socket& aSocket, const TcpTimeouts& aTimeouts)
{
  const int socket = aSocket.native_handle();
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  const bool isObserved = aTimeouts.m_isPeerObserved && ObservePeer(aSocket);
  SetOption(socket,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            // Any value but 0 would replace the number of keep-alive probes as well.
            isObserved ? 0 : static_cast<int>(aTimeouts.m_userTimeout.count()));
  if (isObserved && aTimeouts.m_maxProbeInterval) {
    SetOption(
      socket, IPPROTO_TCP, kTcpRtoMaxMs, static_cast<int>(aTimeouts.m_maxProbeInterval->count()));
  }
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(aTimeouts.m_keepAliveIdle.count()));
  SetOption(
    socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(aTimeouts.m_keepAliveInterval.count()));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, aTimeouts.m_keepAliveProbes);
}

std::optional<policy::PeerLiveness::Observation> ObservePeer(boost::asio::ip::tcp::socket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < offsetof(tcp_info, tcpi_last_ack_recv) + sizeof info.tcpi_last_ack_recv ||
      info.tcpi_state == 0) {
    return std::nullopt;
  }
  return policy::PeerLiveness::Observation{ info.tcpi_unacked,
                                            std::max<std::uint32_t>(info.tcpi_retransmits,
                                                                    info.tcpi_probes),
                                            std::chrono::milliseconds{ info.tcpi_last_ack_recv } };
}

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint{ address, port };
}

bool IsHostAddress(std::string_view aText)
{
  const auto endpoint = ParseEndpoint(aText);
  return endpoint && endpoint->port() != 0 && !endpoint->address().is_unspecified() &&
         !endpoint->address().is_multicast();
}

bool IsIdleAndOpen(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t received = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool HasUnreadBytes(const boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code error;
  return aSocket.available(error) > 0;
}

bool HasUnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket)
{
  int bytes = 0;
  return ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool HasPeerClosed(boost::asio::ip::tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t received = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received < 0) {
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }
  if (received == 0) {
    return true;
  }
  // The close is behind bytes that have not been read.
  pollfd waited{ aSocket.native_handle(), POLLRDHUP, 0 };
  return ::poll(&waited, 1, 0) > 0 && (waited.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace jaylane::gateway
