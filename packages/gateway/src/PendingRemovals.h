#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace jaylane::gateway {

/// Upstreams whose removal the control thread has learned of and the request thread has not applied
/// yet. Looked up before each send, so that a removal overtakes the requests that wait for a busy
/// request thread. Thread safe.
class PendingRemovals
{
public:
  /// The removals of a batch have been learned of.
  void Add(const std::vector<std::string>& aUpstreams);

  /// The batch has been applied.
  void Remove(const std::vector<std::string>& aUpstreams);

  bool Contains(const std::string& aUpstream) const;

private:
  /// Whether there is any; spares most look-ups the lock.
  std::atomic<bool> m_hasAny{ false };
  mutable std::mutex m_mutex;
  /// Number of unapplied batches that remove the upstream.
  std::unordered_map<std::string, std::size_t> m_batches;
};

} // namespace jaylane::gateway
