#pragma once

#include "jaylane/base/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jaylane::gateway {

/// A request without a body.
struct InfoRequest
{
  std::string_view m_target;
  /// Value of Accept-Encoding; empty if there is none.
  std::string_view m_acceptEncoding;
};

/// A response that is available without waiting.
struct InfoResponse
{
  InfoResponse(unsigned aStatus, const char* aContentType, std::string aBody)
    : m_status(aStatus)
    , m_contentType(aContentType)
    , m_body(std::make_shared<const std::string>(std::move(aBody)))
  {
  }

  unsigned m_status;
  const char* m_contentType;
  /// Content-Encoding of the body; empty if it is plain.
  std::string_view m_contentEncoding;
  /// Not null. Copies of the response share it, so that a body for many connections is kept once.
  std::shared_ptr<const std::string> m_body;
};

/// HTTP server for requests that are answered without waiting: readiness, lookups, metrics, and
/// snapshots for peers.
class InfoServer
{
public:
  /// @param aRequest valid during the call.
  using Handler = std::function<InfoResponse(const InfoRequest& aRequest)>;

  /// @param aMaxConnections limit on open connections. A further one takes the place of that which
  ///        was opened, or answered, first.
  InfoServer(boost::asio::io_context& aIo, Handler aHandler, std::size_t aMaxConnections);

  /// @param aMaxDescriptors limit on the descriptors of the process.
  /// @return limit on the connections of each of its servers.
  static std::size_t MaxConnections(std::uint32_t aMaxDescriptors);

  /// @param aAddress "ip:port".
  /// May be called again after an error.
  /// @return an error as of ListenOn().
  base::Status Listen(const std::string& aAddress);
  void Close();

private:
  class Session;

  void Accept();
  void AcceptLater();
  void AddSession(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context& m_io;
  Handler m_handler;
  const std::size_t m_maxConnections;
  /// Includes connections that have ended since the last one was added.
  std::vector<std::weak_ptr<Session>> m_sessions;
  /// Shared with the connections, which may outlive the server.
  std::shared_ptr<std::uint64_t> m_served = std::make_shared<std::uint64_t>(0);
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_acceptTimer;
};

} // namespace jaylane::gateway
