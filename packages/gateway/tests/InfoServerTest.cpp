#include "InfoServer.h"

#include "TestStore.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <pthread.h>
#include <sys/resource.h>
#include <thread>
#include <time.h>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr std::size_t kMaxConnections = 4;
/// More than the buffers of a connection take.
constexpr std::size_t kSharedBytes = 16 << 20;

/// A server of one response, on its own thread.
class InfoServerTest : public testing::Test
{
protected:
  InfoServerTest()
    : m_address(FreeAddress())
    , m_server(
        m_io,
        [this](const InfoRequest& aRequest) { return Handle(aRequest); },
        kMaxConnections)
  {
    EXPECT_TRUE(m_server.Listen(m_address));
    m_thread = std::thread([this] { m_io.run(); });
  }

  ~InfoServerTest() override
  {
    m_io.stop();
    m_thread.join();
  }

  /// Responds with m_shared to all targets but "/".
  InfoResponse Handle(const InfoRequest& aRequest)
  {
    if (aRequest.m_target == "/") {
      return { 200, "text/plain", "ok" };
    }
    InfoResponse response = m_shared;
    response.m_contentEncoding = aRequest.m_acceptEncoding;
    return response;
  }

  /// Sends bytes and reads until the connection ends or a response has come.
  std::string Exchange(const std::string& aBytes)
  {
    boost::asio::io_context io;
    tcp::socket socket(io);
    const std::size_t colon = m_address.rfind(':');
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(std::stoi(m_address.substr(colon + 1))) });
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(aBytes), error);
    std::string response(512, '\0');
    response.resize(error ? 0 : socket.read_some(boost::asio::buffer(response), error));
    return response;
  }

  InfoResponse m_shared{ 200, "text/plain", std::string(kSharedBytes, 's') };
  boost::asio::io_context m_io;
  std::string m_address;
  InfoServer m_server;
  std::thread m_thread;
};

// Guards against keeping a request that does not end.
TEST_F(InfoServerTest, RequestsWithoutEndCloseTheConnection)
{
  const std::string start = "GET / HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(16 << 20, '0');
  for (const std::string& bytes : { start + "X: " + filler,
                                    chunked + "1;a=" + filler,
                                    chunked + filler,
                                    chunked + "0\r\nX: " + filler }) {
    EXPECT_EQ(Exchange(bytes), "") << bytes.substr(0, 60);
  }
  EXPECT_TRUE(Exchange(start + "\r\n").starts_with("HTTP/1.1 200 OK"));
}

// Guards against a thread that does nothing but fail to accept while no descriptor is free, and
// against a listener that takes no connections afterwards.
TEST_F(InfoServerTest, WaitsWhileNoDescriptorIsFree)
{
  const auto cpuTime = [this] {
    clockid_t clock{};
    timespec time{};
    EXPECT_EQ(::pthread_getcpuclockid(m_thread.native_handle(), &clock), 0);
    EXPECT_EQ(::clock_gettime(clock, &time), 0);
    return std::chrono::seconds{ time.tv_sec } + std::chrono::nanoseconds{ time.tv_nsec };
  };
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.open(tcp::v4());
  rlimit usual{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &usual), 0);
  rlimit none = usual;
  none.rlim_cur = 0;
  const std::size_t colon = m_address.rfind(':');
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
  socket.connect({ boost::asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(std::stoi(m_address.substr(colon + 1))) });
  const auto before = cpuTime();
  std::this_thread::sleep_for(400ms);
  const auto used = cpuTime() - before;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &usual), 0);
  EXPECT_LT(used, 40ms);
  boost::asio::write(socket, boost::asio::buffer(std::string{ "GET / HTTP/1.1\r\n\r\n" }));
  std::string response(64, '\0');
  response.resize(socket.read_some(boost::asio::buffer(response)));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200 OK")) << response;
}

// Guards against connections without end that take all descriptors, or the place of others.
TEST_F(InfoServerTest, ClosesTheLongestWaitingConnectionAtTheLimit)
{
  const std::size_t colon = m_address.rfind(':');
  const tcp::endpoint endpoint{ boost::asio::ip::make_address("127.0.0.1"),
                                static_cast<std::uint16_t>(
                                  std::stoi(m_address.substr(colon + 1))) };
  boost::asio::io_context io;
  std::vector<tcp::socket> sockets;
  for (std::size_t i = 0; i <= kMaxConnections; ++i) {
    sockets.emplace_back(io).connect(endpoint);
  }
  boost::system::error_code error;
  char byte = 0;
  sockets.front().read_some(boost::asio::buffer(&byte, 1), error);
  EXPECT_TRUE(error);
  EXPECT_TRUE(Exchange("GET / HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200 OK"));
}

// Guards against a copy of a large body for each connection that it is sent on, and against keeping
// the body afterwards.
TEST_F(InfoServerTest, ConnectionsShareABody)
{
  const std::size_t colon = m_address.rfind(':');
  const tcp::endpoint endpoint{ boost::asio::ip::make_address("127.0.0.1"),
                                static_cast<std::uint16_t>(
                                  std::stoi(m_address.substr(colon + 1))) };
  const std::string request = "GET /shared HTTP/1.1\r\nAccept-Encoding: x\r\n\r\n";
  boost::asio::io_context io;
  std::vector<tcp::socket> sockets;
  for (std::size_t i = 0; i < kMaxConnections; ++i) {
    tcp::socket& socket = sockets.emplace_back(io);
    socket.connect(endpoint);
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string head;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(head), "\r\n\r\n");
    EXPECT_NE(head.find("\r\nContent-Encoding: x\r\n"), std::string::npos);
    head.erase(0, head.find("\r\n\r\n") + 4);
    EXPECT_EQ(head, std::string(head.size(), 's'));
  }
  EXPECT_EQ(m_shared.m_body.use_count(), 1 + static_cast<long>(kMaxConnections));
  sockets.clear();
  const auto end = std::chrono::steady_clock::now() + 5s;
  while (m_shared.m_body.use_count() > 1 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(5ms);
  }
  EXPECT_EQ(m_shared.m_body.use_count(), 1);
}

} // namespace
} // namespace jaylane::gateway
