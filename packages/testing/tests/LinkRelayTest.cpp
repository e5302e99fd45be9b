#include "jaylane/testing/LinkRelay.h"

#include "jaylane/testing/HttpCall.h"
#include "jaylane/testing/HttpServer.h"
#include "jaylane/testing/WaitFor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace jaylane::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTimeout{ 20'000 };

class LinkRelayTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    auto server = HttpServer::Make({},
                                   { nullptr,
                                     [this](HttpRequest& aRequest) {
                                       ++m_requests;
                                       HttpResponse response;
                                       response.m_body = aRequest.m_body;
                                       return response;
                                     },
                                     nullptr });
    ASSERT_TRUE(server);
    m_server = std::move(*server);
    auto relay = LinkRelay::Make("127.0.0.1");
    ASSERT_TRUE(relay);
    m_relay = std::move(*relay);
    const auto address = m_relay->AddRoute(m_server->Address());
    ASSERT_TRUE(address);
    m_url = "http://" + *address + "/";
  }

  std::atomic<unsigned> m_requests{ 0 };
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<LinkRelay> m_relay;
  std::string m_url;
};

// Guards against data that is lost, reordered or changed in transit.
TEST_F(LinkRelayTest, ForwardsUnchanged)
{
  std::string body;
  for (unsigned i = 0; body.size() < 1'500'000; ++i) {
    body += std::to_string(i);
  }
  const auto response = HttpPost(m_url, body, kTimeout);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->m_body, body);
  EXPECT_GT(m_relay->Stats().m_bytes, 2 * body.size());
  EXPECT_FALSE(m_relay->AddRoute("somewhere"));
}

// Guards against one-way cuts that stop both directions, or none.
TEST_F(LinkRelayTest, OneWayCutsStopOneDirection)
{
  ASSERT_TRUE(HttpGet(m_url, kTimeout));
  LinkConditions conditions;
  conditions.m_cutTowardsTarget = true;
  m_relay->SetConditions(conditions);
  EXPECT_FALSE(HttpGet(m_url, milliseconds{ 200 }));
  EXPECT_EQ(m_requests, 1u);
  m_relay->SetConditions({});
  // The delayed request arrives although its client has timed out.
  EXPECT_TRUE(WaitFor([&] { return m_requests == 2u; }, kTimeout));
  std::optional<HttpClientResponse> response;
  // The delay leaves time to cut the link after the handshake, which needs both directions.
  conditions = {};
  conditions.m_delay = milliseconds{ 300 };
  m_relay->SetConditions(conditions);
  std::thread client([&] { response = HttpGet(m_url, kTimeout); });
  EXPECT_TRUE(WaitFor([&] { return m_relay->Stats().m_accepted == 3; }, kTimeout));
  std::this_thread::sleep_for(milliseconds{ 100 });
  conditions.m_cutTowardsClient = true;
  m_relay->SetConditions(conditions);
  EXPECT_TRUE(WaitFor([&] { return m_requests == 3u; }, kTimeout));
  std::this_thread::sleep_for(milliseconds{ 600 });
  EXPECT_FALSE(response);
  m_relay->SetConditions({});
  client.join();
  EXPECT_TRUE(response);
}

// Guards against a cut that lets data through or closes connections.
TEST_F(LinkRelayTest, CutDelaysDataUntilItEnds)
{
  m_relay->SetConditions({ true, milliseconds{ 0 }, 0 });
  EXPECT_FALSE(HttpGet(m_url, milliseconds{ 100 }));
  std::optional<HttpClientResponse> response;
  std::thread client([&] { response = HttpGet(m_url, kTimeout); });
  EXPECT_TRUE(WaitFor([&] { return m_relay->Stats().m_accepted == 2; }, kTimeout));
  EXPECT_EQ(m_requests, 0u);
  m_relay->SetConditions({});
  client.join();
  EXPECT_TRUE(response);
}

// Guards against a delay or rate limit without effect. Checks only lower bounds, since a busy
// machine may add any time.
TEST_F(LinkRelayTest, DelayAndRate)
{
  m_relay->SetConditions({ false, milliseconds{ 50 }, 0 });
  const auto started = steady_clock::now();
  EXPECT_TRUE(HttpGet(m_url, kTimeout));
  EXPECT_GE(steady_clock::now() - started, milliseconds{ 100 });
  m_relay->SetConditions({ false, milliseconds{ 0 }, 1'000'000 });
  const auto limited = steady_clock::now();
  EXPECT_TRUE(HttpPost(m_url, std::string(100'000, 'x'), kTimeout));
  EXPECT_GE(steady_clock::now() - limited, milliseconds{ 190 });
}

// Guards against connections that survive a reset, and against clients that wait forever when the
// target refuses connections.
TEST_F(LinkRelayTest, ResetEndsConnections)
{
  m_relay->SetConditions({ true, milliseconds{ 0 }, 0 });
  std::optional<HttpClientResponse> response;
  std::thread client([&] { response = HttpGet(m_url, kTimeout); });
  EXPECT_TRUE(WaitFor([&] { return m_relay->Stats().m_accepted == 1; }, kTimeout));
  m_relay->ResetConnections();
  client.join();
  EXPECT_FALSE(response);
  m_relay->SetConditions({});
  m_server.reset();
  EXPECT_FALSE(HttpGet(m_url, kTimeout));
}

/// A connection on which one request after the other is sent.
class KeptConnection
{
public:
  explicit KeptConnection(const std::string& aUrl)
  {
    const std::string address = aUrl.substr(7, aUrl.size() - 8);
    const std::size_t colon = address.rfind(':');
    m_socket.connect({ boost::asio::ip::make_address(address.substr(0, colon)),
                       static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) });
    const timeval timeout{ 0, 300'000 };
    ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }

  /// @return whether the request was sent without an error.
  bool Send()
  {
    boost::system::error_code error;
    boost::asio::write(
      m_socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), error);
    return !error;
  }

  /// @return bytes received within a short time; 0 at the end, and -1 if there are none.
  ssize_t Receive()
  {
    char data[1024];
    return ::recv(m_socket.native_handle(), data, sizeof data, 0);
  }

private:
  boost::asio::io_context m_io;
  boost::asio::ip::tcp::socket m_socket{ m_io };
};

// Guards against a silence that ends, closes connections, or affects new ones.
TEST_F(LinkRelayTest, SilenceIsForGoodAndForOpenConnectionsOnly)
{
  KeptConnection kept(m_url);
  ASSERT_TRUE(kept.Send());
  EXPECT_GT(kept.Receive(), 0);
  m_relay->SilenceConnections();
  EXPECT_TRUE(WaitFor([&] { return kept.Send() && kept.Receive() < 0; }, kTimeout));
  EXPECT_TRUE(HttpGet(m_url, kTimeout));
  const unsigned requests = m_requests;
  EXPECT_TRUE(kept.Send());
  EXPECT_EQ(kept.Receive(), -1);
  EXPECT_EQ(m_requests, requests);
}

// Guards against responses that arrive late instead of never, and against losses that go on.
TEST_F(LinkRelayTest, AConnectionWhoseResponseIsLostStaysSilent)
{
  KeptConnection kept(m_url);
  LinkConditions conditions;
  conditions.m_losesResponses = true;
  m_relay->SetConditions(conditions);
  EXPECT_FALSE(HttpGet(m_url, milliseconds{ 200 }));
  EXPECT_EQ(m_requests, 1u) << "the request arrives";
  ASSERT_TRUE(kept.Send());
  EXPECT_EQ(kept.Receive(), -1);
  m_relay->SetConditions({});
  EXPECT_TRUE(kept.Send());
  EXPECT_EQ(kept.Receive(), -1);
  EXPECT_TRUE(HttpGet(m_url, kTimeout));
}

} // namespace
} // namespace jaylane::testing
