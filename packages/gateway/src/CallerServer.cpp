#include "CallerServer.h"

#include "Listen.h"

#include <algorithm>
#include <vector>

namespace jaylane::gateway {

namespace {

/// Descriptors kept for upstreams, the store and files, as a part of all.
constexpr std::uint32_t kReservedPart = 3;
/// Part of the callers' connections from which on responses close theirs. Rejected callers come
/// back on new connections and leave the old ones idle.
constexpr double kCrowded = 0.75;
/// One in so many connections is closed at once if the limit is reached; the idle ones are sorted.
constexpr std::size_t kClosedPart = 20;
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

std::size_t CallerServer::Limit() const
{
  const std::size_t descriptors = m_context.m_settings.m_maxDescriptors;
  return descriptors - descriptors / kReservedPart;
}

void CallerServer::OnCountChanged()
{
  m_context.m_metrics.m_callerConnections = m_connections.size();
  m_context.m_isNearConnectionLimit =
    static_cast<double>(m_connections.size()) >= kCrowded * static_cast<double>(Limit());
}

void CallerServer::CloseLongestIdle()
{
  std::vector<std::pair<base::MonotonicTime, std::shared_ptr<CallerConnection>>> idle;
  for (const auto& [key, connection] : m_connections) {
    if (const auto since = connection->IdleSince()) {
      idle.emplace_back(*since, connection);
    }
  }
  const std::size_t count = std::min(idle.size(), 1 + m_connections.size() / kClosedPart);
  std::ranges::partial_sort(idle,
                            idle.begin() + static_cast<std::ptrdiff_t>(count),
                            {},
                            [](const auto& aEntry) { return aEntry.first; });
  for (std::size_t i = 0; i < count; ++i) {
    idle[i].second->Abort();
  }
}

void CallerServer::Add(boost::asio::ip::tcp::socket aSocket)
{
  if (m_connections.size() >= Limit()) {
    CloseLongestIdle();
  }
  if (m_connections.size() >= Limit()) {
    m_context.m_log.Write(
      base::LogRecord("connection_refused").Add("connections", m_connections.size()));
    return;
  }
  auto connection = std::make_shared<CallerConnection>(
    m_context, std::move(aSocket), [this](CallerConnection* aConnection) {
      m_connections.erase(aConnection);
      OnCountChanged();
    });
  m_connections[connection.get()] = connection;
  OnCountChanged();
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
