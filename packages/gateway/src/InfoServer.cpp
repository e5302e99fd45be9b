#include "InfoServer.h"

#include "Listen.h"
#include "SocketOptions.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>
#include <memory>
#include <optional>

namespace jaylane::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Limits for requests, which have a few hundred bytes.
constexpr std::uint32_t kMaxHeaderBytes = 8 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 1024;
constexpr std::size_t kReadBytes = 1024;
/// Received bytes that the parser may leave in the buffer: a chunk's size and extension, or the
/// trailer.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeaderBytes;
/// Time from the last response to the end of the next request.
constexpr std::chrono::seconds kRequestLimit{ 30 };
/// Delay after a failed accept, which usually means that no descriptor is free. Without it, the
/// thread would do nothing but fail to accept.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

/// Part of the descriptors that the connections of one server may take. There are four servers, and
/// a third of the descriptors is reserved from callers, so that half of that part is left for
/// upstreams, the store and files.
constexpr std::size_t kDescriptorDivisor = 24;
constexpr std::size_t kMinConnections = 8;

} // namespace

/// One connection, whose requests are answered one after the other.
class InfoServer::Session : public std::enable_shared_from_this<Session>
{
public:
  /// @param aServed counts the connections and responses of the server.
  Session(asio::io_context& aIo,
          asio::ip::tcp::socket aSocket,
          const InfoServer::Handler& aHandler,
          std::shared_ptr<std::uint64_t> aServed)
    : m_socket(std::move(aSocket))
    , m_timer(aIo)
    , m_handler(aHandler)
    , m_served(std::move(aServed))
    , m_lastServed(++*m_served)
  {
  }

  /// @return a number that is smallest for the connection that was opened or answered first.
  std::uint64_t LastServed() const { return m_lastServed; }

  void Close()
  {
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

  void Read()
  {
    if (!m_parser) {
      m_parser.emplace();
      m_parser->eager(true);
      m_parser->header_limit(kMaxHeaderBytes);
      m_parser->body_limit(kMaxBodyBytes);
      StartTimer();
    }
    m_socket.async_read_some(
      m_buffer.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& aError, std::size_t aBytes) {
        if (!aError) {
          self->m_buffer.commit(aBytes);
          self->Parse();
        }
      });
  }

private:
  void StartTimer()
  {
    m_timer.expires_after(kRequestLimit);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        boost::system::error_code ignored;
        self->m_socket.close(ignored);
      }
    });
  }

  void Parse()
  {
    boost::system::error_code error;
    m_buffer.consume(m_parser->put(m_buffer.data(), error));
    const bool isTooLong = m_buffer.size() > kMaxUnparsedBytes;
    if ((error && error != http::error::need_more) || isTooLong) {
      return;
    }
    if (m_parser->is_done()) {
      Respond();
    } else {
      Read();
    }
  }

  void Respond()
  {
    const auto& request = m_parser->get();
    const auto target = request.target();
    const auto acceptEncoding = request[http::field::accept_encoding];
    InfoResponse response = m_handler(
      { { target.data(), target.size() }, { acceptEncoding.data(), acceptEncoding.size() } });
    const bool keepAlive = request.keep_alive();
    m_responseHead = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
                                 response.m_status,
                                 response.m_status == 200 ? "OK" : "Unavailable",
                                 response.m_contentType,
                                 response.m_body->size());
    if (!response.m_contentEncoding.empty()) {
      m_responseHead += fmt::format("Content-Encoding: {}\r\n", response.m_contentEncoding);
    }
    m_responseHead += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    m_responseBody = std::move(response.m_body);
    m_parser.reset();
    asio::async_write(
      m_socket,
      std::array<asio::const_buffer, 2>{ asio::buffer(m_responseHead),
                                         asio::buffer(*m_responseBody) },
      [self = shared_from_this(), keepAlive](const boost::system::error_code& aError, std::size_t) {
        self->m_lastServed = ++*self->m_served;
        std::string().swap(self->m_responseHead);
        self->m_responseBody.reset();
        if (!aError && keepAlive) {
          self->Read();
        }
      });
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  InfoServer::Handler m_handler;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  /// The response that is being written.
  std::string m_responseHead;
  std::shared_ptr<const std::string> m_responseBody;
  std::shared_ptr<std::uint64_t> m_served;
  std::uint64_t m_lastServed;
};

InfoServer::InfoServer(asio::io_context& aIo, Handler aHandler, std::size_t aMaxConnections)
  : m_io(aIo)
  , m_handler(std::move(aHandler))
  , m_maxConnections(aMaxConnections)
  , m_acceptor(aIo)
  , m_acceptTimer(aIo)
{
}

std::size_t InfoServer::MaxConnections(std::uint32_t aMaxDescriptors)
{
  return std::max(kMinConnections, aMaxDescriptors / kDescriptorDivisor);
}

base::Status InfoServer::Listen(const std::string& aAddress)
{
  base::Status status = ListenOn(m_acceptor, aAddress);
  if (status) {
    Accept();
  }
  return status;
}

void InfoServer::Accept()
{
  m_acceptor.async_accept(
    [this](const boost::system::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (!m_acceptor.is_open()) {
        return;
      }
      if (aError) {
        AcceptLater();
        return;
      }
      Accept();
      SetTcpOptions(aSocket, {});
      AddSession(std::move(aSocket));
    });
}

void InfoServer::AddSession(asio::ip::tcp::socket aSocket)
{
  std::erase_if(m_sessions,
                [](const std::weak_ptr<Session>& aSession) { return aSession.expired(); });
  if (m_sessions.size() >= m_maxConnections) {
    const auto longest =
      std::ranges::min_element(m_sessions, {}, [](const std::weak_ptr<Session>& aSession) {
        return aSession.lock()->LastServed();
      });
    longest->lock()->Close();
    m_sessions.erase(longest);
  }
  auto session = std::make_shared<Session>(m_io, std::move(aSocket), m_handler, m_served);
  m_sessions.push_back(session);
  session->Read();
}

void InfoServer::AcceptLater()
{
  m_acceptTimer.expires_after(kAcceptRetryDelay);
  m_acceptTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && m_acceptor.is_open()) {
      Accept();
    }
  });
}

void InfoServer::Close()
{
  m_acceptTimer.cancel();
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

} // namespace jaylane::gateway
