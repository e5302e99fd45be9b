#include "StoreSync.h"

#include <utility>

namespace jaylane::entry {

namespace {

// Bounds how long a stop has to wait for a pending watch.
constexpr std::chrono::milliseconds kWatchWait{ 2000 };
constexpr std::chrono::milliseconds kCallTimeout{ 2000 };
// Pause between two calls of a watch; bounds the call rate during an outage to 5 a second.
constexpr std::chrono::milliseconds kWatchPause{ 200 };
constexpr std::chrono::milliseconds kVmListInterval{ 500 };

} // namespace

StoreSync::StoreSync(const VmContext& aContext, platform::Store& aStore)
  : m_context(aContext)
  , m_store(aStore)
{
}

void StoreSync::RunWatch(const std::string& aPrefix,
                         platform::Version& aAfter,
                         const ObjectHook& aHook)
{
  // A batch is followed by the next watch without a pause, so that changes arrive at once.
  for (bool more = true; more;) {
    ++m_calls.m_made;
    const auto batch = m_store.Watch(aPrefix, aAfter, kWatchWait, kCallTimeout);
    const bool reachable = static_cast<bool>(batch);
    if (m_reachable.exchange(reachable) != reachable) {
      m_context.m_events.Record(reachable ? "store-reachable" : "store-unreachable");
    }
    if (!batch) {
      ++m_calls.m_failed;
      return;
    }
    for (const platform::ObjectChange& change : batch->m_changes) {
      if (!change.m_deleted) {
        aHook(change.m_object);
      }
    }
    aAfter = batch->m_revision;
    more = !batch->m_changes.empty();
  }
}

void StoreSync::Watch(std::string aPrefix, ObjectHook aHook)
{
  auto after = std::make_shared<platform::Version>(0);
  m_threads.push_back(std::make_unique<base::PeriodicThread>(
    kWatchPause, [this, prefix = std::move(aPrefix), after, hook = std::move(aHook)] {
      RunWatch(prefix, *after, hook);
    }));
}

void StoreSync::PollVms(std::function<void(const platform::VmList&, base::MonotonicTime)> aHook)
{
  m_threads.push_back(
    std::make_unique<base::PeriodicThread>(kVmListInterval, [this, hook = std::move(aHook)] {
      const auto requestedAt = m_context.m_clock.Monotonic();
      ++m_calls.m_made;
      const auto list = m_store.ListVms(kCallTimeout);
      if (list) {
        hook(*list, requestedAt);
      } else {
        ++m_calls.m_failed;
      }
    }));
}

void StoreSync::Stop()
{
  for (const auto& thread : m_threads) {
    thread->Stop();
  }
}

Json::Value StoreSync::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["made"] = Json::UInt64(m_calls.m_made.load());
  json["failed"] = Json::UInt64(m_calls.m_failed.load());
  json["reachable"] = m_reachable.load();
  return json;
}

} // namespace jaylane::entry
