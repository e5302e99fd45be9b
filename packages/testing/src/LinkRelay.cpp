#include "jaylane/testing/LinkRelay.h"

#include "jaylane/testing/TestingError.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <fmt/format.h>
#include <list>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace jaylane::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
template<typename T>
using Task = asio::awaitable<T>;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = 16 * 1024;
/// Most data in transit in one direction of a connection; beyond it, the relay stops reading, which
/// slows the sender down.
constexpr std::size_t kMaxQueuedBytes = 1024 * 1024;
constexpr milliseconds kCutPollInterval{ 5 };

std::optional<tcp::endpoint> ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = asio::ip::make_address_v4(aText.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  if (error || std::from_chars(aText.data() + colon + 1, end, port).ptr != end) {
    return std::nullopt;
  }
  return tcp::endpoint(address, port);
}

Task<void> SleepUntil(steady_clock::time_point aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(kAwait);
}

/// One direction of a connection, with a queue of the data in transit.
struct Stream
{
  Stream(tcp::socket& aFrom, tcp::socket& aTo)
    : m_from(aFrom)
    , m_to(aTo)
    , m_changed(aFrom.get_executor())
  {
  }

  struct Chunk
  {
    /// Earliest time of delivery.
    steady_clock::time_point m_due;
    std::vector<char> m_data;
  };

  /// Waits until the reader or writer at the other end of the queue calls Notify().
  Task<void> WaitForChange()
  {
    m_changed.expires_at(steady_clock::time_point::max());
    co_await m_changed.async_wait(kAwait);
  }
  void Notify() { m_changed.cancel(); }

  tcp::socket& m_from;
  tcp::socket& m_to;
  asio::steady_timer m_changed;
  std::deque<Chunk> m_chunks;
  std::size_t m_queuedBytes = 0;
  bool m_ended = false;
};

/// A client's connection and the corresponding one to the target.
struct Session
{
  explicit Session(tcp::socket aClientSocket)
    : m_clientSocket(std::move(aClientSocket))
    , m_targetSocket(m_clientSocket.get_executor())
    , m_toTarget(m_clientSocket, m_targetSocket)
    , m_toClient(m_targetSocket, m_clientSocket)
  {
  }

  void Reset()
  {
    for (tcp::socket* socket : { &m_clientSocket, &m_targetSocket }) {
      boost::system::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    m_toTarget.m_ended = m_toClient.m_ended = true;
    m_toTarget.Notify();
    m_toClient.Notify();
  }

  tcp::socket m_clientSocket;
  tcp::socket m_targetSocket;
  Stream m_toTarget;
  Stream m_toClient;
  /// Nothing passes any more.
  bool m_isSilent = false;
};

} // namespace

class LinkRelay::Internals
{
  static constexpr std::size_t kTowardsTarget = 0;
  static constexpr std::size_t kTowardsClient = 1;

public:
  explicit Internals(asio::ip::address_v4 aBindAddress)
    : m_bindAddress(aBindAddress)
    , m_work(asio::make_work_guard(m_context))
    , m_thread([this] { m_context.run(); })
  {
  }
  ~Internals()
  {
    m_context.stop();
    m_thread.join();
  }

  base::Result<std::string> AddRoute(const tcp::endpoint& aTarget)
  {
    boost::system::error_code error;
    tcp::acceptor acceptor(m_context);
    acceptor.open(tcp::v4(), error);
    if (!error) {
      acceptor.bind(tcp::endpoint(m_bindAddress, 0), error);
    }
    if (!error) {
      acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return MakeError(TestingErrc::ListenFailed, error.message());
    }
    const tcp::endpoint local = acceptor.local_endpoint();
    asio::co_spawn(m_context, AcceptConnections(std::move(acceptor), aTarget), asio::detached);
    return fmt::format("{}:{}", local.address().to_string(), local.port());
  }

  void SetConditions(const LinkConditions& aConditions)
  {
    std::lock_guard lock(m_mutex);
    m_conditions = aConditions;
  }

  LinkConditions Conditions() const
  {
    std::lock_guard lock(m_mutex);
    return m_conditions;
  }

  void ResetConnections()
  {
    asio::post(m_context, [this] {
      for (const auto& weak : m_sessions) {
        if (const auto session = weak.lock()) {
          session->Reset();
        }
      }
      m_sessions.clear();
    });
  }

  void SilenceConnections()
  {
    asio::post(m_context, [this] {
      for (const auto& weak : m_sessions) {
        if (const auto session = weak.lock()) {
          session->m_isSilent = true;
        }
      }
    });
  }

  LinkStats Stats() const { return { m_accepted.load(), m_forwardedBytes.load() }; }

private:
  Task<void> AcceptConnections(tcp::acceptor aAcceptor, tcp::endpoint aTarget)
  {
    while (true) {
      auto [error, socket] = co_await aAcceptor.async_accept(kAwait);
      if (error) {
        co_return;
      }
      ++m_accepted;
      auto session = std::make_shared<Session>(std::move(socket));
      std::erase_if(m_sessions, [](const auto& aWeak) { return aWeak.expired(); });
      m_sessions.push_back(session);
      asio::co_spawn(m_context, ConnectToTarget(session, aTarget), asio::detached);
    }
  }

  Task<void> ConnectToTarget(std::shared_ptr<Session> aSession, tcp::endpoint aTarget)
  {
    // A TCP handshake needs both directions.
    co_await WaitWhileCut(kTowardsTarget);
    co_await WaitWhileCut(kTowardsClient);
    auto [error] = co_await aSession->m_targetSocket.async_connect(aTarget, kAwait);
    if (error) {
      aSession->Reset();
      co_return;
    }
    for (Stream* stream : { &aSession->m_toTarget, &aSession->m_toClient }) {
      asio::co_spawn(m_context, ReadStream(aSession, *stream), asio::detached);
      asio::co_spawn(m_context, WriteStream(aSession, *stream), asio::detached);
    }
  }

  Task<void> ReadStream(std::shared_ptr<Session> aSession, Stream& aStream)
  {
    while (!aStream.m_ended) {
      std::vector<char> data(kChunkBytes);
      auto [error, bytes] = co_await aStream.m_from.async_read_some(asio::buffer(data), kAwait);
      if (aSession->m_isSilent) {
        if (error && &aStream == &aSession->m_toTarget) {
          aSession->Reset(); // The client has given the connection up.
        }
        if (error) {
          co_return;
        }
        continue;
      }
      if (error == asio::error::connection_reset) {
        aSession->Reset();
      }
      if (error) {
        aStream.m_ended = true;
      } else {
        data.resize(bytes);
        aStream.m_queuedBytes += bytes;
        aStream.m_chunks.push_back({ steady_clock::now() + Conditions().m_delay, std::move(data) });
      }
      aStream.Notify();
      while (aStream.m_queuedBytes > kMaxQueuedBytes && !aStream.m_ended) {
        co_await aStream.WaitForChange();
      }
    }
  }

  Task<void> WriteStream(std::shared_ptr<Session> aSession, Stream& aStream)
  {
    const std::size_t direction =
      &aStream == &aSession->m_toTarget ? kTowardsTarget : kTowardsClient;
    while (true) {
      while (aStream.m_chunks.empty() && !aStream.m_ended) {
        co_await aStream.WaitForChange();
      }
      if (aStream.m_chunks.empty()) {
        break;
      }
      Stream::Chunk chunk = std::move(aStream.m_chunks.front());
      aStream.m_chunks.pop_front();
      co_await SleepUntil(
        std::max(chunk.m_due, ReserveTransmission(direction, chunk.m_data.size())));
      co_await WaitWhileCut(direction);
      if (direction == kTowardsClient && Conditions().m_losesResponses) {
        aSession->m_isSilent = true;
      }
      if (aSession->m_isSilent) {
        co_return;
      }
      auto [error, bytes] =
        co_await asio::async_write(aStream.m_to, asio::buffer(chunk.m_data), kAwait);
      aStream.m_queuedBytes -= chunk.m_data.size();
      m_forwardedBytes += bytes;
      aStream.Notify();
      if (error) {
        aSession->Reset();
        co_return;
      }
    }
    co_await WaitWhileCut(direction);
    if (aSession->m_isSilent) {
      co_return;
    }
    boost::system::error_code ignored;
    aStream.m_to.shutdown(tcp::socket::shutdown_send, ignored);
  }

  bool IsCut(std::size_t aDirection) const
  {
    const LinkConditions conditions = Conditions();
    return conditions.m_cut || (aDirection == kTowardsTarget ? conditions.m_cutTowardsTarget
                                                             : conditions.m_cutTowardsClient);
  }

  Task<void> WaitWhileCut(std::size_t aDirection)
  {
    while (IsCut(aDirection)) {
      co_await SleepUntil(steady_clock::now() + kCutPollInterval);
    }
  }

  /// Reserves the transmission time of the bytes, after that of all data reserved before.
  /// @return when the last byte has been transmitted at the rate of the link.
  steady_clock::time_point ReserveTransmission(std::size_t aDirection, std::size_t aBytes)
  {
    const std::uint64_t rate = Conditions().m_bytesPerSecond;
    steady_clock::time_point& transmitterFree = m_transmitterFree[aDirection];
    transmitterFree = std::max(transmitterFree, steady_clock::now());
    if (rate > 0) {
      const std::chrono::duration<double> time(static_cast<double>(aBytes) /
                                               static_cast<double>(rate));
      transmitterFree += std::chrono::duration_cast<steady_clock::duration>(time);
    }
    return transmitterFree;
  }

  const asio::ip::address_v4 m_bindAddress;
  mutable std::mutex m_mutex;
  LinkConditions m_conditions;
  std::atomic<std::uint64_t> m_accepted{ 0 };
  std::atomic<std::uint64_t> m_forwardedBytes{ 0 };

  // Used only on m_thread.
  /// End of the reserved transmission time, by direction.
  std::array<steady_clock::time_point, 2> m_transmitterFree{};
  std::list<std::weak_ptr<Session>> m_sessions;

  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

LinkRelay::LinkRelay(std::unique_ptr<Internals> aInternals)
  : m_internals(std::move(aInternals))
{
}

LinkRelay::~LinkRelay() = default;

base::Result<std::unique_ptr<LinkRelay>> LinkRelay::Make(const std::string& aBindAddress)
{
  const auto endpoint = ParseEndpoint(aBindAddress + ":0");
  if (!endpoint) {
    return MakeError(TestingErrc::Malformed, "bind address " + aBindAddress);
  }
  return std::unique_ptr<LinkRelay>(
    new LinkRelay(std::make_unique<Internals>(endpoint->address().to_v4())));
}

base::Result<std::string> LinkRelay::AddRoute(const std::string& aTarget)
{
  const auto endpoint = ParseEndpoint(aTarget);
  if (!endpoint) {
    return MakeError(TestingErrc::Malformed, "target " + aTarget);
  }
  return m_internals->AddRoute(*endpoint);
}

void LinkRelay::SetConditions(const LinkConditions& aConditions)
{
  m_internals->SetConditions(aConditions);
}

LinkConditions LinkRelay::Conditions() const
{
  return m_internals->Conditions();
}

void LinkRelay::ResetConnections()
{
  m_internals->ResetConnections();
}

void LinkRelay::SilenceConnections()
{
  m_internals->SilenceConnections();
}

LinkStats LinkRelay::Stats() const
{
  return m_internals->Stats();
}

} // namespace jaylane::testing
