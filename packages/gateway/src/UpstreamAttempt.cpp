#include "UpstreamAttempt.h"

#include "HeaderLines.h"
#include "SocketOptions.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace jaylane::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using policy::AttemptFailure;

/// Longest time to establish a connection. Round trips between regions take less than 0.1 s, and an
/// upstream that drops the SYN packet is overloaded or gone.
constexpr std::chrono::milliseconds kConnectTimeout{ 350 };
/// Longest time for the health check before a request, and its largest response body.
constexpr std::chrono::milliseconds kConfirmationTimeout{ 500 };
constexpr std::uint64_t kMaxConfirmationBytes = 64 * 1024;
/// Response bodies are buffered whole, so that a truncated one is never passed on as complete.
constexpr std::uint64_t kMaxResponseBytes = 64ULL << 20;
constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
/// Buffer space for the first read of a response, which is allocated for as long as the upstream
/// runs the request, and for further reads.
constexpr std::size_t kFirstReadBytes = 2 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
/// Received bytes that the parser may leave in the buffer. Only framing stays there until it is
/// complete: a chunk's size and extension, or the trailer.
constexpr std::size_t kMaxUnparsedBytes = kMaxResponseHeaderBytes;
/// Response headers and framing that are not counted against the memory for bodies.
constexpr std::size_t kUncountedBytes = kReadBytes;
/// Statuses that a response may have. Others have no meaning in HTTP, so what they report is
/// unknown.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
/// Responses that may be skipped, interim ones and those to other requests.
constexpr std::uint32_t kMaxSkippedResponses = 16;
/// Time without an acknowledgement after which an upstream's host counts as dead.
constexpr std::chrono::milliseconds kSilenceLimit{ 2000 };
/// Interval between checks of that.
constexpr std::chrono::milliseconds kLivenessInterval{ 250 };
/// Longest interval between window probes, of which several must stay unanswered.
constexpr std::chrono::milliseconds kMaxProbeInterval{ 1000 };
/// Idle timeout of an upstream that does not state one in Keep-Alive.
constexpr std::chrono::seconds kDefaultIdleTimeout{ 8 };

std::optional<std::chrono::seconds> KeepAliveTimeout(std::string_view aValue)
{
  const std::size_t at = aValue.find("timeout=");
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  long seconds = 0;
  const std::string_view digits = aValue.substr(at + std::string_view{ "timeout=" }.size());
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds{ seconds };
}

/// Parses the seconds of a Retry-After header, which may have a fraction.
std::optional<std::chrono::milliseconds> ParseSeconds(std::string_view aValue)
{
  constexpr double kMaxSeconds = 1e6;
  double seconds = 0;
  const char* end = aValue.data() + aValue.size();
  const auto parsed = std::from_chars(aValue.data(), end, seconds);
  if (parsed.ec != std::errc{} || parsed.ptr != end || !(seconds >= 0)) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(
    std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

bool IsStatusValid(unsigned aStatus)
{
  return aStatus >= kMinStatus && aStatus <= kMaxStatus;
}

std::string_view ToStringView(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

UpstreamAttempt::UpstreamAttempt(const Dependencies& aDependencies,
                                 const policy::Upstream& aUpstream,
                                 std::shared_ptr<const CallerRequest> aRequest,
                                 std::chrono::milliseconds aRemaining,
                                 OnDone aOnDone)
  : m_dependencies(aDependencies)
  , m_upstream(aUpstream)
  , m_request(std::move(aRequest))
  , m_remaining(aRemaining)
  , m_onDone(std::move(aOnDone))
  , m_connectTimer(aDependencies.m_io)
  , m_livenessTimer(aDependencies.m_io)
  , m_liveness({ .m_silenceLimit = kSilenceLimit })
{
}

void UpstreamAttempt::Start()
{
  m_startedAt = m_dependencies.m_clock.Monotonic();
  // On a new connection, the response to a request without an id cannot be another request's.
  if (!m_request->m_id.empty()) {
    m_connection = m_dependencies.m_pool.Take(policy::UpstreamIdentity::Of(m_upstream));
  }
  if (m_connection) {
    m_isConnectionKept = true;
    Send();
  } else if (!m_dependencies.m_confirmationPath.empty()) {
    Confirm();
  } else {
    Connect();
  }
}

void UpstreamAttempt::Confirm()
{
  m_confirmation = std::make_shared<HttpFetch>(m_dependencies.m_io, m_upstream.m_address);
  m_confirmation->Start({ "GET",
                          m_dependencies.m_confirmationPath,
                          {},
                          std::min(kConfirmationTimeout, RemainingTime()),
                          kMaxConfirmationBytes },
                        [self = shared_from_this()](const FetchResponse& aResponse) {
                          if (!self->m_ended) {
                            self->OnConfirmation(aResponse);
                          }
                        });
}

void UpstreamAttempt::OnConfirmation(const FetchResponse& aResponse)
{
  const auto health = m_dependencies.m_wire.m_parseHealth(aResponse.m_status, aResponse.m_fields);
  if (health && health->m_upstream == m_upstream.m_id) {
    Connect();
    return;
  }
  AttemptResult result;
  // A busy upstream may respond late; that must not take it out of use for all requests.
  const bool isUnreachable = aResponse.m_status == 0 && !aResponse.m_hasTimedOut;
  result.m_failure = isUnreachable ? AttemptFailure::Unreachable : AttemptFailure::Withdrawn;
  result.m_isUnconfirmed = true;
  result.m_isOtherUpstream = health.has_value();
  result.m_cause = health ? "health check answered by another upstream" : "health check failed";
  result.m_latency = m_dependencies.m_clock.Monotonic() - m_startedAt;
  Finish(std::move(result));
}

void UpstreamAttempt::Cancel()
{
  m_ended = true;
  m_onDone = nullptr;
  CloseConnection();
}

void UpstreamAttempt::CloseConnection()
{
  m_isFinishingWrite = false;
  if (m_confirmation) {
    m_confirmation->Close();
  }
  m_connectTimer.cancel();
  m_livenessTimer.cancel();
  if (m_connection) {
    boost::system::error_code ignored;
    m_connection->m_socket.close(ignored);
  }
}

void UpstreamAttempt::FinishWrite()
{
  m_isFinishingWrite = true;
  m_connectTimer.expires_after(RemainingTime());
  m_connectTimer.async_wait([weak = weak_from_this()](const boost::system::error_code& aError) {
    const auto self = weak.lock();
    if (!aError && self) {
      self->CloseConnection();
    }
  });
}

void UpstreamAttempt::Connect()
{
  m_connectStartedAt = m_dependencies.m_clock.Monotonic();
  const auto endpoint = ParseEndpoint(m_upstream.m_address);
  if (!endpoint) {
    asio::post(m_dependencies.m_io, [self = shared_from_this()] {
      self->Fail(AttemptFailure::Unreachable, "malformed address");
    });
    return;
  }
  m_connection = std::make_unique<UpstreamConnection>(m_dependencies.m_io);
  m_connection->m_upstream = policy::UpstreamIdentity::Of(m_upstream);
  m_connectTimer.expires_after(kConnectTimeout);
  m_connectTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    // The timeout and the connection may complete in the same turn of the event loop. Once the
    // request is sent it may run, so the attempt must not end as unreachable.
    if (!aError && !self->m_isSendStarted) {
      self->Fail(AttemptFailure::Unreachable, "connect timeout");
    }
  });
  OpenForConnecting(m_connection->m_socket, *endpoint);
  m_connection->m_socket.async_connect(
    *endpoint, [self = shared_from_this()](const boost::system::error_code& aError) {
      if (self->m_ended) {
        return;
      }
      self->m_connectTimer.cancel();
      if (aError) {
        self->Fail(AttemptFailure::Unreachable, "connect: " + aError.message());
        return;
      }
      self->m_connectTime = self->m_dependencies.m_clock.Monotonic() - self->m_connectStartedAt;
      const auto& mayReceive = self->m_dependencies.m_mayReceive;
      if (mayReceive && !mayReceive(self->m_upstream)) {
        self->Fail(AttemptFailure::Withdrawn, "withdrawn during the connect");
        return;
      }
      TcpTimeouts timeouts;
      timeouts.m_isPeerObserved = true;
      timeouts.m_maxProbeInterval = kMaxProbeInterval;
      SetTcpOptions(self->m_connection->m_socket, timeouts);
      self->Send();
    });
}

std::chrono::milliseconds UpstreamAttempt::RemainingTime() const
{
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
    m_dependencies.m_clock.Monotonic() - m_startedAt);
  return std::max(m_remaining - elapsed, std::chrono::milliseconds{ 1 });
}

std::string UpstreamAttempt::RequestHead() const
{
  const WireFormat& wire = m_dependencies.m_wire;
  std::string head = m_request->m_method;
  head.append(" ").append(m_request->m_target).append(" HTTP/1.1\r\n");
  head.append(m_request->m_headerLines);
  head.append(wire.m_timeout).append(": ");
  head.append(std::to_string(RemainingTime().count())).append("\r\n");
  head.append(wire.m_targetUpstream).append(": ").append(m_upstream.m_id).append("\r\n");
  if (!m_request->m_team.empty()) {
    head.append(wire.m_team).append(": ").append(m_request->m_team).append("\r\n");
  }
  if (m_request->m_hasBody) {
    head.append("Content-Length: ").append(std::to_string(m_request->m_body.size()));
    head.append("\r\n");
  }
  head.append("\r\n");
  return head;
}

void UpstreamAttempt::Send()
{
  m_isSendStarted = true;
  m_head = RequestHead();
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(m_head),
                                                   asio::buffer(m_request->m_body) };
  asio::async_write(
    m_connection->m_socket,
    buffers,
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t) {
      // A failed write does not end the attempt: the upstream may already have responded, and the
      // pending read reports the end of the connection.
      self->m_writeResult = aError;
      if (self->m_isFinishingWrite) {
        self->CloseConnection();
      }
    });
  ResetParser();
  StartLivenessTimer();
  Read();
}

void UpstreamAttempt::StartLivenessTimer()
{
  m_livenessTimer.expires_after(kLivenessInterval);
  m_livenessTimer.async_wait([weak = weak_from_this()](const boost::system::error_code& aError) {
    const auto self = weak.lock();
    if (!aError && self && (!self->m_ended || self->m_isFinishingWrite)) {
      self->CheckLiveness();
    }
  });
}

void UpstreamAttempt::CheckLiveness()
{
  const auto observation = ObservePeer(m_connection->m_socket);
  if (!observation) {
    return; // The system's own timeout applies.
  }
  if (m_liveness.IsDead(*observation, m_dependencies.m_clock.Monotonic())) {
    if (m_isFinishingWrite) {
      CloseConnection();
      return;
    }
    FailLostConnection("no acknowledgement from the upstream's host");
    return;
  }
  StartLivenessTimer();
}

void UpstreamAttempt::ResetParser()
{
  m_parser.emplace();
  m_headBytes = 0;
  m_parser->eager(true);
  m_parser->header_limit(kMaxResponseHeaderBytes);
  m_parser->body_limit(kMaxResponseBytes);
  m_bodyReservation = m_dependencies.m_bodyBudget.MakeReservation();
  m_bodyReservation->SetEvictable([this] { OnEvicted(); });
  if (m_request->m_method == "HEAD") {
    m_parser->skip(true);
  }
}

void UpstreamAttempt::Read()
{
  m_connection->m_socket.async_read_some(
    m_buffer.prepare(m_hasResponseBytes ? kReadBytes : kFirstReadBytes),
    [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void UpstreamAttempt::OnRead(const boost::system::error_code& aError, std::size_t aBytes)
{
  if (m_ended || !m_parser) {
    return; // Without a parser, the response was evicted and the attempt fails soon.
  }
  if (aError == asio::error::eof && !m_writeResult) {
    // The write may have failed in the same turn of the event loop; its handler runs first then.
    asio::post(m_dependencies.m_io, [self = shared_from_this()] { self->OnEndOfFile(); });
    return;
  }
  if (aError == asio::error::eof) {
    OnEndOfFile();
    return;
  }
  if (aError) {
    FailLostConnection("read: " + aError.message());
    return;
  }
  m_hasResponseBytes = true;
  m_buffer.commit(aBytes);
  if (ParseBuffer()) {
    Read();
  }
}

void UpstreamAttempt::OnEndOfFile()
{
  if (m_ended || !m_parser) {
    return;
  }
  // The kernel reports a reset or a timeout once, to the write if one is pending, and the read gets
  // end-of-file as after an orderly close. If the orderly close came first, the write fails with
  // EPIPE.
  const boost::system::error_code written = m_writeResult.value_or(boost::system::error_code{});
  const bool isOrderly = !written || written == asio::error::broken_pipe;
  if (isOrderly && m_parser->got_some()) {
    boost::system::error_code error;
    m_parser->put_eof(error);
    if (!error && m_parser->is_done() && MatchesRequestId()) {
      OnComplete();
      return;
    }
  }
  FailLostConnection(written ? "write: " + written.message() : "end of file");
}

bool UpstreamAttempt::ParseBuffer()
{
  while (m_buffer.size() > 0) {
    boost::system::error_code error;
    const bool isHead = !m_parser->is_header_done();
    const std::size_t used = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(used);
    m_headBytes += isHead ? used : 0;
    if (m_parser->is_header_done() && !IsStatusValid(m_parser->get().result_int())) {
      Fail(AttemptFailure::Lost, "malformed response: status out of range");
      return false;
    }
    if (error == http::error::need_more) {
      if (m_buffer.size() > kMaxUnparsedBytes) {
        Fail(AttemptFailure::Lost, "response framing too long");
        return false;
      }
      break;
    }
    if (error) {
      Fail(AttemptFailure::Lost, "malformed response: " + error.message());
      return false;
    }
    if (!ReserveBodyMemory()) {
      return false;
    }
    if (!m_parser->is_done()) {
      continue;
    }
    const bool isInterim = m_parser->get().result_int() < 200;
    if (!isInterim && MatchesRequestId()) {
      OnComplete();
      return false;
    }
    if (++m_skippedResponses > kMaxSkippedResponses) {
      Fail(AttemptFailure::Lost, "too many responses to other requests");
      return false;
    }
    m_hasForeignResponse = m_hasForeignResponse || !isInterim;
    ResetParser();
  }
  return ReserveBodyMemory();
}

bool UpstreamAttempt::ReserveBodyMemory()
{
  const std::size_t other = m_headBytes + m_buffer.size();
  std::size_t bytes = other - std::min(other, kUncountedBytes);
  if (m_parser->is_header_done()) {
    // A body without a stated length is stored in a buffer that grows ahead of it.
    const std::string& body = m_parser->get().body();
    const bool isLengthStated = m_parser->content_length().has_value();
    bytes += isLengthStated ? body.size() : body.capacity();
  }
  if (m_bodyReservation->GrowTo(bytes)) {
    return true;
  }
  Fail(AttemptFailure::Lost, "no memory left for the response");
  return false;
}

void UpstreamAttempt::OnEvicted()
{
  m_parser.reset();
  // Another attempt, whose body needs the memory, is running now.
  asio::post(m_dependencies.m_io, [self = shared_from_this()] {
    self->Fail(AttemptFailure::Lost, "memory of the response given to another");
  });
}

bool UpstreamAttempt::MatchesRequestId() const
{
  // Upstreams may leave the id out where they reject a request unread. On a kept connection, such a
  // response may as well be a late copy of one to an earlier request.
  const auto id = m_parser->get()[m_dependencies.m_wire.m_requestId];
  return id.empty() ? !m_isConnectionKept : ToStringView(id) == m_request->m_id;
}

void UpstreamAttempt::OnComplete()
{
  const bool isDelimitedByClose = m_parser->need_eof();
  m_bodyReservation->SetEvictable({});
  AttemptResult result = TakeResponse();
  ReturnToPool(m_parser->get(), isDelimitedByClose);
  Finish(std::move(result));
}

AttemptResult UpstreamAttempt::TakeResponse()
{
  const WireFormat& wire = m_dependencies.m_wire;
  Parser::value_type& message = m_parser->get();
  AttemptResult result;
  result.m_latency = m_dependencies.m_clock.Monotonic() - m_startedAt;
  result.m_isSigned = message.count(wire.m_signature) > 0;
  if (message.result_int() == 503) {
    result.m_requestedPause = ParseSeconds(ToStringView(message[http::field::retry_after]));
  }
  if (message.count(wire.m_limit) > 0) {
    result.m_limit = wire.m_parseLimit(ToStringView(message[wire.m_limit]));
    result.m_isLimitReadable = result.m_limit.has_value();
  }
  result.m_isUpstreamLeaving = message.count(wire.m_leaving) > 0;
  if (const auto load = message[wire.m_load]; !load.empty()) {
    result.m_load = wire.m_parseLoad(ToStringView(load));
    result.m_isLoadUnreadable = !result.m_load;
  }
  // 421 Misdirected Request: the address belongs to another upstream, which did not run it.
  result.m_isOtherUpstream = message.result_int() == 421;
  if (message.count(wire.m_notExecuted) > 0 || result.m_isOtherUpstream) {
    result.m_failure = AttemptFailure::Rejected;
  }
  result.m_response.m_status = message.result_int();
  result.m_response.m_reason = std::string(ToStringView(message.reason()));
  result.m_response.m_headerLines = EndToEndHeaders(message, {});
  if (m_request->m_method == "HEAD" && message.count(http::field::content_length) > 0) {
    result.m_response.m_headLength =
      std::string(ToStringView(message[http::field::content_length]));
  }
  result.m_response.m_body = std::move(message.body());
  result.m_response.m_bodyReservation = std::move(m_bodyReservation);
  return result;
}

void UpstreamAttempt::ReturnToPool(const Parser::value_type& aMessage, bool aIsDelimitedByClose)
{
  // Bytes after the response belong to no request, more copies of a response may follow the first,
  // and an upstream that responded before it read the whole request body still expects the rest.
  const bool isRequestWritten = m_writeResult && !*m_writeResult;
  if (aIsDelimitedByClose || !isRequestWritten || !aMessage.keep_alive() || m_buffer.size() > 0 ||
      m_hasForeignResponse) {
    return;
  }
  const auto stated = KeepAliveTimeout(ToStringView(aMessage[http::field::keep_alive]));
  m_connection->m_idleTimeout = stated.value_or(kDefaultIdleTimeout);
  m_dependencies.m_pool.Put(std::move(m_connection));
}

void UpstreamAttempt::Fail(AttemptFailure aFailure, std::string aCause)
{
  AttemptResult result;
  result.m_failure = aFailure;
  result.m_cause = std::move(aCause);
  result.m_latency = m_dependencies.m_clock.Monotonic() - m_startedAt;
  Finish(std::move(result));
}

void UpstreamAttempt::FailLostConnection(const std::string& aCause)
{
  AttemptResult result;
  result.m_failure = AttemptFailure::Lost;
  result.m_connectionEnded = true;
  result.m_cause = aCause;
  if (!m_writeResult) {
    result.m_cause += " (request partly written)";
  }
  result.m_latency = m_dependencies.m_clock.Monotonic() - m_startedAt;
  Finish(std::move(result));
}

void UpstreamAttempt::Finish(AttemptResult aResult)
{
  if (m_ended) {
    return;
  }
  aResult.m_connectTime = m_connectTime;
  const OnDone done = std::move(m_onDone);
  // The caller is told that the request was accepted, so that the upstream must get all of it.
  const bool isAccepted = !aResult.m_failure && aResult.m_response.m_status < 300;
  if (isAccepted && m_connection && !m_writeResult) {
    m_ended = true;
    m_onDone = nullptr;
    FinishWrite();
  } else {
    Cancel();
  }
  done(std::move(aResult));
}

} // namespace jaylane::gateway
