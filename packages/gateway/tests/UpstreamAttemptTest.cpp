#include "UpstreamAttempt.h"

#include "ScriptedUpstream.h"
#include "TestWireFormat.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace jaylane::gateway {
namespace {

using policy::AttemptFailure;
using namespace std::chrono_literals;

/// Runs single attempts against one upstream.
class UpstreamAttemptTest : public testing::Test
{
protected:
  AttemptResult Run(ScriptedUpstream& aUpstream, const std::string& aId = "r1")
  {
    std::optional<AttemptResult> result;
    const auto attempt = MakeAttempt(aUpstream.Address(), aId, result);
    attempt->Start();
    RunUntil([&] { return result.has_value(); });
    return result ? std::move(*result) : AttemptResult{};
  }

  /// Runs an attempt whose request body is larger than what the sockets buffer.
  /// @param aStall time for which the event loop does not run once the response has started.
  AttemptResult Upload(ScriptedUpstream& aUpstream, std::chrono::milliseconds aStall = 0ms)
  {
    std::optional<AttemptResult> result;
    const auto attempt = MakeAttempt(aUpstream.Address(), "r1", result, kUploadBytes);
    attempt->Start();
    if (aStall.count() > 0) {
      RunUntil([&] { return !aUpstream.Seen().empty(); });
      std::this_thread::sleep_for(aStall);
    }
    RunUntil([&] { return result.has_value(); });
    return result ? std::move(*result) : AttemptResult{};
  }

  std::shared_ptr<UpstreamAttempt> MakeAttempt(const std::string& aAddress,
                                               const std::string& aId,
                                               std::optional<AttemptResult>& aResult,
                                               std::size_t aBodyBytes = 0)
  {
    auto request = std::make_shared<CallerRequest>();
    request->m_id = aId;
    request->m_hasBody = aBodyBytes > 0;
    request->m_body = std::string(aBodyBytes, 'x');
    request->m_method = "GET";
    request->m_target = "/a";
    request->m_headerLines = "Host: h\r\nRequest-Id: " + aId + "\r\n";
    policy::Upstream upstream;
    upstream.m_id = "i-1";
    upstream.m_address = aAddress;
    return std::make_shared<UpstreamAttempt>(
      UpstreamAttempt::Dependencies{ m_io,
                                     m_pool,
                                     base::SystemClock::Get(),
                                     m_wire,
                                     m_bodyBudget,
                                     [this](const policy::Upstream&) { return m_mayReceive; } },
      upstream,
      request,
      2000ms,
      [&aResult](AttemptResult aEnd) { aResult = std::move(aEnd); });
  }

  void RunUntil(const std::function<bool()>& aDone, std::chrono::milliseconds aLimit = 5s)
  {
    m_io.restart();
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (!aDone() && std::chrono::steady_clock::now() < end) {
      m_io.run_one_for(20ms);
      m_io.restart();
    }
  }

  static constexpr std::size_t kUploadBytes = 16 << 20;

  boost::asio::io_context m_io;
  BodyMemoryBudget m_bodyBudget{ 1 << 20 };
  UpstreamConnectionPool m_pool{ base::SystemClock::Get() };
  WireFormat m_wire = TestWireFormat();
  /// Whether the upstream may receive requests.
  bool m_mayReceive = true;
};

// Guards against sending to an upstream that started to leave while the connection was established.
TEST_F(UpstreamAttemptTest, AnUpstreamThatLeavesDuringTheConnectGetsNoRequest)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "x") }; });
  std::optional<AttemptResult> result;
  const auto attempt = MakeAttempt(upstream.Address(), "r1", result);
  attempt->Start();
  m_mayReceive = false;
  RunUntil([&] { return result.has_value(); });
  ASSERT_TRUE(result);
  EXPECT_EQ(result->m_failure, AttemptFailure::Withdrawn);
  EXPECT_FALSE(attempt->WasSent());
  EXPECT_TRUE(upstream.Seen().empty());
}

// Guards against reporting a sent request as unreachable when the connect timeout expires before
// the established connection is handled: the request would be retried and run twice.
TEST_F(UpstreamAttemptTest, ConnectTimeoutDoesNotEndASentRequest)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "x"), false, false, 100ms };
  });
  std::optional<AttemptResult> result;
  const auto attempt = MakeAttempt(upstream.Address(), "r1", result);
  attempt->Start();
  // The event loop does not run until after the timeout, so that both events are due at once.
  std::this_thread::sleep_for(450ms);
  RunUntil([&] { return result.has_value(); });
  ASSERT_TRUE(result);
  const bool wasSent = !upstream.Seen().empty();
  EXPECT_FALSE(wasSent && result->m_failure == AttemptFailure::Unreachable);
}

// Guards against giving a caller the late response to an earlier request.
TEST_F(UpstreamAttemptTest, SkipsResponsesToOtherRequests)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    const std::string late = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold";
    return Script{ late + OkResponse(aRequest, "new") };
  });
  const AttemptResult result = Run(upstream);
  EXPECT_FALSE(result.m_failure);
  EXPECT_EQ(result.m_response.m_body, "new");
}

// A faulty upstream writes an earlier refusal once more on a kept connection. Guards against taking
// it for the response to the next request, which would then be told as not run, or run twice.
TEST_F(UpstreamAttemptTest, ALateRefusalWithoutIdIsNotTheNextResponse)
{
  const std::string refusal = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedUpstream upstream([&refusal](const SeenRequest& aRequest) {
    return aRequest.Header("Request-Id") == "r1" ? Script{ refusal }
                                                 : Script{ refusal + OkResponse(aRequest, "new") };
  });
  EXPECT_EQ(Run(upstream, "r1").m_failure, AttemptFailure::Rejected) << "the only request so far";
  const AttemptResult second = Run(upstream, "r2");
  EXPECT_EQ(upstream.Seen().back().m_connection, 0U);
  EXPECT_FALSE(second.m_failure);
  EXPECT_EQ(second.m_response.m_body, "new");
  Run(upstream, "r3");
  EXPECT_EQ(upstream.Seen().back().m_connection, 1U) << "more copies may follow";
}

// Guards against reading responses to other requests for as long as an upstream sends them.
TEST_F(UpstreamAttemptTest, ResponsesToOtherRequestsWithoutEndFailTheAttempt)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    std::string responses;
    for (int i = 0; i < 100; ++i) {
      responses += "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n";
    }
    return Script{ responses + OkResponse(aRequest, "new") };
  });
  EXPECT_EQ(Run(upstream).m_failure, AttemptFailure::Lost);
}

// Guards against giving a request without an id the response to another one.
TEST_F(UpstreamAttemptTest, ARequestWithoutIdTakesNoResponseOfAnotherOne)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    const std::string late = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold";
    const std::string own = "HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    return Script{ aRequest.Header("Request-Id").empty() ? late + own : OkResponse(aRequest, "a") };
  });
  Run(upstream, "r1");
  const AttemptResult result = Run(upstream, "");
  EXPECT_EQ(upstream.Seen().back().m_connection, 1U) << "nothing else can come on a new connection";
  EXPECT_EQ(result.m_response.m_status, 400U);
}

// Guards against reusing a connection that carried bytes after the response.
TEST_F(UpstreamAttemptTest, DropsConnectionsWithExtraBytes)
{
  ScriptedUpstream upstream([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "a") + OkResponse(aRequest, "b") };
  });
  EXPECT_EQ(Run(upstream, "r1").m_response.m_body, "a");
  EXPECT_EQ(Run(upstream, "r2").m_response.m_body, "a");
  EXPECT_EQ(upstream.Seen().back().m_connection, 1U);
}

TEST_F(UpstreamAttemptTest, ReusesConnections)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "a") }; });
  Run(upstream, "r1");
  Run(upstream, "r2");
  EXPECT_EQ(upstream.Seen().back().m_connection, 0U);
}

// Guards against passing on a truncated body as complete, and against not recognizing an upstream
// that crashes while it responds.
TEST_F(UpstreamAttemptTest, ReportsTruncatedResponsesAsLost)
{
  ScriptedUpstream upstream([](const SeenRequest&) {
    return Script{ "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nabc", true };
  });
  const AttemptResult result = Run(upstream);
  EXPECT_EQ(result.m_failure, AttemptFailure::Lost);
  EXPECT_TRUE(result.m_connectionEnded);
}

// Guards against a success with an empty or short body when the upstream closes the connection in
// the middle of the head, at any byte, or in the middle of the body.
TEST_F(UpstreamAttemptTest, ReportsResponsesThatEndEarlyAsLost)
{
  const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n";
  std::string bytes;
  bool isReset = false;
  ScriptedUpstream upstream([&](const SeenRequest&) { return Script{ bytes, true, isReset }; });
  for (const std::string& framed :
       { start + "Content-Length: 12\r\nX-Last: 1\r\n\r\nabcdefghijkl",
         start +
           "Transfer-Encoding: chunked\r\nX-Last: 1\r\n\r\nc\r\nabcdefghijkl\r\n0\r\n\r\n" }) {
    for (std::size_t size = 0; size < framed.size(); ++size) {
      bytes = framed.substr(0, size);
      isReset = size % 2 == 1;
      ASSERT_EQ(Run(upstream).m_failure, AttemptFailure::Lost) << bytes;
      isReset = !isReset;
      ASSERT_EQ(Run(upstream).m_failure, AttemptFailure::Lost) << bytes;
    }
    bytes = framed;
    isReset = false;
    EXPECT_EQ(Run(upstream).m_response.m_body, "abcdefghijkl");
  }
}

// Guards against passing on a status that HTTP does not define, and against taking one below 200
// for an interim response, after which the request waits until its deadline.
TEST_F(UpstreamAttemptTest, ReportsStatusesOutOfRangeAsLost)
{
  std::string status;
  ScriptedUpstream upstream([&](const SeenRequest& aRequest) {
    std::string response = OkResponse(aRequest, "abc");
    return Script{ response.replace(response.find("200"), 3, status) };
  });
  for (const char* text : { "000", "001", "099", "600", "999" }) {
    status = text;
    EXPECT_EQ(Run(upstream).m_failure, AttemptFailure::Lost) << text;
  }
  status = "599";
  EXPECT_EQ(Run(upstream).m_response.m_status, 599U);
}

TEST_F(UpstreamAttemptTest, AcceptsBodiesThatEndWithTheConnection)
{
  ScriptedUpstream upstream([](const SeenRequest&) {
    return Script{ "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nabc", true };
  });
  const AttemptResult result = Run(upstream);
  EXPECT_FALSE(result.m_failure);
  EXPECT_EQ(result.m_response.m_body, "abc");
}

// Guards against accepting a reset as the end of a body that is delimited by the connection's end.
TEST_F(UpstreamAttemptTest, ReportsResetBodiesAsLost)
{
  ScriptedUpstream upstream([](const SeenRequest&) {
    return Script{ "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nabc", false, true };
  });
  EXPECT_EQ(Run(upstream).m_failure, AttemptFailure::Lost);
}

const std::string kUnframedStart = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nabc";

// Guards against accepting a reset as the end of a response without a length when the reset is
// reported to the pending write of the request, so that the read sees an orderly end.
TEST_F(UpstreamAttemptTest, AResetWhileTheRequestIsWrittenDoesNotCompleteAResponse)
{
  for (const auto pause : { 0ms, 1ms, 20ms, 100ms }) {
    for (const auto stall : { 0ms, 150ms }) {
      ScriptedUpstream upstream(
        [pause](const SeenRequest&) {
          return Script{ kUnframedStart, false, true, 0ms, pause };
        },
        BodyReading::None);
      const AttemptResult result = Upload(upstream, stall);
      EXPECT_EQ(result.m_failure, AttemptFailure::Lost)
        << pause.count() << " ms, stalled for " << stall.count() << " ms";
      EXPECT_TRUE(result.m_connectionEnded);
    }
  }
}

// Guards against a truncated upload that the caller is told was accepted, because the upstream
// responds before it has read the body.
TEST_F(UpstreamAttemptTest, AnUploadThatIsAnsweredEarlyIsWrittenToItsEnd)
{
  namespace asio = boost::asio;
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
  std::atomic<std::size_t> received{ 0 };
  std::thread server([&] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::vector<char> buffer(64 * 1024);
    boost::system::error_code error;
    received += socket.read_some(asio::buffer(buffer), error);
    asio::write(
      socket,
      asio::buffer(std::string{ "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n" }),
      error);
    std::this_thread::sleep_for(300ms);
    while (!error) {
      received += socket.read_some(asio::buffer(buffer), error);
    }
  });
  std::optional<AttemptResult> result;
  MakeAttempt(
    fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port()), "r1", result, kUploadBytes)
    ->Start();
  RunUntil([&] { return received > kUploadBytes; }, 2s);
  m_io.restart();
  m_io.run_for(100ms);
  server.join();
  ASSERT_TRUE(result);
  EXPECT_EQ(result->m_response.m_status, 200U);
  EXPECT_GT(received, kUploadBytes);
}

// Guards against taking an upstream that pauses in reading a body for a dead one: the kernel's
// timeout for unacknowledged data ended the upload after two seconds.
TEST_F(UpstreamAttemptTest, AnUploadOutlastsAPauseInReading)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) {
      return Script{ OkResponse(aRequest, "abc"), false, false, 3500ms };
    },
    BodyReading::AfterPause);
  std::optional<AttemptResult> result;
  const auto attempt = MakeAttempt(upstream.Address(), "r1", result, 1 << 20);
  attempt->Start();
  RunUntil([&] { return result.has_value(); }, 20s);
  ASSERT_TRUE(result);
  EXPECT_FALSE(result->m_failure) << result->m_cause;
  EXPECT_EQ(result->m_response.m_body, "abc");
}

// Guards against missing a failed host once pauses in reading are tolerated: while the request is
// written, while the upstream pauses in reading it, and while it works on a request that it has
// read. Idempotent requests are repeated only after that.
TEST_F(UpstreamAttemptTest, AFailedHostIsFoundWithinFourSeconds)
{
  struct Case
  {
    BodyReading m_reading;
    std::size_t m_bodyBytes;
    std::chrono::milliseconds m_pause;
  };
  const Case cases[] = { { BodyReading::None, kUploadBytes, 0ms },
                         { BodyReading::None, kUploadBytes, 2500ms },
                         { BodyReading::None, kUploadBytes, 6000ms },
                         { BodyReading::Whole, 0, 0ms },
                         { BodyReading::Whole, 100, 1000ms } };
  constexpr std::size_t kCases = std::size(cases);
  std::optional<AttemptResult> results[kCases];
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
  std::vector<std::shared_ptr<UpstreamAttempt>> attempts;
  for (std::size_t i = 0; i < kCases; ++i) {
    upstreams.push_back(std::make_unique<ScriptedUpstream>(
      [pause = cases[i].m_pause](const SeenRequest&) {
        Script script;
        script.m_pause = pause;
        script.m_isHostFailing = true;
        return script;
      },
      cases[i].m_reading));
    attempts.push_back(
      MakeAttempt(upstreams.back()->Address(), "r1", results[i], cases[i].m_bodyBytes));
    attempts.back()->Start();
  }
  RunUntil(
    [&] { return std::ranges::all_of(results, [](const auto& r) { return r.has_value(); }); }, 12s);
  for (std::size_t i = 0; i < kCases; ++i) {
    ASSERT_TRUE(results[i]) << "case " << i;
    EXPECT_EQ(results[i]->m_failure, AttemptFailure::Lost);
    EXPECT_TRUE(results[i]->m_connectionEnded);
    const auto foundAfter = results[i]->m_latency - cases[i].m_pause;
    // The last acknowledgement may have come one interval between probes before the failure.
    EXPECT_GE(foundAfter, 1000ms) << "case " << i << ": " << results[i]->m_cause;
    EXPECT_LE(foundAfter, 4500ms) << "case " << i << ": " << results[i]->m_cause;
  }
}

// Guards against the same when the connection ends long after the request has stopped to make
// progress: by a reset, or because the upstream's host has failed.
TEST_F(UpstreamAttemptTest, AWriteTimeoutDoesNotCompleteAResponse)
{
  for (const bool isHostFailing : { false, true }) {
    ScriptedUpstream upstream(
      [isHostFailing](const SeenRequest&) {
        return Script{ kUnframedStart, false, !isHostFailing, 0ms, 4s, false, isHostFailing };
      },
      BodyReading::None);
    EXPECT_EQ(Upload(upstream).m_failure, AttemptFailure::Lost) << isHostFailing;
  }
}

// Guards against losing a response without a length that ends with an orderly close before the
// request is read, also if the connection is reset after that.
TEST_F(UpstreamAttemptTest, AcceptsAnOrderlyCloseBeforeTheRequestIsRead)
{
  for (const bool isReset : { false, true }) {
    for (const auto stall : { 0ms, 150ms }) {
      ScriptedUpstream upstream(
        [isReset](const SeenRequest&) {
          return Script{ kUnframedStart, !isReset, isReset, 0ms, 100ms, true };
        },
        BodyReading::None);
      const AttemptResult result = Upload(upstream, stall);
      EXPECT_FALSE(result.m_failure) << isReset << ", stalled for " << stall.count() << " ms";
      EXPECT_EQ(result.m_response.m_body, "abc");
    }
  }
}

// Guards against losing a response with a length because the rest of the request was not read.
TEST_F(UpstreamAttemptTest, AcceptsAFramedResponseBeforeTheRequestIsRead)
{
  for (const auto stall : { 0ms, 150ms }) {
    ScriptedUpstream upstream(
      [](const SeenRequest& aRequest) {
        return Script{ OkResponse(aRequest, "abc"), false, true, 0ms, 50ms };
      },
      BodyReading::None);
    EXPECT_EQ(Upload(upstream, stall).m_response.m_body, "abc") << stall.count() << " ms";
  }
}

// Guards against keeping a response's framing, which the parser does not limit, for as long as a
// faulty upstream sends it.
TEST_F(UpstreamAttemptTest, FramingWithoutEndFailsTheAttempt)
{
  const std::string start =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(8 << 20, '0');
  std::string fields;
  for (int i = 0; i < 8192; ++i) {
    fields += "X-" + std::to_string(i) + ": " + std::string(1024, 'z') + "\r\n";
  }
  for (const std::string& framing :
       { "1;a=" + filler, filler, "1\r\nx\r\n0\r\n" + fields, "1\r\nx\r\n0\r\nX: " + filler }) {
    ScriptedUpstream upstream([&](const SeenRequest&) { return Script{ start + framing }; });
    const auto started = std::chrono::steady_clock::now();
    EXPECT_EQ(Run(upstream).m_failure, AttemptFailure::Lost) << framing.substr(0, 20);
    EXPECT_LT(std::chrono::steady_clock::now() - started, 2s) << framing.substr(0, 20);
  }
}

// Guards against heads that together exceed the memory.
TEST_F(UpstreamAttemptTest, LongHeadsCountAgainstTheMemory)
{
  ScriptedUpstream upstream([](const SeenRequest&) {
    return Script{ "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: " + std::string(40 * 1024, 'z') +
                   "\r\nContent-Length: 1\r\n\r\nx" };
  });
  EXPECT_FALSE(Run(upstream).m_failure);
  const auto used = m_bodyBudget.MakeReservation();
  ASSERT_TRUE(used->GrowTo((1 << 20) - 8 * 1024));
  EXPECT_EQ(Run(upstream).m_failure, AttemptFailure::Lost) << "no memory is left for it";
}

TEST_F(UpstreamAttemptTest, RecognizesRejections)
{
  ScriptedUpstream rejecting([](const SeenRequest&) {
    return Script{ "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
  });
  EXPECT_EQ(Run(rejecting).m_failure, AttemptFailure::Rejected);
}

// A connection that closes without a response may mean a crash. Guards against not recognizing it,
// which would leave requests that crash upstreams without quarantine.
TEST_F(UpstreamAttemptTest, RecognizesConnectionsClosedWithoutResponse)
{
  ScriptedUpstream crashing([](const SeenRequest&) { return Script{ "", true }; });
  const AttemptResult crash = Run(crashing);
  EXPECT_EQ(crash.m_failure, AttemptFailure::Lost);
  EXPECT_TRUE(crash.m_connectionEnded);
  ScriptedUpstream garbling([](const SeenRequest&) { return Script{ "no response\r\n\r\n" }; });
  const AttemptResult garbled = Run(garbling);
  EXPECT_EQ(garbled.m_failure, AttemptFailure::Lost);
  EXPECT_FALSE(garbled.m_connectionEnded) << "the connection is open";
}

TEST_F(UpstreamAttemptTest, SendsTheUpstreamIdAndTheTimeLimit)
{
  ScriptedUpstream upstream(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "a") }; });
  Run(upstream);
  const SeenRequest seen = upstream.Seen().front();
  EXPECT_EQ(seen.Header("Target-Instance"), "i-1");
  EXPECT_GT(std::stoi(seen.Header("Timeout-Ms")), 1500);
  EXPECT_LE(std::stoi(seen.Header("Timeout-Ms")), 2000);
}

} // namespace
} // namespace jaylane::gateway
