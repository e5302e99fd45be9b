#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jaylane::gateway {

/// A request that an upstream received.
struct SeenRequest
{
  std::string m_head;
  std::string m_body;
  /// Number of the connection that carried it, from 0.
  std::size_t m_connection = 0;

  /// @return value of a header, or an empty string.
  std::string Header(const std::string& aName) const;
};

/// The bytes that an upstream sends in response to a request.
struct Script
{
  std::string m_bytes;
  /// Close or reset the connection afterwards.
  bool m_close = false;
  bool m_reset = false;
  /// Delay before the bytes.
  std::chrono::milliseconds m_pause{ 0 };
  /// Delay between the bytes and the end of the connection.
  std::chrono::milliseconds m_pauseBeforeEnd{ 0 };
  /// Close the sending side before m_pauseBeforeEnd.
  bool m_shutdown = false;
  /// After m_pause and the bytes, the host fails: it sends nothing more and acknowledges nothing.
  bool m_isHostFailing = false;
  /// Size of the pieces in which the bytes are sent, 0 for all at once, and delay between them.
  std::size_t m_pieceBytes = 0;
  std::chrono::milliseconds m_piecePause{ 0 };
};

/// When an upstream responds to a request with a body.
enum class BodyReading
{
  /// After it has read the body.
  Whole,
  /// After the head. The body is never read, and the receive buffer is small.
  None,
  /// After it has read the body, which it begins after Script::m_pause. The receive buffer is
  /// small.
  AfterPause
};

/// Makes a connected socket appear to its peer as if the host had failed or were cut off: the
/// kernel drops everything that arrives, so that nothing is acknowledged.
/// @return whether the system supports that.
bool DropArrivingPackets(int aSocket);

/// An HTTP server on loopback that sends exact bytes.
class ScriptedUpstream
{
public:
  using Handler = std::function<Script(const SeenRequest&)>;

  explicit ScriptedUpstream(Handler aHandler, BodyReading aBodyReading = BodyReading::Whole);
  ~ScriptedUpstream();

  std::string Address() const;
  std::vector<SeenRequest> Seen() const;
  /// @return number of connections that the gateway closed, or sent more bytes on, during m_pause.
  std::size_t AbandonedCount() const;

private:
  void Serve(boost::asio::ip::tcp::socket aSocket, std::size_t aConnection);
  /// Does not return before the upstream is destroyed.
  static void FailHost(boost::asio::ip::tcp::socket& aSocket);

  Handler m_handler;
  BodyReading m_bodyReading;
  boost::asio::io_context m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  mutable std::mutex m_mutex;
  std::vector<SeenRequest> m_seen;
  std::vector<std::thread> m_sessions;
  std::vector<int> m_sockets;
  std::size_t m_abandoned = 0;
  std::thread m_thread;
};

/// @return "HTTP/1.1 200 OK" with a request id, a signature and a length.
std::string OkResponse(const SeenRequest& aRequest, const std::string& aBody);

/// @return the same whose headers include the given lines.
std::string ResponseWith(const SeenRequest& aRequest, const std::string& aLines);

} // namespace jaylane::gateway
