#include "GatewayFixture.h"

#include <atomic>
#include <boost/asio/write.hpp>
#include <chrono>
#include <fmt/format.h>
#include <future>
#include <malloc.h>

namespace jaylane::gateway {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

class RequestPathTest : public GatewayFixture
{};

TEST_F(RequestPathTest, ReturnsStatusHeadersAndBodyUnchanged)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ "HTTP/1.1 418 Teapot\r\nRequest-Id: " + aRequest.Header("Request-Id") +
                   "\r\nResponse-Signature: abc\r\nKeep-Alive: timeout=5\r\nX-Own: 1\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" };
  });
  Start({ upstream.Address() });
  const std::string response =
    Exchange(Request("/a/x?q=1", "r1", "Connection: close, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"));
  EXPECT_EQ(Status(response), "HTTP/1.1 418 Teapot");
  EXPECT_NE(response.find("Response-Signature: abc\r\n"), std::string::npos);
  EXPECT_NE(response.find("X-Own: 1\r\n"), std::string::npos);
  EXPECT_EQ(response.find("Keep-Alive"), std::string::npos);
  EXPECT_NE(response.find("Content-Length: 5\r\n"), std::string::npos);
  EXPECT_TRUE(response.ends_with("\r\n\r\nabcde"));
  const SeenRequest seen = upstream.Seen().front();
  EXPECT_TRUE(seen.m_head.starts_with("GET /a/x?q=1 HTTP/1.1\r\n"));
  EXPECT_EQ(seen.Header("X-Kept"), "2");
  EXPECT_EQ(seen.Header("X-Hop"), "");
  EXPECT_EQ(seen.Header("Request-Id"), "r1");
  EXPECT_LE(std::stoi(seen.Header("Timeout-Ms")), 1000);
}

TEST_F(RequestPathTest, ForwardsChunkedBodiesWhole)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, aRequest.m_body) }; });
  Start({ upstream.Address() });
  const std::string response =
    Exchange("POST /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
             "4\r\nabcd\r\n3;x=y\r\nefg\r\n0\r\n\r\n");
  EXPECT_TRUE(response.ends_with("abcdefg"));
}

// Guards against writing responses in the order of completion instead of that of the requests.
TEST_F(RequestPathTest, AnswersPipelinedRequestsInOrderAndAtTheSameTime)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    const std::string id = aRequest.Header("Request-Id");
    return Script{ OkResponse(aRequest, "body-" + id), false, false, id == "r1" ? 300ms : 100ms };
  });
  Start({ upstream.Address() });
  const auto start = std::chrono::steady_clock::now();
  const std::string response = Exchange(Request("/a/1", "r1") + Request("/a/2", "r2") +
                                        Request("/a/3", "r3", "Connection: close\r\n"));
  EXPECT_LT(std::chrono::steady_clock::now() - start, 450ms);
  const auto first = response.find("body-r1");
  const auto second = response.find("body-r2");
  const auto third = response.find("body-r3");
  ASSERT_NE(third, std::string::npos) << response;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
}

std::string Post(const std::string& aId, std::size_t aBytes)
{
  return "POST /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'x');
}

// Guards against request bodies that together exceed the memory of the process.
TEST_F(RequestPathTest, RejectsABodyBeyondTheMemoryBudget)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "done"), false, false, 300ms };
  });
  Start({ upstream.Address() });
  auto first = Connect();
  asio::write(first, asio::buffer(Post("r1", 900)));
  std::this_thread::sleep_for(50ms);
  const auto start = std::chrono::steady_clock::now();
  auto second = Connect();
  asio::write(second, asio::buffer(Post("r2", 900)));
  std::string rejected(512, '\0');
  rejected.resize(second.read_some(asio::buffer(rejected)));
  EXPECT_LT(std::chrono::steady_clock::now() - start, 200ms);
  EXPECT_EQ(Status(rejected), "HTTP/1.1 503 Service Unavailable");
  EXPECT_NE(rejected.find("Retry-After: "), std::string::npos);
  std::string response(512, '\0');
  response.resize(first.read_some(asio::buffer(response)));
  EXPECT_EQ(Status(response), "HTTP/1.1 200 OK");
  EXPECT_EQ(Status(Exchange(Post("r3", 900))), "HTTP/1.1 200 OK");
  EXPECT_EQ(upstream.Seen().size(), 2U);
  OnRequestThread([this] { EXPECT_LE(m_bodyBudget.Used(), kBodyMemoryBytes); });
}

// Guards against a response body that exceeds the memory, and against passing on a part of it.
TEST_F(RequestPathTest, FailsAResponseBeyondTheMemoryBudget)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, std::string(4000, 'y')) };
  });
  Start({ upstream.Address() });
  EXPECT_EQ(Status(Exchange(Post("r1", 10))), "HTTP/1.1 502 Bad Gateway");
  OnRequestThread([this] { EXPECT_EQ(m_bodyBudget.Used(), 0U); });
}

/// @return latencies of requests sent one after the other on one connection, sorted.
std::vector<std::chrono::microseconds> Latencies(asio::ip::tcp::socket& aCaller, int aCount)
{
  std::vector<std::chrono::microseconds> latencies;
  std::string response(512, '\0');
  for (int i = 0; i < aCount; ++i) {
    const auto start = std::chrono::steady_clock::now();
    asio::write(aCaller,
                asio::buffer("GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r" + std::to_string(i) +
                             "\r\n\r\n"));
    const std::size_t bytes = aCaller.read_some(asio::buffer(response));
    EXPECT_EQ(Status(response.substr(0, bytes)), "HTTP/1.1 200 OK");
    latencies.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start));
  }
  std::ranges::sort(latencies);
  return latencies;
}

// Guards against bodies that stop short of their end and keep ordinary requests from being served.
TEST_F(RequestPathTest, AnUnfinishedBodyMakesRoomForASmallerOne)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  auto unfinished = Connect();
  std::string post = Post("unfinished", 1000);
  post.pop_back();
  asio::write(unfinished, asio::buffer(post));
  std::this_thread::sleep_for(50ms);
  OnRequestThread([this] { ASSERT_GE(m_bodyBudget.Used(), 999U); });
  EXPECT_EQ(Status(Exchange(Post("r1", 700))), "HTTP/1.1 200 OK");
  std::string response(512, '\0');
  response.resize(unfinished.read_some(asio::buffer(response)));
  EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(upstream.Seen().size(), 1U) << "it did not run";
  OnRequestThread([this] { EXPECT_EQ(m_bodyBudget.Used(), 0U); });
}

// A faulty upstream sends bodies that do not end. Guards against failing the responses of others
// because such a body holds the memory.
TEST_F(RequestPathTest, ABodyWithoutEndMakesRoomForOthers)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    const std::string id = aRequest.Header("Request-Id");
    if (id != "endless") {
      return Script{ OkResponse(aRequest, std::string(900, 'y')) };
    }
    return Script{ "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                   "\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + std::string(1024, 'z') };
  });
  Start({ upstream.Address() });
  auto endless = Connect();
  asio::write(endless, asio::buffer(Request("/b/x", "endless")));
  std::this_thread::sleep_for(100ms);
  OnRequestThread([this] { ASSERT_GE(m_bodyBudget.Used(), 1024U); });
  EXPECT_EQ(Status(Exchange(Request("/b/x", "r1", "Connection: close\r\n"))), "HTTP/1.1 200 OK");
  std::string response(512, '\0');
  response.resize(endless.read_some(asio::buffer(response)));
  EXPECT_EQ(Status(response), "HTTP/1.1 502 Bad Gateway") << "it may have run";
  EXPECT_EQ(Status(Exchange(Post("r2", 100))), "HTTP/1.1 200 OK");
  OnRequestThread([this] { EXPECT_EQ(m_bodyBudget.Used(), 0U); });
}

// Guards against keeping a request's framing, which the parser does not limit, for as long as a
// caller sends it.
TEST_F(RequestPathTest, FramingWithoutEndOfACallerIsRejected)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  const std::string start =
    "POST /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(1 << 20, '0');
  std::string fields;
  for (int i = 0; i < 1024; ++i) {
    fields += "X-" + std::to_string(i) + ": " + std::string(1000, 'z') + "\r\n";
  }
  for (const std::string& framing :
       { "1;a=" + filler, filler, "1\r\nx\r\n0\r\n" + fields, "1\r\nx\r\n0\r\nX: " + filler }) {
    EXPECT_EQ(Status(Exchange(start + framing)), "HTTP/1.1 431 Request Header Fields Too Large")
      << framing.substr(0, 20);
  }
  EXPECT_TRUE(upstream.Seen().empty());
  EXPECT_EQ(Status(Exchange(Request("/a/x", "r2"))), "HTTP/1.1 200 OK");
}

/// Responses of some megabytes.
class LargeResponseTest : public GatewayFixture
{
protected:
  LargeResponseTest()
    : GatewayFixture(24 << 20)
  {
  }
};

// Guards against callers that read slowly and keep the memory of others, without counting against
// its limit.
TEST_F(LargeResponseTest, ResponsesToSlowCallersCountAndMakeRoomForOthers)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    const std::size_t bytes = aRequest.Header("Request-Id") == "slow" ? 20 << 20 : 10 << 20;
    return Script{ OkResponse(aRequest, std::string(bytes, 'y')) };
  });
  Start({ upstream.Address() });
  auto slow = Connect();
  asio::write(slow, asio::buffer(Request("/a/x", "slow")));
  std::this_thread::sleep_for(500ms);
  OnRequestThread([this] { EXPECT_GE(m_bodyBudget.Used(), 20U << 20); });
  const std::string response = Exchange(Request("/a/y", "r2", "Connection: close\r\n"));
  EXPECT_EQ(Status(response), "HTTP/1.1 200 OK");
  EXPECT_GT(response.size(), 10U << 20);
  OnRequestThread([this] { EXPECT_EQ(m_bodyBudget.Used(), 0U) << "the slow caller was closed"; });
}

// Guards against memory, or waiting by others, that grows with the responses which do not end.
TEST_F(RequestPathTest, ManyResponsesWithoutEndLeaveOthersAlone)
{
  const std::string chunk = "400\r\n" + std::string(1024, 'z') + "\r\n";
  std::string body;
  std::string headers;
  for (int i = 0; i < 1024; ++i) {
    body += chunk;
    headers += "X-" + std::to_string(i) + ": " + std::string(1024, 'z') + "\r\n";
  }
  ScriptedUpstream upstream([&](const SeenRequest& aRequest) {
    const std::string id = aRequest.Header("Request-Id");
    const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n";
    if (id.starts_with("head")) {
      return Script{ start + headers };
    }
    return id.starts_with("body") ? Script{ start + "Transfer-Encoding: chunked\r\n\r\n" + body }
                                  : Script{ OkResponse(aRequest, "x") };
  });
  Start({ upstream.Address() });
  policy::Upstream roomy = MakeUpstream("i-0", upstream.Address(), 5);
  roomy.m_slots = 200;
  OnRequestThread([&] {
    m_steering->PutUpstream(roomy);
    m_steering->Tick();
  });
  std::vector<asio::ip::tcp::socket> endless;
  for (int i = 0; i < 50; ++i) {
    endless.push_back(Connect());
    const std::string id = (i % 2 == 0 ? "body" : "head") + std::to_string(i);
    asio::write(endless.back(), asio::buffer(Request("/b/x", id)));
  }
  auto caller = Connect();
  const auto latencies = Latencies(caller, 100);
  fmt::print("p99 beside 50 responses without end {} us\n", latencies[98].count());
  EXPECT_LT(latencies.back(), 1s);
  for (auto& socket : endless) {
    std::string response(512, '\0');
    response.resize(socket.read_some(asio::buffer(response)));
    EXPECT_EQ(Status(response), "HTTP/1.1 502 Bad Gateway");
  }
  OnRequestThread([this] { EXPECT_EQ(m_bodyBudget.Used(), 0U); });
}

// Under lasting overload, rejected callers retry on new connections and leave the old ones idle.
// Guards against refusing connections while idle ones hold the descriptors.
TEST_F(RequestPathTest, IdleConnectionsMakeRoomForNewOnes)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "a") }; });
  m_settings.m_maxDescriptors = 12; // Eight for callers; responses close theirs from six on.
  Start({ upstream.Address() });
  std::vector<asio::ip::tcp::socket> kept;
  int closing = 0;
  for (int i = 0; i < 20; ++i) {
    kept.push_back(Connect());
    if (i % 2 == 0) {
      continue; // Connects and stays idle.
    }
    asio::write(kept.back(), asio::buffer(Request("/a/x", "r" + std::to_string(i))));
    std::string response(512, '\0');
    boost::system::error_code error;
    response.resize(kept.back().read_some(asio::buffer(response), error));
    ASSERT_EQ(Status(response), "HTTP/1.1 200 OK") << "connection " << i;
    closing += response.find("Connection: close") != std::string::npos ? 1 : 0;
  }
  EXPECT_GT(closing, 0);
  OnRequestThread([this] { EXPECT_LE(m_metrics.m_callerConnections, 8U); });
}

// Guards against exceeding the memory of the process because many callers keep connections idle. Of
// 16 MB, 3 MB are used without callers; callers may hold 2,700 of 4,100 descriptors, which leaves
// 4.8 KB for each.
TEST_F(RequestPathTest, IdleConnectionsHoldLittleMemory)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "a") }; });
  m_settings.m_maxDescriptors = 1000;
  Start({ upstream.Address() });
  constexpr std::size_t kCallers = 200;
  constexpr std::size_t kMaxBytesPerConnection = 4800;
  std::vector<asio::ip::tcp::socket> callers;
  callers.reserve(kCallers);
  std::string response(512, '\0');
  std::size_t before = 0;
  for (std::size_t i = 0; i <= kCallers; ++i) {
    if (i == 1) { // The first caller triggers the allocations that all share.
      OnRequestThread([&] { before = ::mallinfo2().uordblks; });
    }
    callers.push_back(Connect());
    asio::write(callers.back(), asio::buffer(Request("/a/x", "r" + std::to_string(i))));
    ASSERT_GT(callers.back().read_some(asio::buffer(response)), 0U);
  }
  std::this_thread::sleep_for(100ms);
  std::size_t after = 0;
  OnRequestThread([&] { after = ::mallinfo2().uordblks; });
  EXPECT_LT((after - before) / kCallers, kMaxBytesPerConnection);
}

// Guards against requests that block on the log while nobody reads standard output.
TEST_F(RequestPathTest, RequestsDoNotWaitForTheLog)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "a") }; });
  Start({ upstream.Address() });
  auto caller = Connect();
  constexpr int kRequests = 400; // Two log lines each, far more than the ring buffer holds.
  const auto read = Latencies(caller, kRequests);
  m_isLogUnread = true;
  const auto unread = Latencies(caller, kRequests);
  // A request that blocked on the log would end at its timeout of one second.
  EXPECT_LT(unread.back(), 1s);
  const std::size_t p99 = kRequests * 99 / 100;
  fmt::print(
    "p99 while the log is read {} us, unread {} us\n", read[p99].count(), unread[p99].count());
}

struct RejectedInput
{
  const char* m_name;
  std::string m_bytes;
  const char* m_status;
};

class RejectedInputTest
  : public GatewayFixture
  , public testing::WithParamInterface<RejectedInput>
{};

// Guards against request smuggling and unbounded input: none of these may reach an upstream.
TEST_P(RejectedInputTest, IsRejectedAndNotForwarded)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  const std::string response = Exchange(GetParam().m_bytes, 1800ms);
  EXPECT_TRUE(Status(response).starts_with(std::string{ "HTTP/1.1 " }.append(GetParam().m_status)))
    << response;
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(upstream.Seen().empty());
}

INSTANTIATE_TEST_SUITE_P(
  Inputs,
  RejectedInputTest,
  testing::Values(
    RejectedInput{
      "LengthAndChunks",
      "POST /b/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked"
      "\r\n\r\n0\r\n\r\nGET /a/y HTTP/1.1\r\nHost: h\r\n\r\n",
      "400" },
    RejectedInput{
      "TwoLengths",
      "POST /b/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
      "400" },
    RejectedInput{ "SignedLength",
                   "POST /b/x HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd",
                   "400" },
    RejectedInput{ "BareLineEnds", "GET /a/x HTTP/1.1\nHost: h\n\n", "400" },
    RejectedInput{ "SpaceBeforeColon", "GET /a/x HTTP/1.1\r\nHost : h\r\n\r\n", "400" },
    RejectedInput{ "TwoHosts", "GET /a/x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400" },
    RejectedInput{ "NoHost", "GET /a/x HTTP/1.1\r\n\r\n", "400" },
    RejectedInput{
      "BadChunk",
      "POST /b/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
      "400" },
    RejectedInput{ "LongHeader",
                   "GET /a/x HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') + "\r\n\r\n",
                   "431" },
    RejectedInput{ "LongBody",
                   "POST /b/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n",
                   "413" },
    RejectedInput{ "SlowHeader", "GET /a/x HTTP/1.1\r\nHost: h\r\n", "408" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// The first bytes of the header arrive after the timer was set. Guards against noticing the header
// timeout one whole timer interval late.
TEST_F(RequestPathTest, HeaderTimeoutIsExactForAHeaderThatStartsLate)
{
  ScriptedUpstream upstream([](const SeenRequest&) { return Script{}; });
  Start({ upstream.Address() });
  auto socket = Connect();
  std::this_thread::sleep_for(100ms);
  asio::write(socket, asio::buffer(std::string{ "GET /a/x HTTP/1.1\r\n" }));
  const auto start = std::chrono::steady_clock::now();
  std::string response(512, '\0');
  response.resize(socket.read_some(asio::buffer(response)));
  EXPECT_EQ(Status(response), "HTTP/1.1 408 Request Timeout");
  // The timeout is one second; the next regular check would be 900 ms later.
  EXPECT_LT(std::chrono::steady_clock::now() - start, 1500ms);
}

// Guards against running a non-idempotent request twice after its connection closed without a
// response.
TEST_F(RequestPathTest, NonIdempotentRequestsAreSentOnce)
{
  const auto crash = [](const SeenRequest&) { return Script{ "", true }; };
  ScriptedUpstream first(crash);
  ScriptedUpstream second(crash);
  Start({ first.Address(), second.Address() });
  const std::string response = Exchange(Request("/b/x", "r1"));
  EXPECT_EQ(Status(response), "HTTP/1.1 502 Bad Gateway");
  EXPECT_EQ(first.Seen().size() + second.Seen().size(), 1U);
}

TEST_F(RequestPathTest, IdempotentRequestsAreRetriedElsewhere)
{
  ScriptedUpstream first([](const SeenRequest&) { return Script{ "", true }; });
  ScriptedUpstream second(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ first.Address(), second.Address() });
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(Status(Exchange(Request(
                "/a/" + std::to_string(i), "r" + std::to_string(i), "Connection: close\r\n"))),
              "HTTP/1.1 200 OK");
  }
}

// An upstream accepts requests and never responds. Guards against waiting for it until the caller's
// deadline.
TEST_F(RequestPathTest, OverdueIdempotentRequestsAreHedged)
{
  const auto never = [](const SeenRequest&) { return Script{ "", false, false, 3000ms }; };
  ScriptedUpstream unresponsive(never);
  ScriptedUpstream other(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ unresponsive.Address(), other.Address() });
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 4; ++i) {
    const std::string id = "r" + std::to_string(i);
    EXPECT_EQ(Status(Exchange(Request("/a/x", id, "Connection: close\r\n"), 1500ms)),
              "HTTP/1.1 200 OK");
  }
  EXPECT_LT(std::chrono::steady_clock::now() - start, 900ms);
  EXPECT_LE(unresponsive.Seen().size(), 1U) << "it counts as unresponsive after the first";
}

// The first attempt is lost and retried before its response is overdue. Guards against a hedged
// attempt beyond the route's limit of two attempts.
TEST_F(RequestPathTest, HedgedAttemptsCountAgainstTheRoutesLimit)
{
  std::atomic<int> attempts{ 0 };
  const auto first = [&attempts](const SeenRequest& aRequest) {
    return attempts++ == 0 ? Script{ "", true, false, 100ms }
                           : Script{ OkResponse(aRequest, "x"), false, false, 800ms };
  };
  ScriptedUpstream one(first);
  ScriptedUpstream two(first);
  ScriptedUpstream three(first);
  Start({ one.Address(), two.Address(), three.Address() });
  EXPECT_EQ(Status(Exchange(Request("/a/x", "r1", "Connection: close\r\n"), 2000ms)),
            "HTTP/1.1 200 OK");
  EXPECT_EQ(attempts, 2);
}

TEST_F(RequestPathTest, RejectedNonIdempotentRequestsMayGoElsewhere)
{
  const auto reject = [](const SeenRequest&) {
    return Script{ "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
  };
  ScriptedUpstream first(reject);
  ScriptedUpstream second(reject);
  Start({ first.Address(), second.Address() });
  const std::string response = Exchange(Request("/b/x", "r1"));
  EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
  EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(first.Seen().size() + second.Seen().size(), 2U);
}

// The request thread is busy while an upstream leaves, and requests wait for it. Guards against
// sending them before the removal, which waits behind them.
TEST_F(RequestPathTest, ARemovalOvertakesWaitingRequests)
{
  const auto respond = [](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x") };
  };
  ScriptedUpstream leaving(respond);
  ScriptedUpstream staying(respond);
  Start({ leaving.Address(), staying.Address() });
  constexpr int kRequests = 8;
  std::vector<asio::ip::tcp::socket> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.push_back(Connect());
  }
  asio::post(m_io, [] { std::this_thread::sleep_for(300ms); });
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    asio::write(callers[static_cast<std::size_t>(i)], asio::buffer(Request("/a/" + id, id)));
  }
  m_steering->Pending().Add({ "i-0" });
  for (auto& caller : callers) {
    std::string response(512, '\0');
    response.resize(caller.read_some(asio::buffer(response)));
    EXPECT_EQ(Status(response), "HTTP/1.1 200 OK");
  }
  EXPECT_TRUE(leaving.Seen().empty());
  OnRequestThread([this] {
    m_steering->RemoveUpstream("i-0", 1);
    m_steering->Tick();
    m_steering->Pending().Remove({ "i-0" });
  });
}

// Guards against sending requests on a view of the upstreams that is known to be too old.
TEST_F(RequestPathTest, RejectsWhileItsViewIsOutdated)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  OnRequestThread([this] { m_context->m_isViewOutdated = [] { return true; }; });
  const std::string response = Exchange(Request("/a/x", "r1", "Connection: close\r\n"));
  EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable");
  EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(upstream.Seen().empty());
  OnRequestThread([this] { m_context->m_isViewOutdated = [] { return false; }; });
  EXPECT_EQ(Status(Exchange(Request("/a/x", "r2", "Connection: close\r\n"))), "HTTP/1.1 200 OK");
}

// Guards against a process that ends because one request caused an unexpected error.
TEST_F(RequestPathTest, AnUnexpectedErrorEndsOnlyItsConnection)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  auto other = Connect();
  OnRequestThread(
    [this] { m_context->m_isViewOutdated = []() -> bool { throw std::out_of_range("view"); }; });
  EXPECT_EQ(Exchange(Request("/a/x", "r1")), "") << "closed";
  OnRequestThread([this] {
    m_context->m_isViewOutdated = [] { return false; };
    EXPECT_EQ(m_metrics.m_callerConnections, 1U);
  });
  asio::write(other, asio::buffer(Request("/a/x", "r2")));
  std::string response(512, '\0');
  response.resize(other.read_some(asio::buffer(response)));
  EXPECT_EQ(Status(response), "HTTP/1.1 200 OK");
}

// Guards against upstreams that keep working for a caller that has disconnected.
TEST_F(RequestPathTest, CallerDisconnectClosesTheUpstreamConnection)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 2000ms };
  });
  Start({ upstream.Address() });
  {
    auto socket = Connect();
    boost::asio::write(socket, boost::asio::buffer(Request("/a/x", "r1")));
    std::this_thread::sleep_for(100ms);
  }
  std::this_thread::sleep_for(300ms);
  EXPECT_EQ(upstream.AbandonedCount(), 1U);
}

// The request thread is busy while callers send requests and leave. Guards against running requests
// whose close arrived with them (GONE).
TEST_F(RequestPathTest, ARequestAheadOfItsCloseIsNotSent)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  // Leaves a connection to the upstream open, on which a request would be sent at once.
  ASSERT_EQ(Status(Exchange(Request("/a/x", "kept", "Connection: close\r\n"))), "HTTP/1.1 200 OK");
  std::vector<asio::ip::tcp::socket> callers;
  for (int i = 0; i < 6; ++i) {
    callers.push_back(Connect());
  }
  asio::post(m_io, [] { std::this_thread::sleep_for(300ms); });
  for (std::size_t i = 0; i < callers.size(); ++i) {
    std::string requests;
    for (std::size_t j = 0; j <= i; ++j) { // The later ones have several requests in the pipeline.
      const std::string id = "r" + std::to_string(i) + "-" + std::to_string(j);
      requests += Request("/a/" + id, id);
    }
    asio::write(callers[i], asio::buffer(requests));
    callers[i].close();
  }
  std::this_thread::sleep_for(600ms);
  EXPECT_EQ(upstream.Seen().size(), 1U);
  OnRequestThread([this] {
    EXPECT_EQ(m_metrics.m_callerConnections, 0U);
    EXPECT_EQ(m_metrics.m_inFlight, 0);
  });
}

// A connection is not read while its pipeline is full. Guards against upstreams that keep working
// because the close is noticed only with the next response (GONE).
TEST_F(RequestPathTest, ACloseBehindAFullPipelineIsNoticed)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 3000ms };
  });
  Start({ upstream.Address() });
  policy::Upstream roomy = MakeUpstream("i-0", upstream.Address(), 5);
  roomy.m_slots = 100;
  OnRequestThread([&] {
    m_steering->PutUpstream(roomy);
    m_steering->Tick();
  });
  constexpr std::size_t kPipelined = 32; // The connection serves as many at once.
  {
    auto caller = Connect();
    std::string requests;
    for (std::size_t i = 0; i < kPipelined + 8; ++i) {
      requests += Request("/a/x", "r" + std::to_string(i));
    }
    asio::write(caller, asio::buffer(requests));
    std::this_thread::sleep_for(150ms);
    ASSERT_EQ(upstream.Seen().size(), kPipelined);
  }
  std::this_thread::sleep_for(500ms);
  EXPECT_EQ(upstream.AbandonedCount(), kPipelined);
  EXPECT_EQ(upstream.Seen().size(), kPipelined);
}

// During a planned stop, requests arrive on open connections until the process is gone. Guards
// against taking those that the end of the grace time would cut off (LOST).
TEST_F(RequestPathTest, AStoppingVmTakesOnlyRequestsThatEndInTime)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 400ms };
  });
  Start({ upstream.Address() });
  const auto exitAt = base::SystemClock::Get().Monotonic() + 900ms;
  OnRequestThread([&] {
    m_context->m_phase = LifecyclePhase::Draining;
    m_context->m_exitAt = exitAt;
  });
  const std::string taken =
    Exchange("GET /b/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTimeout-Ms: 700\r\n\r\n");
  EXPECT_EQ(Status(taken), "HTTP/1.1 200 OK");
  EXPECT_NE(taken.find("Connection: close"), std::string::npos);
  const std::string rejected = Exchange(Request("/b/x", "r2"));
  EXPECT_LT(base::SystemClock::Get().Monotonic(), exitAt) << "rejected at once";
  EXPECT_EQ(Status(rejected), "HTTP/1.1 503 Service Unavailable");
  EXPECT_NE(rejected.find("Connection: close"), std::string::npos);
  EXPECT_EQ(upstream.Seen().size(), 1U);
}

// Guards against resetting connections that the kernel has established but nobody has accepted.
TEST_F(RequestPathTest, ConnectionsThatWaitToBeAcceptedAreAnsweredAtAStop)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  Start({ upstream.Address() });
  constexpr int kCallers = 20;
  std::vector<asio::ip::tcp::socket> callers;
  callers.push_back(Connect());
  const auto address = callers.front().remote_endpoint();
  std::promise<void> isBusy;
  std::promise<void> areWaiting;
  asio::post(m_io, [&] {
    isBusy.set_value();
    areWaiting.get_future().wait();
    m_context->m_phase = LifecyclePhase::Closing;
    m_server->StopAccepting();
  });
  isBusy.get_future().wait();
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(m_callerIo).connect(address);
    asio::write(callers.back(), asio::buffer(Request("/b/x", "r" + std::to_string(i))));
  }
  areWaiting.set_value();
  for (std::size_t i = 1; i < callers.size(); ++i) {
    std::string response(512, '\0');
    boost::system::error_code error;
    response.resize(callers[i].read_some(asio::buffer(response), error));
    EXPECT_EQ(Status(response), "HTTP/1.1 503 Service Unavailable") << i << " " << error.message();
  }
  EXPECT_TRUE(upstream.Seen().empty());
}

TEST_F(RequestPathTest, AnswersAtTheRoutesTimeout)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 3000ms };
  });
  Start({ upstream.Address() });
  const auto start = std::chrono::steady_clock::now();
  const std::string response = Exchange(Request("/b/x", "r1", "Connection: close\r\n"), 2000ms);
  EXPECT_EQ(Status(response), "HTTP/1.1 504 Gateway Timeout");
  EXPECT_GE(std::chrono::steady_clock::now() - start, 1000ms);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 1400ms);
}

TEST_F(RequestPathTest, UnknownRoutesAreNotFound)
{
  Start({});
  EXPECT_EQ(Status(Exchange(Request("/c/x", "r1"))), "HTTP/1.1 404 Not Found");
}

// Guards against requests to an evacuated zone, and against treating its upstreams as warm after
// the evacuation: they may have been restarted during it.
TEST_F(RequestPathTest, EvacuatedZonesGetNoRequestsAndReturnCold)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "a") }; });
  Start({ upstream.Address() });
  EXPECT_EQ(Status(Exchange(Request("/a/x", "r1", "Connection: close\r\n"))), "HTTP/1.1 200 OK");
  OnRequestThread([this] { m_steering->SetEvacuations({ "z" }); });
  EXPECT_EQ(Status(Exchange(Request("/a/x", "r2", "Connection: close\r\n"))),
            "HTTP/1.1 503 Service Unavailable");
  EXPECT_EQ(upstream.Seen().size(), 1U);
  OnRequestThread([this] {
    policy::Configuration configuration = m_steering->Routes()->Config();
    configuration.m_version = 2;
    configuration.m_services["s"].m_warmup = 60s;
    configuration.m_services["s"].m_coldPerSecond = 1;
    m_steering->ApplyConfiguration(configuration);
    m_steering->SetEvacuations({});
  });
  int served = 0;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "c" + std::to_string(i);
    served += Status(Exchange(Request("/a/x", id, "Connection: close\r\n"))) == "HTTP/1.1 200 OK";
  }
  EXPECT_GT(served, 0);
  EXPECT_LT(served, 8) << "requests to a cold upstream are limited";
}

} // namespace
} // namespace jaylane::gateway
