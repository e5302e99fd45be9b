#include "HttpFetch.h"

#include "Compression.h"
#include "ScriptedUpstream.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace jaylane::gateway {
namespace {

using namespace std::chrono_literals;

/// Makes requests to one server, one after the other.
class HttpFetchTest : public testing::Test
{
protected:
  FetchResponse Fetch(HttpFetch& aFetch,
                      std::chrono::milliseconds aTimeout = 1000ms,
                      std::optional<TransferLimits> aTransfer = std::nullopt)
  {
    FetchRequest request{ "GET", "/x", {}, aTimeout };
    request.m_transfer = aTransfer;
    return Fetch(aFetch, std::move(request));
  }

  FetchResponse Fetch(HttpFetch& aFetch, FetchRequest aRequest)
  {
    std::optional<FetchResponse> response;
    aFetch.Start(std::move(aRequest), [&](FetchResponse aEnd) { response = std::move(aEnd); });
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!response && std::chrono::steady_clock::now() < end) {
      m_io.run_one_for(20ms);
      m_io.restart();
    }
    return response.value_or(FetchResponse{});
  }

  boost::asio::io_context m_io;
};

// Guards against sending a request on a connection that was reset while it was idle.
TEST_F(HttpFetchTest, ReconnectsAfterAnIdleReset)
{
  ScriptedUpstream server([](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "a"), false, true };
  });
  const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Fetch(*fetch).m_status, 200U);
    std::this_thread::sleep_for(50ms);
  }
}

TEST_F(HttpFetchTest, KeepsItsConnection)
{
  ScriptedUpstream server(
    [](const SeenRequest& aRequest) { return Script{ OkResponse(aRequest, "a") }; });
  const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
  EXPECT_EQ(Fetch(*fetch).m_body, "a");
  EXPECT_EQ(Fetch(*fetch).m_body, "a");
  EXPECT_EQ(server.Seen().back().m_connection, 0U);
}

// Guards against keeping a response's framing, or a body, for as long as the store, a peer or a
// health endpoint sends it.
TEST_F(HttpFetchTest, ResponsesWithoutEndAreFailures)
{
  const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filler(8 << 20, '0');
  for (const std::string& bytes : { start + "1;a=" + filler,
                                    start + filler,
                                    start + "1\r\nx\r\n0\r\nX: " + filler,
                                    "HTTP/1.1 200 OK\r\n\r\n" + filler,
                                    "HTTP/1.1 200 OK\r\nX: " + filler }) {
    ScriptedUpstream server([&](const SeenRequest&) { return Script{ bytes }; });
    const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
    const auto started = std::chrono::steady_clock::now();
    EXPECT_EQ(Fetch(*fetch, 4000ms).m_status, 0U);
    EXPECT_LT(std::chrono::steady_clock::now() - started, 2s) << bytes.substr(0, 60);
  }
}

// Guards against waiting for a server that does not respond, and against accepting its late
// response.
TEST_F(HttpFetchTest, EndsAtItsTimeoutAndUsesANewConnection)
{
  int count = 0;
  ScriptedUpstream server([&](const SeenRequest& aRequest) {
    return Script{ OkResponse(aRequest, "a"), false, false, count++ == 0 ? 400ms : 0ms };
  });
  const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
  EXPECT_EQ(Fetch(*fetch, 100ms).m_status, 0U);
  EXPECT_EQ(Fetch(*fetch).m_status, 200U);
  EXPECT_EQ(server.Seen().back().m_connection, 1U);
}

constexpr std::uint64_t kMaxBodyBytes = 10'000;

FetchRequest GzipRequest()
{
  return { "GET", "/x", {}, 1000ms, kMaxBodyBytes, /*m_acceptsGzip=*/true };
}

/// @return a response whose body has an encoding, unless that is empty.
std::string EncodedResponse(const std::string& aEncoding, const std::string& aBody)
{
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{}\r\n{}",
                     aBody.size(),
                     aEncoding.empty() ? "" : "Content-Encoding: " + aEncoding + "\r\n",
                     aBody);
}

// Guards against a compressed response that is taken for the text, and against a server of an
// earlier version, which sends plain text, that is no longer understood.
TEST_F(HttpFetchTest, DecompressesIfItAskedForIt)
{
  const std::string text(kMaxBodyBytes, 'a');
  ScriptedUpstream compressing([&](const SeenRequest& aRequest) {
    const bool isAccepted = AcceptsGzip(aRequest.Header("Accept-Encoding"));
    return Script{ isAccepted ? EncodedResponse("gzip", *CompressGzip(text))
                              : EncodedResponse("", text) };
  });
  const auto fetch = std::make_shared<HttpFetch>(m_io, compressing.Address());
  EXPECT_EQ(Fetch(*fetch, GzipRequest()).m_body, text);
  EXPECT_EQ(Fetch(*fetch).m_body, text);
  EXPECT_EQ(compressing.Seen().front().Header("Accept-Encoding"), "gzip");
  EXPECT_EQ(compressing.Seen().back().Header("Accept-Encoding"), "") << "not the default";
  EXPECT_EQ(compressing.Seen().back().m_connection, 0U);
  ScriptedUpstream plain([&](const SeenRequest&) { return Script{ EncodedResponse("", text) }; });
  const auto plainFetch = std::make_shared<HttpFetch>(m_io, plain.Address());
  EXPECT_EQ(Fetch(*plainFetch, GzipRequest()).m_body, text);
}

// Guards against a response that takes all memory, and against using a part of a text.
TEST_F(HttpFetchTest, ResponsesThatCannotBeDecompressedAreFailures)
{
  const std::string whole = *CompressGzip("text");
  for (const std::string& bytes :
       { EncodedResponse("gzip", *CompressGzip(std::string(kMaxBodyBytes + 1, 'a'))),
         EncodedResponse("gzip", whole.substr(0, whole.size() - 1)),
         EncodedResponse("gzip", "text"),
         EncodedResponse("br", "text") }) {
    ScriptedUpstream server([&](const SeenRequest&) { return Script{ bytes }; });
    const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
    const FetchResponse response = Fetch(*fetch, GzipRequest());
    EXPECT_EQ(response.m_status, 0U);
    EXPECT_FALSE(response.m_hasTimedOut);
  }
}

/// A response of 10 pieces.
Script InPieces(std::chrono::milliseconds aPause)
{
  Script script{ "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x') };
  script.m_pieceBytes = script.m_bytes.size() / 10 + 1;
  script.m_piecePause = aPause;
  return script;
}

// Guards against giving up a large response that is arriving over a slow link, and against taking
// the time of its transfer for the delay of the server.
TEST_F(HttpFetchTest, ReceivesAResponseThatArrivesForLongerThanTheLimit)
{
  ScriptedUpstream server([](const SeenRequest&) { return InPieces(100ms); });
  const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
  const auto started = std::chrono::steady_clock::now();
  const FetchResponse response = Fetch(*fetch, 500ms, TransferLimits{ 500ms, 4000ms });
  const auto elapsed = std::chrono::steady_clock::now() - started;
  EXPECT_EQ(response.m_status, 200U);
  EXPECT_GT(elapsed, 700ms);
  ASSERT_TRUE(response.m_delay);
  EXPECT_LT(*response.m_delay, elapsed - 700ms);
}

// Guards against waiting until the end of the transfer time for a connection that has gone silent.
TEST_F(HttpFetchTest, EndsWhenAServerStopsInTheMiddle)
{
  ScriptedUpstream server([](const SeenRequest&) {
    return Script{ "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nx" };
  });
  const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
  const auto started = std::chrono::steady_clock::now();
  const FetchResponse response = Fetch(*fetch, 10'000ms, TransferLimits{ 200ms, 10'000ms });
  EXPECT_LT(std::chrono::steady_clock::now() - started, 3s);
  EXPECT_EQ(response.m_status, 0U);
  EXPECT_TRUE(response.m_hasTimedOut);
  EXPECT_FALSE(response.m_wasArriving);
  EXPECT_GT(response.m_receivedBytes, 0U);
}

// Guards against a call that a server holds for ever by sending a few bytes now and then.
TEST_F(HttpFetchTest, EndsAtItsTransferTimeWhileBytesArrive)
{
  ScriptedUpstream server([](const SeenRequest&) { return InPieces(400ms); });
  const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
  const auto started = std::chrono::steady_clock::now();
  const FetchResponse response = Fetch(*fetch, 2000ms, TransferLimits{ 2000ms, 600ms });
  EXPECT_LT(std::chrono::steady_clock::now() - started, 3s);
  EXPECT_EQ(response.m_status, 0U);
  EXPECT_TRUE(response.m_hasTimedOut);
  EXPECT_TRUE(response.m_wasArriving);
}

// Guards against waiting for a response by the limit of a pause while the server has sent only the
// head, as servers of long polls may.
TEST_F(HttpFetchTest, AHeadAloneIsNoBeginOfTheTransfer)
{
  ScriptedUpstream server([](const SeenRequest&) {
    Script script{ "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx" };
    script.m_pieceBytes = script.m_bytes.size() - 1;
    script.m_piecePause = 500ms;
    return script;
  });
  const auto fetch = std::make_shared<HttpFetch>(m_io, server.Address());
  const FetchResponse response = Fetch(*fetch, 4000ms, TransferLimits{ 100ms, 4000ms });
  EXPECT_EQ(response.m_status, 200U);
  EXPECT_GE(response.m_delay.value_or(0ms), 400ms);
}

} // namespace
} // namespace jaylane::gateway
