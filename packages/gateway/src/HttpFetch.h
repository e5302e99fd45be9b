#pragma once

#include "jaylane/base/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jaylane::gateway {

/// Time limits of a response whose body has begun to arrive.
struct TransferLimits
{
  /// Between received bytes.
  std::chrono::milliseconds m_pause{ 0 };
  /// From the first byte of the body to the end of the response.
  std::chrono::milliseconds m_total{ 0 };
};

/// An HTTP request that the gateway makes for itself, to the store, a peer or a health endpoint.
struct FetchRequest
{
  std::string m_method = "GET";
  std::string m_target;
  std::string m_body;
  /// Time limit, connecting included, for the whole exchange or, with m_transfer, until the body of
  /// the response begins to arrive. Servers of long polls may send the head long before.
  std::chrono::milliseconds m_timeout{ 1000 };
  /// Largest response body. A list of the store has about one megabyte at most.
  /// Applies to the body as received and as decompressed.
  std::uint64_t m_maxBodyBytes = 4ULL << 20;
  /// Whether the server may compress the response body. The response has it decompressed. One that
  /// cannot be decompressed counts as none.
  bool m_acceptsGzip = false;
  /// Limits from the begin of the body on; nothing if m_timeout is the only limit.
  std::optional<TransferLimits> m_transfer = std::nullopt;
};

/// The response to a FetchRequest; status 0 if there was none.
struct FetchResponse
{
  unsigned m_status = 0;
  std::string m_body;
  boost::beast::http::fields m_fields;
  /// Whether a time limit has ended the exchange, rather than the connection.
  bool m_hasTimedOut = false;
  /// The limit was TransferLimits::m_total while bytes still arrived.
  bool m_wasArriving = false;
  /// Time from the start of the exchange until the body began to arrive; nothing if it did not.
  std::optional<std::chrono::milliseconds> m_delay;
  /// Bytes received, those of the head and of an incomplete response included.
  std::size_t m_receivedBytes = 0;

  /// @return whether the same call may succeed later: there was no response, or the server turned
  ///         the call away or failed.
  bool IsTransientFailure() const
  {
    constexpr unsigned kTooManyRequests = 429;
    return m_status == 0 || m_status == kTooManyRequests || m_status / 100 == 5;
  }
};

/// HTTP client for one server. Keeps its connection open, handles one request at a time, and never
/// retries by itself.
class HttpFetch : public std::enable_shared_from_this<HttpFetch>
{
public:
  using OnDone = std::function<void(FetchResponse)>;

  /// @param aAddress "ip:port".
  HttpFetch(boost::asio::io_context& aIo, std::string aAddress);

  /// @param aOnDone called once with the response; not after Close().
  void Start(FetchRequest aRequest, OnDone aOnDone);

  /// Ends the exchange without calling its callback and closes the connection.
  void Close();

  /// Closes the connection unless an exchange is pending, so that the next one uses a new one.
  void CloseIfIdle();

  /// @return whether an exchange is pending and the body of its response has begun to arrive.
  bool IsReceiving() const { return m_onDone && m_bodyBeganAt; }

  /// @return bytes of the pending or last response that were received, those of the head included.
  std::size_t ReceivedBytes() const { return m_receivedBytes; }

private:
  using TimePoint = boost::asio::steady_timer::time_point;

  void Connect();
  void Send();
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  /// Decompresses the body if the request allowed the server to compress it.
  /// @return whether the body is plain now.
  bool Decode(FetchResponse& aResponse) const;
  void ScheduleTimeout();
  void OnTimer();
  /// @return when the exchange ends unless bytes arrive before.
  TimePoint Deadline() const;
  void Finish(FetchResponse aResponse);
  /// Adds what is known of the exchange to its response.
  void Describe(FetchResponse& aResponse) const;

  boost::asio::io_context& m_io;
  std::string m_address;
  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
  FetchRequest m_request;
  std::string m_requestText;
  OnDone m_onDone;
  std::size_t m_receivedBytes = 0;
  TimePoint m_startedAt;
  std::optional<TimePoint> m_bodyBeganAt;
  TimePoint m_lastReceivedAt;
  /// Number of the current exchange; handlers of ended exchanges hold an older one and do nothing.
  std::uint64_t m_exchangeNumber = 0;
};

} // namespace jaylane::gateway
