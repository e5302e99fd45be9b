#pragma once

#include "CallerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>

namespace jaylane::gateway {

/// Accepts callers and keeps their connections.
class CallerServer
{
public:
  explicit CallerServer(GatewayContext& aContext);

  /// @return an error if the address cannot be listened on.
  base::Status Listen();

  /// Stops accepting.
  void StopAccepting();
  /// Closes connections as soon as their requests are answered.
  void CloseIdle();

  /// @return the port that is listened on.
  std::uint16_t Port() const;
  std::size_t ConnectionCount() const { return m_connections.size(); }

private:
  void Accept();
  std::size_t Limit() const;
  void OnCountChanged();
  void CloseLongestIdle();
  void Add(boost::asio::ip::tcp::socket aSocket);

  GatewayContext& m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_pause;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace jaylane::gateway
