#include "GatewayFixture.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <poll.h>

namespace jaylane::gateway {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Receive buffer of callers that read slowly; keeps large responses from being written.
constexpr int kSmallBufferBytes = 4 * 1024;

/// Reads until the connection ends or nothing arrives for a while.
std::string ReadAll(asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aQuiet = 2000ms)
{
  std::string received;
  std::string buffer(64 * 1024, '\0');
  pollfd waited{ aSocket.native_handle(), POLLIN, 0 };
  while (::poll(&waited, 1, static_cast<int>(aQuiet.count())) > 0) {
    boost::system::error_code error;
    received.append(buffer, 0, aSocket.read_some(asio::buffer(buffer), error));
    if (error) {
      break;
    }
  }
  return received;
}

/// @return the number of bytes behind the first empty line.
std::size_t BodySize(const std::string& aResponse)
{
  const std::size_t head = aResponse.find("\r\n\r\n");
  return head == std::string::npos ? 0 : aResponse.size() - head - 4;
}

class CallerConnectionTest : public GatewayFixture
{
protected:
  CallerConnectionTest()
    : GatewayFixture(24 << 20)
  {
  }

  /// @return a socket with a small receive buffer.
  asio::ip::tcp::socket ConnectSlowReader()
  {
    std::uint16_t port = 0;
    OnRequestThread([&] { port = m_server->Port(); });
    asio::ip::tcp::socket socket(m_callerIo, asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(kSmallBufferBytes));
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    return socket;
  }

  std::size_t ConnectionCount()
  {
    std::size_t count = 0;
    OnRequestThread([&] { count = m_server->ConnectionCount(); });
    return count;
  }

  static constexpr std::size_t kLargeBytes = 8 << 20;
};

// Guards against taking a caller that pauses in reading for a dead one: the kernel's timeout for
// unacknowledged data cut the response after ten seconds. A caller whose host has failed must still
// be found in about that time.
TEST_F(CallerConnectionTest, AResponseOutlastsAPauseInReading)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, std::string(kLargeBytes, 'x')) };
  });
  Start({ upstream.Address() });
  auto paused = ConnectSlowReader();
  auto dead = ConnectSlowReader();
  asio::write(paused, asio::buffer(Request("/a/x", "r1")));
  asio::write(dead, asio::buffer(Request("/a/x", "r2")));
  std::this_thread::sleep_for(500ms);
  ASSERT_EQ(ConnectionCount(), 2U);
  ASSERT_TRUE(DropArrivingPackets(dead.native_handle()));
  const auto failedAt = std::chrono::steady_clock::now();
  while (ConnectionCount() == 2 && std::chrono::steady_clock::now() < failedAt + 20s) {
    std::this_thread::sleep_for(100ms);
  }
  const auto foundAfter = std::chrono::steady_clock::now() - failedAt;
  EXPECT_GE(foundAfter, 9s);
  EXPECT_LE(foundAfter, 15s);
  std::this_thread::sleep_until(failedAt + 13s);
  EXPECT_EQ(ConnectionCount(), 1U);
  const std::string response = ReadAll(paused);
  EXPECT_EQ(Status(response), "HTTP/1.1 200 OK");
  EXPECT_EQ(BodySize(response), kLargeBytes);
}

// Guards against ending an idle connection on which a request has arrived that was not read yet:
// its caller got no response, the more often the longer the event loop was busy.
TEST_F(CallerConnectionTest, ClosingIdleConnectionsLeavesNoArrivedRequestWithoutResponse)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  auto socket = Connect();
  asio::write(socket, asio::buffer(Request("/a/x", "r1")));
  EXPECT_EQ(Status(ReadAll(socket, 300ms)), "HTTP/1.1 200 OK");
  OnRequestThread([&] {
    asio::write(socket, asio::buffer(Request("/a/x", "r2")));
    std::this_thread::sleep_for(50ms);
    m_context->m_phase = LifecyclePhase::Closing;
    m_server->CloseIdle();
  });
  const std::string response = ReadAll(socket);
  EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
  EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos);
}

// Guards against judging a request on a kept connection by the limits that were in force when the
// request before it was read.
TEST_F(CallerConnectionTest, NewLimitsHoldForTheNextRequestOfAKeptConnection)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  auto used = Connect();
  auto idle = Connect();
  for (auto* socket : { &used, &idle }) {
    asio::write(*socket, asio::buffer(Request("/a/x", "r1")));
    EXPECT_EQ(Status(ReadAll(*socket, 300ms)), "HTTP/1.1 200 OK");
  }
  OnRequestThread([&] {
    policy::Configuration configuration = m_steering->Routes()->Config();
    configuration.m_version = 2;
    configuration.m_limits.m_maxBodyBytes = 5000;
    configuration.m_limits.m_idleTimeout = 20s;
    m_steering->ApplyConfiguration(configuration);
  });
  const std::string body(3000, 'b');
  const std::string upload =
    "POST /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nContent-Length: 3000\r\n\r\n" + body;
  asio::write(used, asio::buffer(upload));
  EXPECT_EQ(Status(ReadAll(used, 500ms)), "HTTP/1.1 200 OK") << "larger bodies are allowed";
  std::this_thread::sleep_for(4s);
  asio::write(idle, asio::buffer(upload));
  EXPECT_EQ(Status(ReadAll(idle, 500ms)), "HTTP/1.1 200 OK") << "the idle timeout is longer";
}

// Guards against resetting a connection whose last response is still on its way to a caller that
// reads slowly: any byte that the caller sends after the close resets it.
TEST_F(CallerConnectionTest, TheLastResponseOutlastsAPauseInReading)
{
  constexpr std::size_t kBytes = 256 << 10;
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, std::string(kBytes, 'x')) };
  });
  Start({ upstream.Address() });
  auto socket = ConnectSlowReader();
  asio::write(socket, asio::buffer(Request("/a/x", "r1", "Connection: close\r\n")));
  std::this_thread::sleep_for(3500ms);
  boost::system::error_code error;
  asio::write(socket, asio::buffer(Request("/a/x", "r2")), error);
  std::this_thread::sleep_for(100ms);
  const std::string response = ReadAll(socket);
  EXPECT_EQ(BodySize(response), kBytes);
  EXPECT_EQ(upstream.Seen().size(), 1U);
}

} // namespace
} // namespace jaylane::gateway
