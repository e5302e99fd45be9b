#include "CallerConnection.h"

#include "HeaderLines.h"
#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>

namespace jaylane::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Requests of one connection that are served at the same time.
constexpr std::size_t kMaxPipelined = 32;
/// Space for bytes of a connection between requests, which most requests without a body fit
/// into, and while a request is read. Hundreds of connections wait idle for each that is read.
constexpr std::size_t kIdleReadBytes = 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
/// Time in which a caller may still read the last response before the connection is reset.
constexpr std::chrono::seconds kLinger{ 1 };
/// Bodies are held for as long as their requests run; seconds at the most.
constexpr const char* kRetryAfter = "Retry-After: 0.5\r\n";
/// Usual time between two checks of the connection's time limits.
constexpr std::chrono::milliseconds kTimerStep{ 1000 };
/// The same when a limit is about to end.
constexpr std::chrono::milliseconds kShortestStep{ 10 };

std::string_view View(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::optional<std::chrono::milliseconds> ParseMillis(std::string_view aText)
{
  std::int64_t value = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (parsed.ec != std::errc{} || value < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds{ value };
}

unsigned StatusOf(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    return 431;
  }
  return aError == http::error::body_limit ? 413 : 400;
}

const char* ReasonOf(unsigned aStatus)
{
  switch (aStatus) {
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Bad Request";
  }
}

} // namespace

CallerConnection::CallerConnection(GatewayContext& aContext,
                                   asio::ip::tcp::socket aSocket,
                                   Closed aClosed)
  : m_context(aContext)
  , m_socket(std::move(aSocket))
  , m_closed(std::move(aClosed))
  , m_timer(aContext.m_io)
{
}

void CallerConnection::Start()
{
  SetTcpOptions(
    m_socket,
    { std::chrono::seconds{ 10 }, std::chrono::seconds{ 10 }, std::chrono::seconds{ 5 }, 3 });
  m_lastRead = m_context.m_clock.Monotonic();
  StartParser();
  StartTimer(kTimerStep);
  Read();
}

void CallerConnection::StartParser()
{
  if (const auto routes = m_context.m_steering.Routes()) {
    m_limits = routes->Config().m_limits;
  }
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(m_limits.m_maxHeaderBytes);
  m_parser->body_limit(m_limits.m_maxBodyBytes);
  m_bodyReservation = m_context.m_bodyBudget.MakeReservation();
  m_sentInterim = false;
}

bool CallerConnection::IsMidRequest() const
{
  return m_parser && m_parser->got_some();
}

void CallerConnection::Read()
{
  if (m_isReading || m_isAborted) {
    return;
  }
  m_isReading = true;
  const std::size_t space = IsMidRequest() ? kReadBytes : kIdleReadBytes;
  if (m_buffer.size() == 0 && m_buffer.capacity() > space) {
    m_buffer.shrink_to_fit();
  }
  m_socket.async_read_some(
    m_buffer.prepare(space),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aBytes) {
      self->m_isReading = false;
      self->OnRead(aError, aBytes);
    });
}

void CallerConnection::OnRead(const boost::system::error_code& aError, std::size_t aBytes)
{
  if (m_isAborted) {
    return;
  }
  if (aError) {
    Abort();
    return;
  }
  m_buffer.commit(aBytes);
  m_lastRead = m_context.m_clock.Monotonic();
  if (m_isClosing) {
    // Only watches for the caller's leaving; further requests count as unread.
    m_buffer.consume(m_buffer.size());
    Read();
    return;
  }
  Consume();
  if (m_slots.size() < kMaxPipelined || m_isClosing) {
    Read();
  }
}

void CallerConnection::Consume()
{
  while (m_buffer.size() > 0 && !m_isClosing && m_slots.size() < kMaxPipelined) {
    if (!IsMidRequest()) {
      m_requestStarted = m_context.m_clock.Monotonic();
    }
    boost::system::error_code error;
    const std::size_t used = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(used);
    if (error && error != http::error::need_more) {
      const unsigned status = StatusOf(error);
      RejectInput(status, ReasonOf(status));
      return;
    }
    if (!ReserveBodyMemory()) {
      RejectInput(503, "body memory is in use");
      return;
    }
    if (m_parser->is_done()) {
      Dispatch();
      continue;
    }
    SendInterimResponse();
    if (error == http::error::need_more) {
      return;
    }
  }
}

/// Accounts for the body that is being read. Returns whether it may be held.
bool CallerConnection::ReserveBodyMemory()
{
  if (!m_parser->is_header_done()) {
    return true;
  }
  // Only bytes that arrived are counted, so that a stated length alone takes nothing from others;
  // a body that cannot fit is rejected before it is read.
  const auto stated = m_parser->content_length();
  return m_bodyReservation->GrowTo(m_parser->get().body().size()) &&
         m_bodyReservation->Fits(stated ? *stated : 0);
}

void CallerConnection::SendInterimResponse()
{
  if (m_sentInterim || !m_parser->is_header_done() || !m_slots.empty() || m_isWriting) {
    return;
  }
  if (boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
    m_sentInterim = true;
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

std::optional<std::string> CallerConnection::CheckRequest(const Parser::value_type& aMessage) const
{
  if (aMessage.version() != 11 && aMessage.version() != 10) {
    return "version";
  }
  if (aMessage.count(http::field::host) > 1 ||
      (aMessage.version() == 11 && aMessage.count(http::field::host) == 0)) {
    return "host";
  }
  if (aMessage.count(http::field::content_length) > 1 ||
      aMessage.count(http::field::transfer_encoding) > 1 ||
      (aMessage.count(http::field::content_length) > 0 &&
       aMessage.count(http::field::transfer_encoding) > 0)) {
    return "framing";
  }
  if (aMessage.count(m_context.m_wire.m_requestId) > 1) {
    return "request id";
  }
  return std::nullopt;
}

CallerRequest CallerConnection::TakeRequest()
{
  const WireFormat& wire = m_context.m_wire;
  Parser::value_type& message = m_parser->get();
  CallerRequest request;
  request.m_id = std::string(View(message[wire.m_requestId]));
  request.m_method = std::string(View(message.method_string()));
  request.m_target = std::string(View(message.target()));
  request.m_host = std::string(View(message[http::field::host]));
  request.m_affinityKey = std::string(View(message[wire.m_affinityKey]));
  request.m_timeout = ParseMillis(View(message[wire.m_timeout]));
  request.m_headerLines =
    EndToEndHeaders(message, { wire.m_timeout, wire.m_targetUpstream, "Expect" });
  request.m_hasBody = message.count(http::field::content_length) > 0 || message.chunked();
  request.m_body = std::move(message.body());
  request.m_bodyReservation = m_bodyReservation;
  request.m_receivedAt = m_context.m_clock.Monotonic();
  return request;
}

void CallerConnection::Dispatch()
{
  if (const auto problem = CheckRequest(m_parser->get())) {
    RejectInput(400, problem->c_str());
    return;
  }
  const bool isLast = !m_parser->get().keep_alive();
  auto exchange =
    std::make_shared<RequestExchange>(m_context, TakeRequest(), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Flush();
      }
    });
  StartParser();
  m_isClosing = m_isClosing || isLast || m_context.m_isNearConnectionLimit ||
                m_context.m_phase != LifecyclePhase::Serving;
  m_slots.push_back({ exchange, std::nullopt });
  exchange->Start();
}

void CallerConnection::RejectInput(unsigned aStatus, const char* aReason)
{
  m_context.m_log.Write(
    base::LogRecord("input_rejected").Add("status", aStatus).Add("reason", aReason));
  CallerResponse response;
  response.m_status = aStatus;
  response.m_reason = ReasonOf(aStatus);
  if (aStatus == 503) {
    response.m_headerLines = kRetryAfter;
  }
  m_isClosing = true;
  m_slots.push_back({ nullptr, std::move(response) });
  Flush();
}

void CallerConnection::StartTimer(std::chrono::milliseconds aPause)
{
  m_timer.expires_after(aPause);
  m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& aError) {
    const auto self = weak.lock();
    if (!aError && self) {
      self->OnTimer();
    }
  });
}

void CallerConnection::OnTimer()
{
  if (m_isAborted) {
    return;
  }
  const auto now = m_context.m_clock.Monotonic();
  std::chrono::milliseconds pause = kTimerStep;
  if (m_isFinished) {
    if (now - m_lastRead > kLinger) {
      Abort();
      return;
    }
  } else if (IsMidRequest() && !m_isClosing) {
    const bool hasHeader = m_parser->is_header_done();
    if ((!hasHeader && now - m_requestStarted > m_limits.m_headerTimeout) ||
        (hasHeader && now - m_lastRead > m_limits.m_idleTimeout)) {
      RejectInput(408, "timeout");
    } else if (!hasHeader) {
      // The limit ends between two steps where the first bytes came after the timer was set.
      const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_limits.m_headerTimeout -
                                                                     (now - m_requestStarted));
      pause = std::clamp(left, kShortestStep, kTimerStep);
    }
  } else if (m_slots.empty() && !m_isWriting && now - m_lastRead > m_limits.m_idleTimeout) {
    Abort();
    return;
  }
  StartTimer(pause);
}

void CallerConnection::Flush()
{
  if (m_isWriting || m_isAborted) {
    return;
  }
  std::string text;
  while (!m_slots.empty() && m_slots.front().IsReady()) {
    Slot slot = std::move(m_slots.front());
    m_slots.pop_front();
    const bool isLast = m_isClosing && m_slots.empty();
    CallerResponse& response = slot.m_own ? *slot.m_own : slot.m_exchange->Response();
    text += Serialize(response, slot.m_exchange && slot.m_exchange->IsHead(), isLast);
  }
  if (!text.empty()) {
    Write(std::move(text));
  }
}

std::string CallerConnection::Serialize(CallerResponse& aResponse, bool aIsHead, bool aIsLast) const
{
  std::string text = "HTTP/1.1 ";
  text.append(std::to_string(aResponse.m_status)).append(" ");
  text.append(aResponse.m_reason).append("\r\n").append(aResponse.m_headerLines);
  const bool hasNoBody = aResponse.m_status == 204 || aResponse.m_status == 304;
  if (aIsHead && aResponse.m_headLength) {
    text.append("Content-Length: ").append(*aResponse.m_headLength).append("\r\n");
  } else if (!hasNoBody && !(aIsHead && !aResponse.m_headLength)) {
    text.append("Content-Length: ").append(std::to_string(aResponse.m_body.size())).append("\r\n");
  }
  text.append(aIsLast ? "Connection: close\r\n\r\n" : "\r\n");
  if (!aIsHead && !hasNoBody) {
    text.append(aResponse.m_body);
  }
  return text;
}

void CallerConnection::Write(std::string aText)
{
  m_isWriting = true;
  m_writing = std::move(aText);
  asio::async_write(m_socket,
                    asio::buffer(m_writing),
                    [self = shared_from_this()](const boost::system::error_code& aError,
                                                std::size_t) { self->OnWritten(aError); });
}

void CallerConnection::OnWritten(const boost::system::error_code& aError)
{
  m_isWriting = false;
  m_writing.clear();
  if (m_isAborted) {
    return;
  }
  if (aError) {
    Abort();
    return;
  }
  m_lastRead = m_context.m_clock.Monotonic();
  Flush();
  if (m_isWriting) {
    return;
  }
  if (m_isClosing && m_slots.empty()) {
    FinishSending();
    return;
  }
  Consume();
  Read();
}

void CallerConnection::FinishSending()
{
  // A close with unread bytes would reset the connection and might destroy the response.
  boost::system::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  m_isFinished = true;
  m_lastRead = m_context.m_clock.Monotonic();
  Read();
}

void CallerConnection::CloseWhenIdle()
{
  if (m_isClosing) {
    return;
  }
  if (IsMidRequest()) {
    return; // The request is served; its response closes the connection.
  }
  m_isClosing = true;
  if (m_slots.empty() && !m_isWriting) {
    FinishSending();
  }
}

std::optional<base::MonotonicTime> CallerConnection::IdleSince() const
{
  if (!m_slots.empty() || m_isWriting || (IsMidRequest() && !m_isClosing)) {
    return std::nullopt;
  }
  return m_lastRead;
}

void CallerConnection::LogUndelivered() const
{
  const auto blocking =
    std::ranges::find_if(m_slots, [](const Slot& aSlot) { return !aSlot.IsReady(); });
  for (const Slot& slot : m_slots) {
    if (blocking != m_slots.end() && slot.m_exchange && slot.IsReady()) {
      m_context.m_log.Write(base::LogRecord("response_undelivered")
                              .Add("id", slot.m_exchange->Id())
                              .Add("behind", blocking->m_exchange->Id())
                              .Add("reason", "caller closed the connection"));
    }
  }
}

void CallerConnection::Abort()
{
  if (m_isAborted) {
    return;
  }
  m_isAborted = true;
  m_timer.cancel();
  LogUndelivered();
  for (const Slot& slot : m_slots) {
    if (slot.m_exchange) {
      slot.m_exchange->Cancel();
    }
  }
  m_slots.clear();
  boost::system::error_code ignored;
  m_socket.close(ignored);
  const Closed closed = std::move(m_closed);
  closed(this);
}

} // namespace jaylane::gateway
