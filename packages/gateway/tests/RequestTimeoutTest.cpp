#include "GatewayFixture.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <fmt/format.h>

namespace jaylane::gateway {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Timeout of the fixture's routes, and time after it within which the caller must have an answer.
constexpr milliseconds kRouteTimeout{ 1000 };
constexpr milliseconds kAnswerMargin{ 500 };
constexpr std::size_t kBodyBytes = 20;

/// Guards against requests without an answer after the timeout of their route, which counts from
/// the first byte of the request.
class RequestTimeoutTest : public GatewayFixture
{
protected:
  /// Starts the gateway with two upstreams, and expects a response in time.
  /// @return the response.
  std::string ExpectInTime(const std::string& aRequest, const ScriptedUpstream::Handler& aHandler)
  {
    ScriptedUpstream first(aHandler);
    ScriptedUpstream second(aHandler);
    Start({ first.Address(), second.Address() });
    const auto start = steady_clock::now();
    const std::string response = Exchange(aRequest, kRouteTimeout + 2 * kAnswerMargin);
    EXPECT_LT(steady_clock::now() - start, kRouteTimeout + kAnswerMargin);
    return response;
  }

  /// Sends a request with a body in pieces.
  /// @param aPause time between two of the kBodyBytes pieces.
  /// @param aBytes number of pieces that are sent.
  /// @return the response, and the time from the first byte of the request to the end.
  std::pair<std::string, milliseconds> SendSlowly(milliseconds aPause, std::size_t aBytes)
  {
    auto socket = Connect();
    const auto start = steady_clock::now();
    asio::write(socket,
                asio::buffer(fmt::format("POST /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                         "Connection: close\r\nContent-Length: {}\r\n\r\n",
                                         kBodyBytes)));
    std::thread sender([&] {
      boost::system::error_code ignored;
      for (std::size_t i = 0; i < aBytes; ++i) {
        std::this_thread::sleep_for(aPause);
        asio::write(socket, asio::buffer("x", 1), ignored);
      }
    });
    std::string response(512, '\0');
    boost::system::error_code error;
    response.resize(socket.read_some(asio::buffer(response), error));
    const auto taken = std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
    sender.join();
    return { response, taken };
  }
};

constexpr const char* kGatewayTimeout = "HTTP/1.1 504 Gateway Timeout";

TEST_F(RequestTimeoutTest, UpstreamsThatPauseInTheBody)
{
  const std::string response =
    ExpectInTime(Request("/a/x", "r1", "Connection: close\r\n"), [](const SeenRequest& aRequest) {
      const std::string whole = OkResponse(aRequest, "0123456789");
      return Script{ whole.substr(0, whole.size() - 5), false, false, 0ms, 1800ms };
    });
  EXPECT_EQ(Status(response), kGatewayTimeout);
}

TEST_F(RequestTimeoutTest, UpstreamsThatSendHeadersOnly)
{
  const std::string response =
    ExpectInTime(Request("/b/x", "r1", "Connection: close\r\n"), [](const SeenRequest& aRequest) {
      const std::string whole = OkResponse(aRequest, "0123456789");
      return Script{ whole.substr(0, whole.find("\r\n\r\n") + 4), false, false, 0ms, 1800ms };
    });
  EXPECT_EQ(Status(response), kGatewayTimeout);
}

TEST_F(RequestTimeoutTest, ASecondAttemptThatHangs)
{
  std::atomic<int> attempts{ 0 };
  const std::string response = ExpectInTime(
    Request("/a/x", "r1", "Connection: close\r\n"), [&attempts](const SeenRequest& aRequest) {
      return attempts++ == 0
               ? Script{ ResponseWith(aRequest, "Not-Executed: 1\r\n"), true, false, 700ms }
               : Script{ OkResponse(aRequest, "x"), false, false, 3000ms };
    });
  EXPECT_EQ(Status(response), kGatewayTimeout);
}

TEST_F(RequestTimeoutTest, PipelinedRequestsThatAllHang)
{
  std::string requests;
  for (int i = 0; i < 6; ++i) {
    requests += Request("/b/x", "r" + std::to_string(i), i == 5 ? "Connection: close\r\n" : "");
  }
  const std::string response = ExpectInTime(requests, [](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 3000ms };
  });
  EXPECT_NE(response.find("Request-Id: r5"), std::string::npos) << response;
}

// A configuration that lengthens the timeout must not keep a request that is already waiting.
TEST_F(RequestTimeoutTest, ATimeoutThatChangesMeanwhile)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 3000ms };
  });
  Start({ upstream.Address() });
  std::thread change([this] {
    std::this_thread::sleep_for(300ms);
    OnRequestThread([this] {
      policy::Configuration configuration = m_steering->Routes()->Config();
      ++configuration.m_version;
      for (policy::Route& route : configuration.m_routes) {
        route.m_timeout = 10 * kRouteTimeout;
      }
      EXPECT_TRUE(m_steering->ApplyConfiguration(configuration));
    });
  });
  const auto start = steady_clock::now();
  EXPECT_EQ(Status(Exchange(Request("/b/x", "r1", "Connection: close\r\n"), 2000ms)),
            kGatewayTimeout);
  EXPECT_LT(steady_clock::now() - start, kRouteTimeout + kAnswerMargin);
  change.join();
}

struct CallerLimit
{
  const char* m_name;
  const char* m_header;
  milliseconds m_effective;
};

class CallerLimitTest
  : public RequestTimeoutTest
  , public testing::WithParamInterface<CallerLimit>
{};

TEST_P(CallerLimitTest, TheShorterLimitHolds)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 3000ms };
  });
  Start({ upstream.Address() });
  const auto start = steady_clock::now();
  const std::string response = Exchange(
    fmt::format("GET /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n{}Connection: close\r\n\r\n",
                GetParam().m_header),
    2000ms);
  const auto taken = steady_clock::now() - start;
  EXPECT_EQ(Status(response), kGatewayTimeout);
  EXPECT_GE(taken, GetParam().m_effective);
  EXPECT_LT(taken, GetParam().m_effective + kAnswerMargin);
}

INSTANTIATE_TEST_SUITE_P(
  Limits,
  CallerLimitTest,
  testing::Values(CallerLimit{ "Shorter", "Timeout-Ms: 300\r\n", 300ms },
                  CallerLimit{ "Longer", "Timeout-Ms: 60000\r\n", kRouteTimeout },
                  CallerLimit{ "Absent", "", kRouteTimeout },
                  CallerLimit{ "Unreadable", "Timeout-Ms: soon\r\n", kRouteTimeout }),
  [](const auto& aInfo) { return std::string{ aInfo.param.m_name }; });

TEST_F(RequestTimeoutTest, ABodyThatArrivesSlowlyIsPartOfTheTime)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 3000ms };
  });
  Start({ upstream.Address() });
  const auto [response, taken] = SendSlowly(kRouteTimeout * 8 / 10 / kBodyBytes, kBodyBytes);
  EXPECT_EQ(Status(response), kGatewayTimeout);
  EXPECT_LT(taken, kRouteTimeout + kAnswerMargin);
  ASSERT_EQ(upstream.Seen().size(), 1U);
  EXPECT_LE(std::stoi(upstream.Seen()[0].Header("Timeout-Ms")), 300);
}

TEST_F(RequestTimeoutTest, ABodyThatIsStillArriving)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  const auto [response, taken] = SendSlowly(kRouteTimeout / 10, kBodyBytes);
  EXPECT_EQ(Status(response), "HTTP/1.1 408 Request Timeout");
  EXPECT_LT(taken, kRouteTimeout + kAnswerMargin);
  EXPECT_GE(taken, kRouteTimeout);
  EXPECT_TRUE(upstream.Seen().empty());
}

} // namespace
} // namespace jaylane::gateway
