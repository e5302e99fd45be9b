#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/UpstreamIdentity.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace jaylane::gateway {

/// An open connection to one upstream.
struct UpstreamConnection
{
  explicit UpstreamConnection(boost::asio::io_context& aIo)
    : m_socket(aIo)
  {
  }

  boost::asio::ip::tcp::socket m_socket;
  /// The upstream as it was registered when the connection was opened.
  policy::UpstreamIdentity m_upstream;
  base::MonotonicTime m_idleSince;
  /// Idle time after which the upstream closes the connection.
  std::chrono::milliseconds m_idleTimeout{ 0 };
};

/// Idle connections to upstreams, by upstream id rather than address, because an address may be
/// reused by another upstream. An upstream that is registered as another incarnation or elsewhere
/// gets none of the connections that were opened before.
class UpstreamConnectionPool
{
public:
  explicit UpstreamConnectionPool(const base::Clock& aClock)
    : m_clock(aClock)
  {
  }

  /// Closes the idle connections to other incarnations or addresses of the upstream's id.
  /// @return an idle connection that is still open, or null.
  std::unique_ptr<UpstreamConnection> Take(const policy::UpstreamIdentity& aUpstream);

  /// Adds a connection whose last response is complete.
  void Put(std::unique_ptr<UpstreamConnection> aConnection);

  /// Closes the idle connections to an upstream.
  void Drop(const std::string& aUpstream) { m_idle.erase(aUpstream); }

  /// Closes connections that are broken or near their idle timeout, and those of upstreams that no
  /// longer exist.
  /// @param aUpstreams ids of the existing upstreams.
  void CloseUnusable(const std::unordered_set<std::string>& aUpstreams);

  /// @return number of idle connections to all upstreams.
  std::size_t size() const;

private:
  bool IsUsable(UpstreamConnection& aConnection) const;

  const base::Clock& m_clock;
  std::unordered_map<std::string, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

} // namespace jaylane::gateway
