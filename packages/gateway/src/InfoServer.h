#pragma once

#include "jaylane/base/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace jaylane::gateway {

/// A small response that is available without waiting.
struct InfoResponse
{
  unsigned m_status = 200;
  const char* m_contentType = "text/plain";
  std::string m_body;
};

/// HTTP server for requests that are answered without waiting: readiness, lookups, metrics, and
/// snapshots for peers.
class InfoServer
{
public:
  /// @param aTarget request target.
  using Handler = std::function<InfoResponse(std::string_view aTarget)>;

  InfoServer(boost::asio::io_context& aIo, Handler aHandler);

  /// @param aAddress "ip:port".
  /// May be called again after an error.
  /// @return an error as of ListenOn().
  base::Status Listen(const std::string& aAddress);
  void Close();

private:
  void Accept();
  void AcceptLater();

  boost::asio::io_context& m_io;
  Handler m_handler;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_acceptTimer;
};

} // namespace jaylane::gateway
