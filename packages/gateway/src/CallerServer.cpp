#include "CallerServer.h"

#include "Listen.h"

#include <vector>

namespace jaylane::gateway {

namespace {

/// Descriptors kept for upstreams, the store and files, as a part of all.
constexpr std::uint32_t kReservedPart = 3;
/// Pause after a failed accept, usually for lack of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 50 };

} // namespace

CallerServer::CallerServer(GatewayContext& aContext)
  : m_context(aContext)
  , m_acceptor(aContext.m_io)
  , m_pause(aContext.m_io)
{
}

base::Status CallerServer::Listen()
{
  base::Status status = ListenOn(m_acceptor, m_context.m_settings.m_callerAddress);
  if (status) {
    Accept();
  }
  return status;
}

void CallerServer::Accept()
{
  m_acceptor.async_accept(
    [this](const boost::system::error_code& aError, boost::asio::ip::tcp::socket aSocket) {
      if (!m_acceptor.is_open()) {
        return;
      }
      if (!aError) {
        Add(std::move(aSocket));
        Accept();
        return;
      }
      m_pause.expires_after(kAcceptPause);
      m_pause.async_wait([this](const boost::system::error_code& aWaitError) {
        if (!aWaitError && m_acceptor.is_open()) {
          Accept();
        }
      });
    });
}

void CallerServer::Add(boost::asio::ip::tcp::socket aSocket)
{
  const std::size_t limit =
    m_context.m_settings.m_maxDescriptors - m_context.m_settings.m_maxDescriptors / kReservedPart;
  if (m_connections.size() >= limit) {
    m_context.m_log.Write(
      base::LogRecord("connection_refused").Add("connections", m_connections.size()));
    return;
  }
  auto connection = std::make_shared<CallerConnection>(
    m_context, std::move(aSocket), [this](CallerConnection* aConnection) {
      m_connections.erase(aConnection);
      m_context.m_metrics.m_callerConnections = m_connections.size();
    });
  m_connections[connection.get()] = connection;
  m_context.m_metrics.m_callerConnections = m_connections.size();
  connection->Start();
}

std::uint16_t CallerServer::Port() const
{
  boost::system::error_code error;
  return m_acceptor.local_endpoint(error).port();
}

void CallerServer::StopAccepting()
{
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_pause.cancel();
}

void CallerServer::CloseIdle()
{
  std::vector<std::shared_ptr<CallerConnection>> connections;
  for (const auto& [key, connection] : m_connections) {
    connections.push_back(connection);
  }
  for (const auto& connection : connections) {
    connection->CloseWhenIdle();
  }
}

} // namespace jaylane::gateway
