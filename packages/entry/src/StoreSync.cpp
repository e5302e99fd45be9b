#include "StoreSync.h"

#include <algorithm>
#include <utility>

namespace jaylane::entry {

namespace {

// Time that a watch waits for changes; a stop waits as long for a pending watch.
constexpr std::chrono::milliseconds kWatchWait{ 2000 };
constexpr std::chrono::milliseconds kCallTimeout{ 2000 };
// Time between two calls of a watch, and the first retry delay after a failure.
constexpr std::chrono::milliseconds kWatchPause{ 200 };
// Upper bound of the retry delay, which doubles with each failure. Together with a watch it stays
// below the 3 s within which changes must arrive once the store is reachable again.
constexpr std::chrono::milliseconds kMaxRetryDelay{ 1600 };
constexpr std::chrono::milliseconds kVmListInterval{ 500 };

} // namespace

StoreSync::StoreSync(const VmContext& aContext, platform::Store& aStore)
  : m_context(aContext)
  , m_store(aStore)
{
}

void StoreSync::RunWatch(const std::string& aPrefix, Progress& aProgress, const ObjectHook& aHook)
{
  if (!IsDue(aProgress)) {
    return;
  }
  // After a batch of changes the next call follows immediately, so that changes arrive quickly.
  for (bool more = true; more;) {
    ++m_calls.m_made;
    const auto batch = m_store.Watch(aPrefix, aProgress.m_after, kWatchWait, kCallTimeout);
    const bool reachable = static_cast<bool>(batch);
    if (m_reachable.exchange(reachable) != reachable) {
      m_context.m_events.Record(reachable ? "store-reachable" : "store-unreachable");
    }
    if (!batch) {
      RecordFailure(aProgress);
      return;
    }
    aProgress.m_failures = 0;
    for (const platform::ObjectChange& change : batch->m_changes) {
      if (!change.m_deleted) {
        aHook(change.m_object);
      }
    }
    aProgress.m_after = batch->m_revision;
    more = !batch->m_changes.empty();
  }
}

bool StoreSync::IsDue(const Progress& aProgress) const
{
  return m_context.m_clock.Monotonic() >= aProgress.m_retryAt;
}

void StoreSync::RecordFailure(Progress& aProgress)
{
  ++m_calls.m_failed;
  constexpr unsigned kMaxDoublings = 3;
  const auto delay = kWatchPause * (1U << std::min(aProgress.m_failures, kMaxDoublings));
  ++aProgress.m_failures;
  aProgress.m_retryAt =
    m_context.m_clock.Monotonic() + std::min<std::chrono::milliseconds>(delay, kMaxRetryDelay);
}

void StoreSync::Watch(std::string aPrefix, ObjectHook aHook)
{
  auto progress = std::make_shared<Progress>();
  m_threads.push_back(std::make_unique<base::PeriodicThread>(
    kWatchPause, [this, prefix = std::move(aPrefix), progress, hook = std::move(aHook)] {
      RunWatch(prefix, *progress, hook);
    }));
}

void StoreSync::PollVms(std::function<void(const platform::VmList&, base::MonotonicTime)> aHook)
{
  m_threads.push_back(std::make_unique<base::PeriodicThread>(
    kVmListInterval, [this, progress = Progress{}, hook = std::move(aHook)]() mutable {
      if (!IsDue(progress)) {
        return;
      }
      const auto requestedAt = m_context.m_clock.Monotonic();
      ++m_calls.m_made;
      const auto list = m_store.ListVms(kCallTimeout);
      if (list) {
        progress.m_failures = 0;
        hook(*list, requestedAt);
      } else {
        RecordFailure(progress);
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
