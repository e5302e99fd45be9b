#include "HttpFetch.h"

#include "Compression.h"
#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <fmt/format.h>
#include <utility>

namespace jaylane::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using Clock = asio::steady_timer::clock_type;

constexpr std::size_t kReadBytes = 16 * 1024;
/// Received bytes that the parser may leave in the buffer: a chunk's size and extension, or the
/// trailer.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

} // namespace

HttpFetch::HttpFetch(asio::io_context& aIo, std::string aAddress)
  : m_io(aIo)
  , m_address(std::move(aAddress))
  , m_socket(aIo)
  , m_timer(aIo)
{
}

void HttpFetch::Start(FetchRequest aRequest, OnDone aOnDone)
{
  m_request = std::move(aRequest);
  m_onDone = std::move(aOnDone);
  ++m_exchangeNumber;
  m_receivedBytes = 0;
  m_startedAt = Clock::now();
  m_bodyBeganAt.reset();
  ScheduleTimeout();
  if (m_socket.is_open() && IsIdleAndOpen(m_socket)) {
    Send();
  } else {
    Connect();
  }
}

void HttpFetch::Close()
{
  ++m_exchangeNumber;
  m_onDone = nullptr;
  m_timer.cancel();
  boost::system::error_code ignored;
  m_socket.close(ignored);
  m_buffer.clear();
}

void HttpFetch::CloseIfIdle()
{
  if (!m_onDone) {
    Close();
  }
}

void HttpFetch::ScheduleTimeout()
{
  m_timer.expires_at(Deadline());
  m_timer.async_wait([self = shared_from_this(),
                      exchange = m_exchangeNumber](const boost::system::error_code& aError) {
    if (!aError && exchange == self->m_exchangeNumber) {
      self->OnTimer();
    }
  });
}

HttpFetch::TimePoint HttpFetch::Deadline() const
{
  if (!m_request.m_transfer || !m_bodyBeganAt) {
    return m_startedAt + m_request.m_timeout;
  }
  return std::min(m_lastReceivedAt + m_request.m_transfer->m_pause,
                  *m_bodyBeganAt + m_request.m_transfer->m_total);
}

void HttpFetch::OnTimer()
{
  const TimePoint now = Clock::now();
  if (IsReceiving() && m_request.m_transfer) {
    boost::system::error_code ignored;
    if (m_socket.available(ignored) > 0) {
      m_lastReceivedAt = now; // They may have arrived in time and the event loop be late.
    }
  }
  if (Deadline() > now) {
    ScheduleTimeout();
    return;
  }
  FetchResponse response;
  response.m_hasTimedOut = true;
  response.m_wasArriving =
    IsReceiving() && m_request.m_transfer && now - m_lastReceivedAt < m_request.m_transfer->m_pause;
  Finish(std::move(response));
}

void HttpFetch::Connect()
{
  boost::system::error_code ignored;
  m_socket.close(ignored);
  m_buffer.clear();
  const auto endpoint = ParseEndpoint(m_address);
  if (!endpoint) {
    asio::post(m_io, [self = shared_from_this()] { self->Finish({}); });
    return;
  }
  OpenForConnecting(m_socket, *endpoint);
  m_socket.async_connect(*endpoint,
                         [self = shared_from_this(),
                          exchange = m_exchangeNumber](const boost::system::error_code& aError) {
                           if (exchange != self->m_exchangeNumber) {
                             return;
                           }
                           if (aError) {
                             self->Finish({});
                             return;
                           }
                           SetTcpOptions(self->m_socket, {});
                           self->Send();
                         });
}

void HttpFetch::Send()
{
  m_requestText = fmt::format(
    "{} {} HTTP/1.1\r\nHost: {}\r\n", m_request.m_method, m_request.m_target, m_address);
  if (m_request.m_acceptsGzip) {
    m_requestText += fmt::format("Accept-Encoding: {}\r\n", kGzipEncoding);
  }
  if (!m_request.m_body.empty()) {
    m_requestText += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n",
                                 m_request.m_body.size());
  }
  m_requestText += "\r\n";
  m_requestText += m_request.m_body;
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->body_limit(m_request.m_maxBodyBytes);
  asio::async_write(m_socket,
                    asio::buffer(m_requestText),
                    [self = shared_from_this()](const boost::system::error_code&, std::size_t) {});
  Read();
}

void HttpFetch::Read()
{
  m_socket.async_read_some(m_buffer.prepare(kReadBytes),
                           [self = shared_from_this(), exchange = m_exchangeNumber](
                             const boost::system::error_code& aError, std::size_t aBytes) {
                             if (exchange == self->m_exchangeNumber) {
                               self->OnRead(aError, aBytes);
                             }
                           });
}

void HttpFetch::OnRead(const boost::system::error_code& aError, std::size_t aBytes)
{
  if (aError) {
    Finish({});
    return;
  }
  m_buffer.commit(aBytes);
  m_receivedBytes += aBytes;
  m_lastReceivedAt = Clock::now();
  while (m_buffer.size() > 0 && !m_parser->is_done()) {
    boost::system::error_code error;
    m_buffer.consume(m_parser->put(m_buffer.data(), error));
    if (error == http::error::need_more && m_buffer.size() <= kMaxUnparsedBytes) {
      break;
    }
    if (error) {
      Finish({});
      return;
    }
  }
  const bool isDone = m_parser->is_done();
  if (!m_bodyBeganAt && (isDone || !m_parser->get().body().empty())) {
    m_bodyBeganAt = m_lastReceivedAt;
    if (!isDone) {
      ScheduleTimeout(); // The limit for pauses may be shorter than the one until here.
    }
  }
  if (!isDone) {
    Read();
    return;
  }
  auto message = m_parser->release();
  FetchResponse response;
  response.m_status = message.result_int();
  response.m_body = std::move(message.body());
  response.m_fields = std::move(message);
  if (!Decode(response)) {
    Finish({});
    return;
  }
  if (!response.m_fields.count(http::field::connection) && m_buffer.size() == 0) {
    ++m_exchangeNumber;
    m_timer.cancel();
    Describe(response);
    const OnDone done = std::exchange(m_onDone, nullptr);
    done(std::move(response));
    return;
  }
  Finish(std::move(response));
}

bool HttpFetch::Decode(FetchResponse& aResponse) const
{
  const auto encoding = aResponse.m_fields.find(http::field::content_encoding);
  if (!m_request.m_acceptsGzip || encoding == aResponse.m_fields.end()) {
    return true;
  }
  if (!boost::beast::iequals(encoding->value(), kGzipEncoding)) {
    return false;
  }
  auto body = DecompressGzip(aResponse.m_body, m_request.m_maxBodyBytes);
  if (!body) {
    return false;
  }
  aResponse.m_body = std::move(*body);
  aResponse.m_fields.erase(encoding);
  return true;
}

void HttpFetch::Finish(FetchResponse aResponse)
{
  Describe(aResponse);
  const OnDone done = std::exchange(m_onDone, nullptr);
  Close();
  if (done) {
    done(std::move(aResponse));
  }
}

void HttpFetch::Describe(FetchResponse& aResponse) const
{
  aResponse.m_receivedBytes = m_receivedBytes;
  if (m_bodyBeganAt) {
    aResponse.m_delay =
      std::chrono::duration_cast<std::chrono::milliseconds>(*m_bodyBeganAt - m_startedAt);
  }
}

} // namespace jaylane::gateway
