#include "ScriptedUpstream.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace jaylane::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Receive buffer of an upstream that does not read bodies; keeps larger requests from being
/// written.
constexpr int kSmallBufferBytes = 4 * 1024;
/// Receive buffer of an upstream that reads bodies late, and its largest segment.
constexpr int kPausedBufferBytes = 16 * 1024;
constexpr int kSegmentBytes = 1448;

void WriteInPieces(tcp::socket& aSocket, const Script& aScript, boost::system::error_code& aError)
{
  const std::string_view bytes = aScript.m_bytes;
  const std::size_t piece = aScript.m_pieceBytes > 0 ? aScript.m_pieceBytes : bytes.size();
  asio::write(aSocket, asio::buffer(bytes.substr(0, piece)), aError);
  for (std::size_t sent = piece; sent < bytes.size() && !aError; sent += piece) {
    std::this_thread::sleep_for(aScript.m_piecePause);
    asio::write(aSocket, asio::buffer(bytes.substr(sent, piece)), aError);
  }
}

} // namespace

std::string SeenRequest::Header(const std::string& aName) const
{
  const std::string start = std::string{ "\r\n" }.append(aName).append(": ");
  const std::size_t at = m_head.find(start);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t value = at + start.size();
  return m_head.substr(value, m_head.find("\r\n", value) - value);
}

ScriptedUpstream::ScriptedUpstream(Handler aHandler, BodyReading aBodyReading)
  : m_handler(std::move(aHandler))
  , m_bodyReading(aBodyReading)
  , m_acceptor(m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
  if (m_bodyReading == BodyReading::AfterPause) {
    // A window below the segment size of loopback connections would pass little more than one
    // segment for each window probe.
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(kPausedBufferBytes));
    const int segment = kSegmentBytes;
    ::setsockopt(m_acceptor.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  }
  m_thread = std::thread([this] {
    for (std::size_t connection = 0;; ++connection) {
      boost::system::error_code error;
      tcp::socket socket = m_acceptor.accept(error);
      if (error) {
        return;
      }
      if (m_bodyReading == BodyReading::None) {
        socket.set_option(asio::socket_base::receive_buffer_size(kSmallBufferBytes), error);
      }
      std::lock_guard lock(m_mutex);
      m_sockets.push_back(socket.native_handle());
      m_sessions.emplace_back([this, connection, moved = std::move(socket)]() mutable {
        Serve(std::move(moved), connection);
      });
    }
  });
}

ScriptedUpstream::~ScriptedUpstream()
{
  ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
  m_thread.join();
  {
    std::lock_guard lock(m_mutex);
    for (const int socket : m_sockets) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& session : m_sessions) {
    session.join();
  }
}

std::string ScriptedUpstream::Address() const
{
  return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
}

std::vector<SeenRequest> ScriptedUpstream::Seen() const
{
  std::lock_guard lock(m_mutex);
  return m_seen;
}

std::size_t ScriptedUpstream::AbandonedCount() const
{
  std::lock_guard lock(m_mutex);
  return m_abandoned;
}

bool DropArrivingPackets(int aSocket)
{
  sock_filter dropAll{ BPF_RET | BPF_K, 0, 0, 0 };
  const sock_fprog program{ 1, &dropAll };
  return ::setsockopt(aSocket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

void ScriptedUpstream::FailHost(tcp::socket& aSocket)
{
  if (DropArrivingPackets(aSocket.native_handle())) {
    pollfd waited{ aSocket.native_handle(), 0, 0 };
    ::poll(&waited, 1, -1);
  }
}

void ScriptedUpstream::Serve(tcp::socket aSocket, std::size_t aConnection)
{
  std::string buffer;
  boost::system::error_code error;
  while (true) {
    const std::size_t head =
      asio::read_until(aSocket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
    if (error) {
      break;
    }
    SeenRequest request{ buffer.substr(0, head), {}, aConnection };
    buffer.erase(0, head);
    const std::string length = request.Header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    const bool isBodyRead = m_bodyReading == BodyReading::Whole;
    if (isBodyRead && buffer.size() < size) {
      asio::read(
        aSocket, asio::dynamic_buffer(buffer), asio::transfer_exactly(size - buffer.size()), error);
    }
    if (isBodyRead) {
      request.m_body = buffer.substr(0, size);
      buffer.erase(0, std::min(size, buffer.size()));
    }
    {
      std::lock_guard lock(m_mutex);
      m_seen.push_back(request);
    }
    const Script script = m_handler(request);
    const bool isPauseBeforeBody =
      m_bodyReading == BodyReading::AfterPause || script.m_isHostFailing;
    if (isPauseBeforeBody) {
      std::this_thread::sleep_for(script.m_pause);
    }
    if (script.m_isHostFailing) {
      asio::write(aSocket, asio::buffer(script.m_bytes), error);
      FailHost(aSocket);
      break;
    }
    if (m_bodyReading == BodyReading::AfterPause && buffer.size() < size) {
      asio::read(
        aSocket, asio::dynamic_buffer(buffer), asio::transfer_exactly(size - buffer.size()), error);
      buffer.erase(0, std::min(size, buffer.size()));
    }
    pollfd waited{ aSocket.native_handle(), POLLIN | POLLRDHUP, 0 };
    if (script.m_pause.count() > 0 && !isPauseBeforeBody &&
        ::poll(&waited, 1, static_cast<int>(script.m_pause.count())) > 0) {
      std::lock_guard lock(m_mutex);
      ++m_abandoned;
      break;
    }
    WriteInPieces(aSocket, script, error);
    if (script.m_shutdown) {
      aSocket.shutdown(tcp::socket::shutdown_send, error);
    }
    std::this_thread::sleep_for(script.m_pauseBeforeEnd);
    if (script.m_reset) {
      aSocket.set_option(asio::socket_base::linger(true, 0), error);
    }
    if (error || script.m_close || script.m_reset) {
      break;
    }
  }
  std::lock_guard lock(m_mutex);
  std::erase(m_sockets, aSocket.native_handle());
  aSocket.close(error);
}

std::string OkResponse(const SeenRequest& aRequest, const std::string& aBody)
{
  return fmt::format(
    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s\r\nContent-Length: {}\r\n\r\n{}",
    aRequest.Header("Request-Id"),
    aBody.size(),
    aBody);
}

std::string ResponseWith(const SeenRequest& aRequest, const std::string& aLines)
{
  std::string response = OkResponse(aRequest, "x");
  response.insert(response.find("\r\n") + 2, aLines);
  return response;
}

} // namespace jaylane::gateway
