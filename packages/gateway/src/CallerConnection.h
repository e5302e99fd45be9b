#pragma once

#include "RequestExchange.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>

namespace jaylane::gateway {

/// One caller's connection: reads pipelined requests, serves them at the same time, and writes
/// the responses in the order of the requests. Sees the caller's leaving while requests run.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  using Closed = std::function<void(CallerConnection*)>;

  CallerConnection(GatewayContext& aContext, boost::asio::ip::tcp::socket aSocket, Closed aClosed);

  void Start();

  /// Closes as soon as the requests that were read are answered.
  void CloseWhenIdle();

  /// Cancels everything.
  void Abort();

  /// @return when the last byte passed, or nothing while a request is read or served.
  std::optional<base::MonotonicTime> IdleSince() const;

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// A request in order of arrival, or a response of the connection itself.
  struct Slot
  {
    std::shared_ptr<RequestExchange> m_exchange;
    std::optional<CallerResponse> m_own;

    bool IsReady() const { return m_own || m_exchange->IsDone(); }
  };

  void StartParser();
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  void Consume();
  void Dispatch();
  std::optional<std::string> CheckRequest(const Parser::value_type& aMessage) const;
  CallerRequest TakeRequest();
  bool ReserveBodyMemory();
  void SendInterimResponse();
  void RejectInput(unsigned aStatus, const char* aReason);
  void StartTimer(std::chrono::milliseconds aPause);
  void OnTimer();
  void Flush();
  void Write(std::string aText);
  void OnWritten(const boost::system::error_code& aError);
  void FinishSending();
  /// Names the responses that waited for an earlier one when the caller left.
  void LogUndelivered() const;
  std::string Serialize(CallerResponse& aResponse, bool aIsHead, bool aIsLast) const;
  bool IsMidRequest() const;

  GatewayContext& m_context;
  boost::asio::ip::tcp::socket m_socket;
  Closed m_closed;
  boost::asio::steady_timer m_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  /// For the body that is being read.
  std::shared_ptr<BodyMemoryBudget::Reservation> m_bodyReservation;
  std::deque<Slot> m_slots;
  policy::CallerLimits m_limits;
  /// Start of the request that is being read, and when the last byte arrived.
  base::MonotonicTime m_requestStarted;
  base::MonotonicTime m_lastRead;
  std::string m_writing;
  bool m_isWriting = false;
  bool m_isReading = false;
  bool m_sentInterim = false;
  /// No further requests are read; the connection ends behind the last response.
  bool m_isClosing = false;
  bool m_isFinished = false;
  bool m_isAborted = false;
};

} // namespace jaylane::gateway
