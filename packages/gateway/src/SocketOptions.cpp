#include "SocketOptions.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace jaylane::gateway {

namespace {

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
  SetOption(
    socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aTimeouts.m_userTimeout.count()));
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(aTimeouts.m_keepAliveIdle.count()));
  SetOption(
    socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(aTimeouts.m_keepAliveInterval.count()));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, aTimeouts.m_keepAliveProbes);
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
