#include "CallerServer.h"

#include "Listen.h"

#include <algorithm>
#include <vector>

namespace jaylane::gateway {

namespace {

/// One in this many descriptors is reserved for upstreams, the store and files.
constexpr std::uint32_t kReservedDivisor = 3;
/// Part of the connection limit from which on responses close their connections. Under overload,
/// rejected callers retry on new connections and leave the old ones idle.
constexpr double kNearLimitShare = 0.75;
/// When the limit is reached, one in this many connections is closed, those idle for longest first.
/// Closing several at once keeps the cost of sorting them off most accepts.
constexpr std::size_t kCloseDivisor = 20;
/// Time for which a connection without idle ones beside it has to wait for its caller before it is
/// closed. Ordinary callers send a request or read a response in less.
constexpr std::chrono::milliseconds kMinWaitTime{ 1000 };
/// Delay after a failed accept, which usually means that no descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

} // namespace

CallerServer::CallerServer(GatewayContext& aContext)
  : m_context(aContext)
  , m_acceptor(aContext.m_io)
  , m_acceptTimer(aContext.m_io)
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
      if (!aError) {
        AddConnection(std::move(aSocket));
      }
      if (!m_acceptor.is_open()) {
        return;
      }
      if (!aError) {
        Accept();
        return;
      }
      m_acceptTimer.expires_after(kAcceptRetryDelay);
      m_acceptTimer.async_wait([this](const boost::system::error_code& aWaitError) {
        if (!aWaitError && m_acceptor.is_open()) {
          Accept();
        }
      });
    });
}

std::size_t CallerServer::ConnectionLimit() const
{
  const std::size_t descriptors = m_context.m_settings.m_maxDescriptors;
  return descriptors - descriptors / kReservedDivisor;
}

void CallerServer::OnConnectionCountChanged()
{
  m_context.m_metrics.m_callerConnections = m_connections.size();
  m_context.m_isNearConnectionLimit = static_cast<double>(m_connections.size()) >=
                                      kNearLimitShare * static_cast<double>(ConnectionLimit());
}

void CallerServer::CloseLongest(Since aSince,
                                std::chrono::milliseconds aMinTime,
                                std::string_view aReason)
{
  const base::MonotonicTime latest = m_context.m_clock.Monotonic() - aMinTime;
  std::vector<std::pair<base::MonotonicTime, std::shared_ptr<CallerConnection>>> candidates;
  for (const auto& [key, connection] : m_connections) {
    const auto since = ((*connection).*aSince)();
    if (since && *since <= latest) {
      candidates.emplace_back(*since, connection);
    }
  }
  const std::size_t count = std::min(candidates.size(), 1 + m_connections.size() / kCloseDivisor);
  std::ranges::partial_sort(candidates,
                            candidates.begin() + static_cast<std::ptrdiff_t>(count),
                            {},
                            [](const auto& aEntry) { return aEntry.first; });
  for (std::size_t i = 0; i < count; ++i) {
    candidates[i].second->Abort(aReason);
  }
}

void CallerServer::AddConnection(boost::asio::ip::tcp::socket aSocket)
{
  if (m_connections.size() >= ConnectionLimit()) {
    CloseLongest(&CallerConnection::IdleSince, {}, "connection limit");
  }
  if (m_connections.size() >= ConnectionLimit()) {
    CloseLongest(&CallerConnection::WaitingSince, kMinWaitTime, "connection limit, waited longest");
  }
  if (m_connections.size() >= ConnectionLimit()) {
    m_context.m_log.Write(
      base::LogRecord("connection_refused").Add("connections", m_connections.size()));
    return;
  }
  auto connection = std::make_shared<CallerConnection>(
    m_context, std::move(aSocket), [this](CallerConnection* aConnection) {
      m_connections.erase(aConnection);
      OnConnectionCountChanged();
    });
  m_connections[connection.get()] = connection;
  OnConnectionCountChanged();
  connection->Start();
}

std::uint16_t CallerServer::Port() const
{
  boost::system::error_code error;
  return m_acceptor.local_endpoint(error).port();
}

void CallerServer::StopAccepting()
{
  if (!m_acceptor.is_open()) {
    return;
  }
  // Closing the listener resets the connections that the kernel has established for it.
  boost::system::error_code ignored;
  boost::system::error_code error;
  m_acceptor.non_blocking(true, ignored);
  do {
    boost::asio::ip::tcp::socket socket = m_acceptor.accept(error);
    if (!error) {
      AddConnection(std::move(socket));
    }
  } while (!error || error == boost::asio::error::connection_aborted);
  m_acceptor.close(ignored);
  m_acceptTimer.cancel();
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
