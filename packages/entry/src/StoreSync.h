#pragma once

#include "ConfigState.h"
#include "Directory.h"
#include "ShareTableManager.h"
#include "SteeringState.h"
#include "jaylane/base/PeriodicThread.h"
#include "jaylane/platform/Store.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::entry {

/// Counts of calls to the store.
struct StoreCalls
{
  std::atomic<std::uint64_t> m_made{ 0 };
  std::atomic<std::uint64_t> m_failed{ 0 };
};

/// Keeps this VM's copies of the store's objects and of the VM list up to date, with one thread for
/// each watch and one for the list. During an outage the copies stay as they are.
class StoreSync
{
public:
  /// Receives a changed object. Deletions are not reported, since no watched object is deleted.
  using ObjectHook = std::function<void(const platform::StoreObject&)>;

  StoreSync(const VmContext& aContext, platform::Store& aStore);

  /// Starts to watch the objects whose keys have the prefix.
  void Watch(std::string aPrefix, ObjectHook aHook);

  /// Starts to poll the VM list.
  /// @param aHook receives each list and the time just before it was requested.
  void PollVms(std::function<void(const platform::VmList&, base::MonotonicTime)> aHook);

  void Stop();

  /// @return whether the last watch succeeded.
  bool IsReachable() const { return m_reachable; }

  /// @return {"made","failed","reachable"}.
  Json::Value ToJson() const;

private:
  /// State of one watch or poll.
  struct Progress
  {
    /// Revision up to which changes were received.
    platform::Version m_after = 0;
    unsigned m_failures = 0;
    base::MonotonicTime m_retryAt;
  };

  void RunWatch(const std::string& aPrefix, Progress& aProgress, const ObjectHook& aHook);
  bool IsDue(const Progress& aProgress) const;
  void RecordFailure(Progress& aProgress);

  const VmContext& m_context;
  platform::Store& m_store;
  StoreCalls m_calls;
  std::atomic<bool> m_reachable{ true };
  std::vector<std::unique_ptr<base::PeriodicThread>> m_threads;
};

} // namespace jaylane::entry
