#pragma once

#include "CallerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>

namespace jaylane::gateway {

/// Accepts connections of callers. When their number reaches its limit, closes idle ones, or else
/// those whose callers have kept them waiting for longest.
class CallerServer
{
public:
  explicit CallerServer(GatewayContext& aContext);

  /// May be called again after an error.
  /// @return an error as of ListenOn().
  base::Status Listen();

  /// Stops accepting connections.
  void StopAccepting();
  /// Closes each connection once its requests are answered.
  void CloseIdle();

  /// @return the port that the server listens on.
  std::uint16_t Port() const;
  std::size_t ConnectionCount() const { return m_connections.size(); }

private:
  void Accept();
  std::size_t ConnectionLimit() const;
  void OnConnectionCountChanged();
  using Since = std::optional<base::MonotonicTime> (CallerConnection::*)() const;
  /// Closes some connections that have been in a state for longest.
  /// @param aSince returns since when a connection is in that state.
  /// @param aMinTime shortest time for which it has to be.
  /// @param aReason why, for the log.
  void CloseLongest(Since aSince, std::chrono::milliseconds aMinTime, std::string_view aReason);
  void AddConnection(boost::asio::ip::tcp::socket aSocket);

  GatewayContext& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_acceptTimer;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace jaylane::gateway
