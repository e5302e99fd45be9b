#include "CallerConnection.h"

#include "HeaderLines.h"
#include "SocketOptions.h"
#include "jaylane/base/ContainErrors.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace jaylane::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Requests of one connection that are served concurrently.
constexpr std::size_t kMaxPipelinedRequests = 32;
/// Read buffer, which holds most requests without a body, and the one after a read that filled it.
/// The first is small because there are hundreds of idle or slow connections for each one that is
/// being read.
constexpr std::size_t kIdleReadBytes = 1024;
/// With 16 KiB, a crowd of 1,900 that stops within bodies held 30 MB of empty buffers.
constexpr std::size_t kReadBytes = 8 * 1024;
/// Longest time from the first byte of a request to its last.
constexpr std::chrono::seconds kMaxRequestTime{ 60 };
/// Longest time in which the caller must read what is written at once.
constexpr std::chrono::seconds kMaxWriteTime{ 60 };
/// Bytes of a request, or of responses that are being written, up to which a connection is not
/// counted against the memory for bodies, so that small requests are served when it is used up.
constexpr std::size_t kUncountedBytes = 4 * 1024;
/// Memory of a parsed field besides its bytes: the links of the parser's list and set, and the
/// overhead of an allocation. A crowd with headers of four bytes a field took 79 bytes for each.
constexpr std::size_t kFieldBytes = 96;
/// Memory of a pipelined request: the exchange with its timers, a small header and a small
/// response.
constexpr std::uint64_t kEntryBytes = 2 * 1024;
/// Part of it for the header, which is not counted against the memory for bodies.
constexpr std::size_t kUncountedEntryBytes = kEntryBytes / 4;
/// Pipelined requests of a connection that do not count in the limit on those of all connections.
constexpr std::size_t kUncountedEntries = 4;
/// That limit is this part of the memory for bodies, in entries, but at least the number that some
/// connections may have.
constexpr std::uint64_t kPipelineDivisor = 8;
constexpr std::size_t kMinPipelinedRequests = 8 * kMaxPipelinedRequests;
/// Time without bytes of a body after which it is evicted before others. A caller with a round trip
/// of some 100 ms that lost packets resumes before that.
constexpr std::chrono::milliseconds kStallTime{ 2000 };
/// Time without an acknowledgement after which a caller's host counts as dead.
constexpr std::chrono::milliseconds kSilenceLimit{ 10'000 };
/// Time for the caller to close after the last response has arrived before the connection is reset.
constexpr std::chrono::seconds kLingerTimeout{ 1 };
/// Sent when no body memory is left. Bodies are buffered only while their requests run, which takes
/// seconds at most.
constexpr const char* kNoMemoryReason = "body memory is in use";
constexpr const char* kBodyMemoryRetryAfter = "Retry-After: 0.5\r\n";
/// Usual interval between checks of the connection's timeouts.
constexpr std::chrono::milliseconds kTimerInterval{ 1000 };
/// Interval between checks for a close while the connection is not read.
constexpr std::chrono::milliseconds kCloseCheckInterval{ 200 };
/// Shortest interval, when a timeout is about to expire.
constexpr std::chrono::milliseconds kMinTimerInterval{ 10 };

std::string_view ToStringView(boost::beast::string_view aText)
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

/// @return time until the next check of the timeouts, one of which expires at a time.
std::chrono::milliseconds TimerIntervalUntil(base::MonotonicTime aDeadline,
                                             base::MonotonicTime aNow)
{
  return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(aDeadline - aNow),
                    kMinTimerInterval,
                    kTimerInterval);
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
                                   OnClosed aOnClosed)
  : m_context(aContext)
  , m_socket(std::move(aSocket))
  , m_onClosed(std::move(aOnClosed))
  , m_timer(aContext.m_io)
  , m_liveness({ .m_silenceLimit = kSilenceLimit, .m_maxStep = 2 * kTimerInterval })
{
}

void CallerConnection::Start()
{
  TcpTimeouts timeouts;
  timeouts.m_userTimeout = kSilenceLimit;
  timeouts.m_keepAliveIdle = std::chrono::seconds{ 9 };
  timeouts.m_keepAliveInterval = std::chrono::seconds{ 3 };
  timeouts.m_keepAliveProbes = 2;
  timeouts.m_isPeerObserved = true;
  SetTcpOptions(m_socket, timeouts);
  m_lastActivity = m_context.m_clock.Monotonic();
  ResetParser();
  StartTimer(kTimerInterval);
  Read();
}

void CallerConnection::UpdateLimits()
{
  if (const auto routes = m_context.m_steering.Routes()) {
    m_limits = routes->Config().m_limits;
  }
  m_parser->header_limit(m_limits.m_maxHeaderBytes);
  m_parser->body_limit(m_limits.m_maxBodyBytes);
}

std::chrono::milliseconds CallerConnection::IdleTimeout() const
{
  const auto routes = m_context.m_steering.Routes();
  return routes ? std::max(m_limits.m_idleTimeout, routes->Config().m_limits.m_idleTimeout)
                : m_limits.m_idleTimeout;
}

void CallerConnection::ResetParser()
{
  m_parser.emplace();
  m_headBytes = 0;
  m_fieldBytes = 0;
  m_parser->eager(true);
  UpdateLimits();
  m_bodyReservation = m_context.m_bodyBudget.MakeReservation();
  m_sentInterim = false;
  m_isAccessChecked = false;
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
  const std::size_t space = m_hasFilledBuffer ? kReadBytes : kIdleReadBytes;
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
  if (m_isAborted || m_isEvicted) {
    return;
  }
  if (aError) {
    Abort("read: " + aError.message());
    return;
  }
  // Of a caller that sends little, little is expected.
  m_hasFilledBuffer = aBytes >= (m_hasFilledBuffer ? kReadBytes : kIdleReadBytes);
  m_buffer.commit(aBytes);
  m_lastActivity = m_context.m_clock.Monotonic();
  if (m_isClosing) {
    // Reads only to notice when the caller disconnects; further requests are discarded.
    m_buffer.consume(m_buffer.size());
    Read();
    return;
  }
  if (!ParseContained()) {
    return;
  }
  if (m_pipeline.size() < kMaxPipelinedRequests || m_isClosing) {
    Read();
  } else {
    StartTimer(kCloseCheckInterval);
  }
}

bool CallerConnection::ParseContained()
{
  if (!base::ContainErrors(m_context.m_log, "caller_input", [this] { ParseBuffer(); })) {
    Abort("unexpected error");
  }
  return !m_isAborted;
}

void CallerConnection::ParseBuffer()
{
  while (m_buffer.size() > 0 && !m_isClosing && !m_hasCallerLeft && !m_isEvicted &&
         m_pipeline.size() < kMaxPipelinedRequests) {
    if (!IsMidRequest()) {
      UpdateLimits(); // The configuration may have changed while the connection was idle.
      m_requestStarted = m_context.m_clock.Monotonic();
    }
    if (!GrowBody()) {
      RejectInput(503, kNoMemoryReason);
      return;
    }
    boost::system::error_code error;
    const bool isHead = !m_parser->is_header_done();
    const std::size_t used = m_parser->put(m_buffer.data(), error);
    if (isHead) {
      CountHead(used);
    }
    m_buffer.consume(used);
    // Only framing stays in the buffer until it is complete: a chunk's size and extension, or the
    // trailer. The parser does not limit it.
    const bool isFramingTooLong = m_parser->is_header_done() && error == http::error::need_more &&
                                  m_buffer.size() > m_limits.m_maxHeaderBytes;
    if (isFramingTooLong) {
      error = http::error::header_limit;
    }
    if (error && error != http::error::need_more) {
      const unsigned status = StatusOf(error);
      RejectInput(status, ReasonOf(status));
      return;
    }
    if (!CheckAccess()) {
      return;
    }
    if (!ReserveBodyMemory()) {
      RejectInput(503, kNoMemoryReason);
      return;
    }
    if (m_parser->is_done()) {
      Dispatch();
      continue;
    }
    if (isHead && m_parser->is_header_done()) {
      StartBodyTimeout();
    }
    SendInterimResponse();
    if (error == http::error::need_more) {
      return;
    }
  }
}

void CallerConnection::CountHead(std::size_t aUsed)
{
  const auto& message = m_parser->get();
  if (m_parser->is_header_done()) {
    m_headBytes += aUsed - std::min(aUsed, message.body().size());
    m_fieldBytes =
      kFieldBytes * static_cast<std::size_t>(std::distance(message.begin(), message.end()));
    return;
  }
  // A list has no count, and its end may be far.
  const auto* bytes = static_cast<const char*>(m_buffer.data().data());
  m_headBytes += aUsed;
  m_fieldBytes += kFieldBytes * static_cast<std::size_t>(std::count(bytes, bytes + aUsed, '\n'));
}

bool CallerConnection::GrowBody()
{
  if (!m_parser->is_header_done() || m_parser->content_length()) {
    return true; // A stated length is allocated at once.
  }
  std::string& body = m_parser->get().body();
  const std::uint64_t needed = body.size() + m_buffer.size();
  if (needed <= body.capacity() || body.size() < kReadBytes) {
    return true; // A short body is copied within the reserve of the process.
  }
  // Halves of the limit, so that the last copy has half of the largest body.
  std::uint64_t capacity = std::max(m_limits.m_maxBodyBytes, needed);
  while (capacity / 2 >= std::max<std::uint64_t>(needed, kReadBytes)) {
    capacity /= 2;
  }
  // The old and the new buffer exist at the same time while the bytes are copied.
  if (!m_bodyReservation->GrowTo(CountedBytes(2 * body.size()))) {
    return false;
  }
  std::string grown;
  grown.reserve(capacity);
  grown.append(body);
  body.swap(grown);
  return true;
}

std::uint64_t CallerConnection::CountedBytes(std::uint64_t aBodyBytes) const
{
  // Only one request of a connection has the full exemption, as there may be many of them. Behind
  // it, the buffer may hold further requests.
  const std::size_t head = 2 * m_headBytes + m_fieldBytes;
  const std::size_t buffered = m_buffer.size();
  if (m_pipeline.empty()) {
    return aBodyBytes + head + buffered - std::min(head + buffered, kUncountedBytes);
  }
  return aBodyBytes + head - std::min(head, kUncountedEntryBytes) + buffered -
         std::min(buffered, kUncountedBytes);
}

std::size_t CallerConnection::MaxPipelinedRequests() const
{
  return std::max<std::size_t>(
    kMinPipelinedRequests, m_context.m_settings.m_bodyMemoryBytes / kPipelineDivisor / kEntryBytes);
}

bool CallerConnection::ReserveBodyMemory()
{
  const bool hasHeader = m_parser->is_header_done();
  const std::uint64_t bytes = CountedBytes(hasHeader ? m_parser->get().body().size() : 0);
  m_bodyReservation->ShrinkTo(bytes); // The copy of GrowBody() is gone.
  // A caller that does not go on must not keep memory from others.
  if (bytes > 0 && !m_parser->is_done()) {
    m_bodyReservation->SetEvictable([this] { OnRequestEvicted(); });
  }
  if (!hasHeader) {
    return m_bodyReservation->GrowTo(bytes);
  }
  // Only received bytes are reserved, so that a Content-Length alone takes no memory from other
  // requests that go on. A body that does not fit is rejected before it is read.
  const auto stated = m_parser->content_length();
  if (!m_bodyReservation->GrowTo(bytes)) {
    return false;
  }
  return !stated || m_parser->is_done() ||
         m_bodyReservation->EvictStalledFor(CountedBytes(*stated));
}

void CallerConnection::OnRequestEvicted()
{
  m_isEvicted = true;
  std::string().swap(m_parser->get().body());
  // Another connection, which needs the memory, is being read now.
  asio::post(m_context.m_io, [self = shared_from_this()] {
    if (!self->m_isAborted) {
      self->RejectInput(503, "body memory given to another");
      self->m_isEvicted = false;
      self->Read();
    }
  });
}

void CallerConnection::StartBodyTimeout()
{
  const Parser::value_type& message = m_parser->get();
  std::chrono::milliseconds limit = kMaxRequestTime;
  const auto routes = m_context.m_steering.Routes();
  const policy::Route* route =
    routes ? routes->Find(ToStringView(message[http::field::host]), ToStringView(message.target()))
           : nullptr;
  if (route && route->m_timeout.count() > 0) {
    limit = std::min(limit, route->m_timeout);
  }
  if (const auto stated = ParseMillis(ToStringView(message[m_context.m_wire.m_timeout]))) {
    limit = std::min(limit, *stated);
  }
  m_bodyDeadline = m_requestStarted + limit;
  StartTimer(TimerIntervalUntil(m_bodyDeadline, m_context.m_clock.Monotonic()));
}

void CallerConnection::SendInterimResponse()
{
  if (m_sentInterim || !m_parser->is_header_done() || !m_pipeline.empty() || m_isWriting) {
    return;
  }
  if (boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
    m_sentInterim = true;
    Write({ "HTTP/1.1 100 Continue\r\n\r\n" });
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
    return "repeated request id";
  }
  return std::nullopt;
}

std::optional<std::string_view> CallerConnection::ApiKeyOf(const Parser::value_type& aMessage) const
{
  const WireFormat& wire = m_context.m_wire;
  if (aMessage.count(wire.m_authorization) != 1) {
    return std::nullopt;
  }
  return wire.m_parseApiKey(ToStringView(aMessage[wire.m_authorization]));
}

bool CallerConnection::CheckAccess()
{
  if (m_isAccessChecked || !m_parser->is_header_done() || m_parser->is_done()) {
    return true;
  }
  m_isAccessChecked = true;
  m_context.m_applyConfigurations();
  const auto routes = m_context.m_steering.Routes();
  if (!routes || !routes->ApiKeys()) {
    return true;
  }
  Parser::value_type& message = m_parser->get();
  if (const auto problem = CheckRequest(message)) {
    RejectInput(400, problem->c_str());
    return false;
  }
  const policy::Route* route =
    routes->Find(ToStringView(message[http::field::host]), ToStringView(message.target()));
  if (!route) {
    return true;
  }
  const auto decision = policy::AccessDecision::Make(
    routes->ApiKeys(), *route, ApiKeyOf(message), m_context.m_isConfigurationConfirmed());
  if (decision.m_outcome == policy::AccessDecision::Outcome::Allowed) {
    return true;
  }
  m_bodyReservation->SetEvictable({});
  auto exchange = std::make_shared<RequestExchange>(m_context, TakeRequest(), MakeExchangeHooks());
  ResetParser();
  m_isClosing = true; // The rest of the body would be taken for the next request.
  m_pipeline.push_back({ exchange, std::nullopt, false });
  exchange->Deny(decision.m_outcome);
  return false;
}

CallerRequest CallerConnection::TakeRequest()
{
  // Before the request is read, since the configuration decides how.
  m_context.m_applyConfigurations();
  const WireFormat& wire = m_context.m_wire;
  Parser::value_type& message = m_parser->get();
  CallerRequest request;
  request.m_id = std::string(ToStringView(message[wire.m_requestId]));
  request.m_method = std::string(ToStringView(message.method_string()));
  request.m_target = std::string(ToStringView(message.target()));
  request.m_host = std::string(ToStringView(message[http::field::host]));
  request.m_affinityKey = std::string(ToStringView(message[wire.m_affinityKey]));
  request.m_timeout = ParseMillis(ToStringView(message[wire.m_timeout]));
  const auto routes = m_context.m_steering.Routes();
  const policy::ApiKeyTable* keys = routes ? routes->ApiKeys() : nullptr;
  std::string_view teamHeader;
  std::string_view keyHeader;
  if (keys) {
    const auto key = ApiKeyOf(message);
    request.m_apiKey = key;
    teamHeader = wire.m_team;
    // Public routes may have an authorization of their own. One in the form of an API key is held
    // back even if it is unknown: it may be one that was removed.
    const policy::Route* route = routes->Find(request.m_host, request.m_target);
    if (!route || !route->m_isPublic || key) {
      keyHeader = wire.m_authorization;
    }
  }
  request.m_headerLines = EndToEndHeaders(
    message, { wire.m_timeout, wire.m_targetUpstream, "Expect", teamHeader, keyHeader });
  request.m_hasBody = message.count(http::field::content_length) > 0 || message.chunked();
  request.m_body = std::move(message.body());
  request.m_bodyReservation = m_bodyReservation;
  request.m_receivedAt = m_requestStarted;
  return request;
}

void CallerConnection::Dispatch()
{
  if (const auto problem = CheckRequest(m_parser->get())) {
    RejectInput(400, problem->c_str());
    return;
  }
  const bool isCounted = m_pipeline.size() >= kUncountedEntries;
  if (isCounted && m_context.m_pipelinedRequests >= MaxPipelinedRequests()) {
    RejectInput(503, "too many pipelined requests");
    return;
  }
  const bool isLastRequest = !m_parser->get().keep_alive();
  m_bodyReservation->SetEvictable({});
  auto exchange = std::make_shared<RequestExchange>(m_context, TakeRequest(), MakeExchangeHooks());
  ResetParser();
  m_isClosing = m_isClosing || isLastRequest || m_context.m_isNearConnectionLimit ||
                m_context.m_phase != LifecyclePhase::Serving;
  m_pipeline.push_back({ exchange, std::nullopt, isCounted });
  m_context.m_pipelinedRequests += isCounted ? 1 : 0;
  exchange->Start();
}

RequestExchange::Hooks CallerConnection::MakeExchangeHooks()
{
  RequestExchange::Hooks hooks;
  hooks.m_onResponse = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Flush();
    }
  };
  hooks.m_hasCallerLeft = [weak = weak_from_this()] {
    const auto self = weak.lock();
    return !self || self->HasCallerLeft();
  };
  return hooks;
}

bool CallerConnection::HasCallerLeft()
{
  if (!m_hasCallerLeft && !m_isAborted && HasPeerClosed(m_socket)) {
    m_hasCallerLeft = true;
    asio::post(m_context.m_io,
               [self = shared_from_this()] { self->Abort("caller closed the connection"); });
  }
  return m_hasCallerLeft || m_isAborted;
}

void CallerConnection::RejectInput(unsigned aStatus, const char* aReason)
{
  m_context.m_log.Write(
    base::LogRecord("input_rejected").Add("status", aStatus).Add("reason", aReason));
  CallerResponse response;
  response.m_status = aStatus;
  response.m_reason = ReasonOf(aStatus);
  if (aStatus == 503) {
    response.m_headerLines = kBodyMemoryRetryAfter;
  }
  m_isClosing = true;
  m_pipeline.push_back({ nullptr, std::move(response), false });
  ResetParser(); // Releases the memory of the request.
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
  std::chrono::milliseconds pause = kTimerInterval;
  if (IsCallerDead()) {
    Abort("no acknowledgement from the caller's host");
    return;
  }
  if (m_isWriting && now - m_writeStarted > kMaxWriteTime) {
    Abort("write timeout");
    return;
  }
  if (!m_isReading && !m_pipeline.empty()) {
    // The pipeline is full, so that no read reports a close.
    if (HasCallerLeft()) {
      return;
    }
    pause = kCloseCheckInterval;
  } else if (m_isSendShutdown) {
    if (IsLingerOver(now)) {
      Abort("linger timeout");
      return;
    }
  } else if (IsMidRequest() && !m_isClosing && !m_isEvicted) {
    const bool hasHeader = m_parser->is_header_done();
    m_bodyReservation->SetStalled(now - m_lastActivity > kStallTime);
    const base::MonotonicTime deadline =
      hasHeader ? m_bodyDeadline : m_requestStarted + m_limits.m_headerTimeout;
    if (now > deadline || (hasHeader && now - m_lastActivity > m_limits.m_idleTimeout) ||
        now - m_requestStarted > kMaxRequestTime) {
      RejectInput(408, "timeout");
    } else {
      // If the first bytes arrived after the timer was set, the timeout expires between two checks.
      pause = TimerIntervalUntil(deadline, now);
    }
  } else if (m_pipeline.empty() && !m_isWriting && now - m_lastActivity > IdleTimeout() &&
             !HasUnreadInput()) {
    Abort("idle timeout");
    return;
  }
  StartTimer(pause);
}

bool CallerConnection::IsLingerOver(base::MonotonicTime aNow)
{
  if (HasUnacknowledgedBytes(m_socket)) {
    // The end of the response has not arrived, and a reset would cut it.
    m_lastActivity = aNow;
    return aNow - m_sendShutdownAt > kMaxWriteTime;
  }
  return aNow - m_lastActivity > kLingerTimeout;
}

bool CallerConnection::IsCallerDead()
{
  const bool isAwaited = m_isWriting || m_isSendShutdown || !m_pipeline.empty();
  const auto observation = isAwaited ? ObservePeer(m_socket) : std::nullopt;
  return observation && m_liveness.IsDead(*observation, m_context.m_clock.Monotonic());
}

void CallerConnection::Flush()
{
  if (m_isAborted || m_hasCallerLeft) {
    return;
  }
  if (m_isWriting) {
    SetWaitingEvictable();
    return;
  }
  std::vector<std::string> texts;
  std::vector<std::shared_ptr<BodyMemoryBudget::Reservation>> reservations;
  while (!m_pipeline.empty() && m_pipeline.front().IsReady()) {
    PipelineEntry entry = std::move(m_pipeline.front());
    m_pipeline.pop_front();
    m_context.m_pipelinedRequests -= entry.m_isCounted ? 1 : 0;
    const bool isLastResponse = m_isClosing && m_pipeline.empty();
    CallerResponse& response = entry.Response();
    if (response.m_bodyReservation) {
      response.m_bodyReservation->SetEvictable({});
      reservations.push_back(std::move(response.m_bodyReservation));
    }
    Serialize(response, entry.m_exchange && entry.m_exchange->IsHead(), isLastResponse, texts);
  }
  std::size_t bytes = 0;
  for (const std::string& text : texts) {
    bytes += text.size();
  }
  if (bytes > kUncountedBytes) {
    // A caller that reads slowly must not keep memory from others.
    for (const auto& reservation : reservations) {
      reservation->SetEvictable([this] { OnResponseEvicted(); });
    }
    m_writtenReservations = std::move(reservations);
  }
  SetWaitingEvictable();
  if (!texts.empty()) {
    Write(std::move(texts));
  }
}

void CallerConnection::SetWaitingEvictable()
{
  for (PipelineEntry& entry : m_pipeline) {
    if (const auto& reservation = entry.IsReady() ? entry.Response().m_bodyReservation : nullptr) {
      reservation->SetEvictable([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnResponseEvicted();
        }
      });
    }
  }
}

void CallerConnection::Serialize(CallerResponse& aResponse,
                                 bool aIsHead,
                                 bool aIsLast,
                                 std::vector<std::string>& aTexts)
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
  aTexts.push_back(std::move(text));
  if (!aIsHead && !hasNoBody && !aResponse.m_body.empty()) {
    aTexts.push_back(std::move(aResponse.m_body));
  }
}

void CallerConnection::Write(std::vector<std::string> aTexts)
{
  m_isWriting = true;
  m_writeStarted = m_context.m_clock.Monotonic();
  m_writeTexts = std::move(aTexts);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(m_writeTexts.size());
  for (const std::string& text : m_writeTexts) {
    buffers.push_back(asio::buffer(text));
  }
  asio::async_write(m_socket,
                    buffers,
                    [self = shared_from_this()](const boost::system::error_code& aError,
                                                std::size_t) { self->OnWritten(aError); });
}

void CallerConnection::ReleaseWritten()
{
  for (const auto& reservation : m_writtenReservations) {
    reservation->SetEvictable({});
  }
  m_writtenReservations.clear();
}

void CallerConnection::OnResponseEvicted()
{
  asio::post(m_context.m_io, [self = shared_from_this()] {
    self->Abort("memory of the response given to another");
  });
}

void CallerConnection::OnWritten(const boost::system::error_code& aError)
{
  m_isWriting = false;
  m_writeTexts = {};
  ReleaseWritten();
  if (m_isAborted) {
    return;
  }
  if (aError) {
    Abort("write: " + aError.message());
    return;
  }
  m_lastActivity = m_context.m_clock.Monotonic();
  Flush();
  if (m_isWriting) {
    return;
  }
  if (m_isClosing && m_pipeline.empty()) {
    ShutdownSend();
    return;
  }
  if (ParseContained()) {
    Read();
  }
}

void CallerConnection::ShutdownSend()
{
  // Closing a socket with unread bytes resets the connection, and the response may be lost.
  boost::system::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  m_isSendShutdown = true;
  m_sendShutdownAt = m_context.m_clock.Monotonic();
  m_lastActivity = m_sendShutdownAt;
  Read();
}

void CallerConnection::CloseWhenIdle()
{
  if (m_isClosing) {
    return;
  }
  if (IsMidRequest() || HasUnreadInput()) {
    return; // The request will still be answered; its response closes the connection.
  }
  m_isClosing = true;
  if (m_pipeline.empty() && !m_isWriting) {
    ShutdownSend();
  }
}

bool CallerConnection::HasUnreadInput() const
{
  // The event loop may be busy with other connections.
  return HasUnreadBytes(m_socket);
}

std::optional<base::MonotonicTime> CallerConnection::IdleSince() const
{
  if (!m_pipeline.empty() || m_isWriting ||
      (!m_isClosing && (IsMidRequest() || HasUnreadInput()))) {
    return std::nullopt;
  }
  return m_lastActivity;
}

std::optional<base::MonotonicTime> CallerConnection::WaitingSince() const
{
  if (m_isWriting) {
    return m_writeStarted;
  }
  if (m_pipeline.empty() && IsMidRequest() && !m_isClosing) {
    return m_requestStarted;
  }
  return std::nullopt;
}

void CallerConnection::LogUndelivered() const
{
  const auto blocking =
    std::ranges::find_if(m_pipeline, [](const PipelineEntry& aEntry) { return !aEntry.IsReady(); });
  for (const PipelineEntry& entry : m_pipeline) {
    if (blocking != m_pipeline.end() && entry.m_exchange && entry.IsReady()) {
      m_context.m_log.Write(base::LogRecord("response_undelivered")
                              .Add("id", entry.m_exchange->Id())
                              .Add("behind", blocking->m_exchange->Id())
                              .Add("reason", "caller closed the connection"));
    }
  }
}

void CallerConnection::LogAbort(std::string_view aReason) const
{
  if (m_pipeline.empty() && !m_isWriting && !(IsMidRequest() && !m_isClosing)) {
    return;
  }
  m_context.m_log.Write(base::LogRecord("caller_connection_aborted")
                          .Add("reason", aReason)
                          .Add("unanswered", m_pipeline.size())
                          .Add("writing", m_isWriting ? 1 : 0)
                          .Add("partly_read", IsMidRequest() && !m_isClosing ? 1 : 0));
}

void CallerConnection::Abort(std::string_view aReason)
{
  if (m_isAborted) {
    return;
  }
  m_isAborted = true;
  LogAbort(aReason);
  ReleaseWritten();
  m_timer.cancel();
  LogUndelivered();
  for (const PipelineEntry& entry : m_pipeline) {
    m_context.m_pipelinedRequests -= entry.m_isCounted ? 1 : 0;
    if (entry.m_exchange) {
      entry.m_exchange->Cancel();
    }
  }
  m_pipeline.clear();
  boost::system::error_code ignored;
  m_socket.close(ignored);
  const OnClosed onClosed = std::move(m_onClosed);
  onClosed(this);
}

} // namespace jaylane::gateway
