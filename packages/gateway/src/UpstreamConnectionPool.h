#pragma once

#include "jaylane/base/Clock.h"

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
  std::string m_upstream;
  base::MonotonicTime m_idleSince;
  /// The upstream closes the connection when it is idle for longer.
  std::chrono::milliseconds m_idleLimit{ 0 };
};

/// Idle connections to upstreams, by upstream id: an address may pass to another upstream.
class UpstreamConnectionPool
{
public:
  explicit UpstreamConnectionPool(const base::Clock& aClock)
    : m_clock(aClock)
  {
  }

  /// @return an idle connection that was checked to be open, or null.
  std::unique_ptr<UpstreamConnection> Take(const std::string& aUpstream);

  /// Keeps a connection on which a response has ended.
  void Put(std::unique_ptr<UpstreamConnection> aConnection);

  /// Closes the idle connections to an upstream.
  void Drop(const std::string& aUpstream) { m_idle.erase(aUpstream); }

  /// Closes connections that are idle for too long or whose upstream is gone.
  void Sweep(const std::unordered_set<std::string>& aUpstreams);

  std::size_t size() const;

private:
  bool IsUsable(UpstreamConnection& aConnection) const;

  const base::Clock& m_clock;
  std::unordered_map<std::string, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

} // namespace jaylane::gateway
