#pragma once

#include "jaylane/platform/Store.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace jaylane::platform {

struct WatchOptions
{
  /// Longest time for which the store waits for a change in one watch. Stop() takes up to this
  /// long plus the timeout.
  std::chrono::milliseconds m_wait{ 5000 };
  /// Timeout of a watch, in addition to the wait.
  std::chrono::milliseconds m_timeout{ 2000 };
  /// Delay after the first failed watch; doubled after each further failure, with jitter.
  std::chrono::milliseconds m_minBackoff{ 100 };
  /// Limit of the doubled delay.
  std::chrono::milliseconds m_maxBackoff{ 10'000 };
};

/// Copy of the objects whose keys start with a prefix, kept up to date by watches. The copy stays
/// unchanged while the store is unavailable. An object is never replaced by an older version, even
/// if the store returns one. Thread safe.
class WatchCache
{
public:
  /// Called for each change in the order of versions, from the watching thread, without locks held.
  using Hook = std::function<void(const ObjectChange&)>;

  /// @param aStore must outlive this.
  /// @param aPrefix prefix of the keys to watch.
  /// @param aOptions times of watches and retries.
  /// @param aRandom source of the jitter.
  /// @param aHook may be empty.
  WatchCache(Store& aStore,
             std::string aPrefix,
             const WatchOptions& aOptions,
             std::mt19937 aRandom,
             Hook aHook);
  /// Stops the thread as Stop() does.
  ~WatchCache();

  WatchCache(const WatchCache&) = delete;
  WatchCache& operator=(const WatchCache&) = delete;

  /// Starts the thread that calls WatchOnce().
  void Start();

  /// Waits for the pending watch to end and stops the thread.
  void Stop();

  /// Makes one watch call and applies its changes.
  /// @return delay before the next call.
  std::chrono::milliseconds WatchOnce();

  /// @return the object as last seen, or nothing.
  std::optional<StoreObject> Get(const std::string& aKey) const;
  std::vector<StoreObject> All() const;

  /// @return whether a watch has succeeded since the start.
  bool IsSynced() const;

  /// @return number of changes ignored because the copy was at least as new.
  std::uint64_t IgnoredChanges() const;

private:
  void Loop();
  /// @return the changes that were not ignored.
  std::vector<ObjectChange> Apply(ChangeBatch aBatch);
  /// Counts a failure.
  /// @return delay before the next watch.
  std::chrono::milliseconds NextBackoff();

  Store& m_store;
  const std::string m_prefix;
  const WatchOptions m_options;
  const Hook m_hook;

  // Used by the watching thread only.
  std::mt19937 m_random;
  unsigned m_failures = 0;

  mutable std::mutex m_mutex;
  std::condition_variable m_stopped;
  bool m_stop = false;
  bool m_synced = false;
  Version m_seenRevision = 0;
  std::uint64_t m_ignoredChanges = 0;
  std::map<std::string, StoreObject> m_objects;
  std::thread m_thread;
};

} // namespace jaylane::platform
