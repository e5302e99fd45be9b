#pragma once

#include "RequestExchange.h"
#include "jaylane/policy/PeerLiveness.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace jaylane::gateway {

/// The connection of one caller: reads pipelined requests, serves them concurrently, and writes the
/// responses in the order of the requests. Keeps reading while requests run, so that it notices
/// when the caller disconnects.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  using OnClosed = std::function<void(CallerConnection*)>;

  CallerConnection(GatewayContext& aContext,
                   boost::asio::ip::tcp::socket aSocket,
                   OnClosed aOnClosed);

  void Start();

  /// Closes the connection once the requests that were read are answered.
  void CloseWhenIdle();

  /// Cancels all requests and closes the connection at once.
  /// @param aReason why, for the log.
  void Abort(std::string_view aReason);

  /// @return time of the last read or write, or nothing while a request is read or served.
  std::optional<base::MonotonicTime> IdleSince() const;

  /// @return since when the caller has kept the connection waiting: for the rest of a request while
  ///         no other is unanswered, or to read responses. Nothing otherwise.
  std::optional<base::MonotonicTime> WaitingSince() const;

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// A request whose response has not been written, or a response of the connection itself.
  struct PipelineEntry
  {
    std::shared_ptr<RequestExchange> m_exchange;
    std::optional<CallerResponse> m_localResponse;
    /// Whether it counts in GatewayContext::m_pipelinedRequests.
    bool m_isCounted = false;

    bool IsReady() const { return m_localResponse || m_exchange->IsDone(); }
    CallerResponse& Response()
    {
      return m_localResponse ? *m_localResponse : m_exchange->Response();
    }
  };

  void ResetParser();
  /// Takes the limits of the configuration in force, for the request that begins.
  void UpdateLimits();
  /// @return the idle time after which the connection is closed: the longer one of the limits at
  ///         the last request and of those in force, as the caller may know either.
  std::chrono::milliseconds IdleTimeout() const;
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  /// Parses the bytes that have arrived; an unexpected error closes the connection.
  /// @return whether the connection is still open.
  bool ParseContained();
  void ParseBuffer();
  void Dispatch();
  RequestExchange::Hooks MakeExchangeHooks();
  /// @return whether the caller has closed the connection; it is then aborted soon.
  bool HasCallerLeft();
  std::optional<std::string> CheckRequest(const Parser::value_type& aMessage) const;
  CallerRequest TakeRequest();
  /// @return the caller's API key; nothing if it sent none, several or a malformed one.
  std::optional<std::string_view> ApiKeyOf(const Parser::value_type& aMessage) const;
  /// Rejects a request whose API key does not allow it, once the header is read, so that its body
  /// takes no memory. A request that is complete is checked when it starts instead, which leaves
  /// the connection open.
  /// @return whether to go on reading the request.
  bool CheckAccess();
  /// Counts the memory of the next bytes of a header, which are still in the buffer.
  /// @param aUsed bytes that the parser took, which may include a part of the body.
  void CountHead(std::size_t aUsed);
  /// Makes room for the next bytes of a body without a stated length, and reserves memory for the
  /// time in which they are copied.
  /// @return whether the memory was reserved.
  bool GrowBody();
  /// Reserves memory for what was received of the request so far.
  /// @return whether the memory was reserved and the rest of the body would fit.
  bool ReserveBodyMemory();
  /// @return the bytes of a request that count against the memory for bodies.
  std::uint64_t CountedBytes(std::uint64_t aBodyBytes) const;
  /// @return the number of pipelined requests of all connections that may be held.
  std::size_t MaxPipelinedRequests() const;
  /// Another body takes the memory of the request that is being read.
  void OnRequestEvicted();
  /// Limits the time for the body, once the header is read, to that of the request.
  void StartBodyTimeout();
  void SendInterimResponse();
  void RejectInput(unsigned aStatus, const char* aReason);
  void StartTimer(std::chrono::milliseconds aPause);
  void OnTimer();
  void Flush();
  void Write(std::vector<std::string> aTexts);
  /// Lets other bodies take the memory of the responses that wait for the caller to read.
  void SetWaitingEvictable();
  void OnWritten(const boost::system::error_code& aError);
  void ReleaseWritten();
  /// Another body takes the memory of a response that is being written.
  void OnResponseEvicted();
  void ShutdownSend();
  /// Logs the responses that were waiting for an earlier one when the caller disconnected.
  void LogUndelivered() const;
  /// Logs the reason if requests remain unanswered or responses unwritten.
  void LogAbort(std::string_view aReason) const;
  /// Appends the header and the body of a response, which it moves, to the texts to write.
  static void Serialize(CallerResponse& aResponse,
                        bool aIsHead,
                        bool aIsLast,
                        std::vector<std::string>& aTexts);
  bool IsMidRequest() const;
  /// @return whether bytes have arrived that were not read yet, so that the connection is not idle.
  bool HasUnreadInput() const;
  /// @return whether the time for the caller to read the last response is over.
  bool IsLingerOver(base::MonotonicTime aNow);
  /// @return whether the caller's host has left sent bytes unacknowledged for too long.
  bool IsCallerDead();

  GatewayContext& m_context;
  boost::asio::ip::tcp::socket m_socket;
  OnClosed m_onClosed;
  boost::asio::steady_timer m_timer;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  /// Memory of the body that is being read.
  std::shared_ptr<BodyMemoryBudget::Reservation> m_bodyReservation;
  /// Bytes of the head of the request that is being read.
  std::size_t m_headBytes = 0;
  /// Memory of its parsed fields besides these bytes.
  std::size_t m_fieldBytes = 0;
  /// Memory of the responses that are being written.
  std::vector<std::shared_ptr<BodyMemoryBudget::Reservation>> m_writtenReservations;
  /// Unanswered requests in the order of arrival.
  std::deque<PipelineEntry> m_pipeline;
  policy::CallerLimits m_limits;
  /// When the first byte of the current request arrived, and the time of the last read or write.
  base::MonotonicTime m_requestStarted;
  /// When the caller must have a response to the request whose body is being read.
  base::MonotonicTime m_bodyDeadline;
  base::MonotonicTime m_lastActivity;
  base::MonotonicTime m_writeStarted;
  base::MonotonicTime m_sendShutdownAt;
  policy::PeerLiveness m_liveness;
  std::vector<std::string> m_writeTexts;
  bool m_isWriting = false;
  bool m_isReading = false;
  /// The last read filled the buffer, so that more may have arrived.
  bool m_hasFilledBuffer = false;
  bool m_sentInterim = false;
  /// CheckAccess() has allowed the request whose body is being read.
  bool m_isAccessChecked = false;
  /// No further requests are read; the connection is closed after the last response.
  bool m_isClosing = false;
  bool m_isSendShutdown = false;
  /// The caller has closed the connection, and Abort() follows.
  bool m_hasCallerLeft = false;
  bool m_isAborted = false;
  /// The memory of the request that is being read was given to another body.
  bool m_isEvicted = false;
};

} // namespace jaylane::gateway
