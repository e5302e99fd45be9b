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
  /// Longest wait of one watch at the store; also bounds the time to stop.
  std::chrono::milliseconds m_wait{ 5000 };
  /// Of a watch, in addition to the wait.
  std::chrono::milliseconds m_timeout{ 2000 };
  /// Pause after the first failure; doubled with each further one, with jitter.
  std::chrono::milliseconds m_minBackoff{ 100 };
  std::chrono::milliseconds m_maxBackoff{ 10'000 };
};

/// Copy of the objects below a prefix, kept up to date by watches. During an outage the
/// copy stays as it is. The version of an object never falls. Thread safe.
class WatchCache
{
public:
  /// Receives each change in the order of versions, without locks, from the watching thread.
  using Hook = std::function<void(const ObjectChange&)>;

  /// @param aStore outlives this.
  /// @param aRandom seeds the jitter.
  /// @param aHook may be empty.
  WatchCache(Store& aStore,
             std::string aPrefix,
             const WatchOptions& aOptions,
             std::mt19937 aRandom,
             Hook aHook);
  /// Waits for the pending watch.
  ~WatchCache();

  WatchCache(const WatchCache&) = delete;
  WatchCache& operator=(const WatchCache&) = delete;

  /// Starts the thread that calls Step().
  void Start();

  /// Stops the thread, once its pending watch ends.
  void Stop();

  /// Does one watch.
  /// @return pause before the next step.
  std::chrono::milliseconds Step();

  std::optional<StoreObject> Get(const std::string& aKey) const;
  std::vector<StoreObject> All() const;

  /// @return whether a watch ever succeeded.
  bool Synced() const;

  /// @return changes ignored because the copy was at least as new.
  std::uint64_t Ignored() const;

private:
  void Loop();
  std::vector<ObjectChange> Apply(ChangeBatch aBatch);
  std::chrono::milliseconds Backoff();

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
  Version m_after = 0;
  std::uint64_t m_ignored = 0;
  std::map<std::string, StoreObject> m_objects;
  std::thread m_thread;
};

} // namespace jaylane::platform
