#include "SocketOptions.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jaylane::gateway {
namespace {

// Guards against registrations whose address fails only when a request has chosen it.
TEST(SocketOptionsTest, HostAddressesNameAHostAndPort)
{
  EXPECT_TRUE(IsHostAddress("10.0.0.9:80"));
  EXPECT_TRUE(IsHostAddress("10.0.0.9:65535"));
  for (const char* text : { "",
                            "10.0.0.9",
                            "10.0.0.9:",
                            "10.0.0.9:0",
                            "10.0.0.9:65536",
                            "10.0.0.9:99999999999999999999",
                            "10.0.0.9:-1",
                            "10.0.0.9:80x",
                            "10.0.0.256:80",
                            "0.0.0.0:80",
                            "224.0.0.1:80",
                            "host:80" }) {
    EXPECT_FALSE(IsHostAddress(text)) << text;
  }
}

int UserTimeout(boost::asio::ip::tcp::socket& aSocket)
{
  int timeout = -1;
  socklen_t size = sizeof timeout;
  EXPECT_EQ(::getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &size),
            0);
  return timeout;
}

// Guards against a system's timeout that ends connections to peers that pause in reading, and
// against connections without any timeout where the program does not observe the peer.
TEST(SocketOptionsTest, TheSystemsTimeoutAppliesOnlyToPeersThatAreNotObserved)
{
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  boost::asio::ip::tcp::socket socket(io);
  socket.connect(acceptor.local_endpoint());
  SetTcpOptions(socket, {});
  EXPECT_EQ(UserTimeout(socket), 2000);
  TcpTimeouts timeouts;
  timeouts.m_isPeerObserved = true;
  SetTcpOptions(socket, timeouts);
  EXPECT_EQ(UserTimeout(socket), 0);
  const auto observation = ObservePeer(socket);
  ASSERT_TRUE(observation);
  EXPECT_EQ(observation->m_unackedSegments, 0U);
  EXPECT_EQ(observation->m_unanswered, 0U);
}

} // namespace
} // namespace jaylane::gateway
