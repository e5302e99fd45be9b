#include "jaylane/platform/WatchCache.h"

#include <algorithm>

namespace jaylane::platform {

using std::chrono::milliseconds;

WatchCache::WatchCache(Store& aStore,
                       std::string aPrefix,
                       const WatchOptions& aOptions,
                       std::mt19937 aRandom,
                       Hook aHook)
  : m_store(aStore)
  , m_prefix(std::move(aPrefix))
  , m_options(aOptions)
  , m_hook(std::move(aHook))
  , m_random(aRandom)
{
}

WatchCache::~WatchCache()
{
  Stop();
}

void WatchCache::Start()
{
  m_thread = std::thread([this] { Loop(); });
}

void WatchCache::Stop()
{
  {
    std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_stopped.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void WatchCache::Loop()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    lock.unlock();
    const milliseconds delay = WatchOnce();
    lock.lock();
    m_stopped.wait_for(lock, delay, [this] { return m_stop; });
  }
}

milliseconds WatchCache::WatchOnce()
{
  Version after = 0;
  {
    std::lock_guard lock(m_mutex);
    after = m_seenRevision;
  }
  base::Result<ChangeBatch> batch =
    m_store.Watch(m_prefix, after, m_options.m_wait, m_options.m_timeout);
  if (!batch) {
    return NextBackoff();
  }
  m_failures = 0;
  const std::vector<ObjectChange> changes = Apply(std::move(*batch));
  if (m_hook) {
    for (const ObjectChange& change : changes) {
      m_hook(change);
    }
  }
  // Without this delay a store that responds at once although nothing changed would be called in a
  // busy loop.
  return changes.empty() ? m_options.m_minBackoff : milliseconds{ 0 };
}

std::vector<ObjectChange> WatchCache::Apply(ChangeBatch aBatch)
{
  std::sort(aBatch.m_changes.begin(),
            aBatch.m_changes.end(),
            [](const ObjectChange& aLeft, const ObjectChange& aRight) {
              return aLeft.m_object.m_version < aRight.m_object.m_version;
            });
  std::lock_guard lock(m_mutex);
  std::vector<ObjectChange> applied;
  for (ObjectChange& change : aBatch.m_changes) {
    const StoreObject& object = change.m_object;
    const auto known = m_objects.find(object.m_key);
    // All changes up to m_seenRevision have been applied. Comparing with it makes records of
    // deleted objects unnecessary.
    const Version seen = known == m_objects.end() ? m_seenRevision : known->second.m_version;
    if (object.m_version <= std::max(seen, m_seenRevision)) {
      ++m_ignoredChanges;
      continue;
    }
    if (change.m_deleted) {
      m_objects.erase(object.m_key);
    } else {
      m_objects[object.m_key] = object;
    }
    applied.push_back(std::move(change));
  }
  m_seenRevision = std::max(m_seenRevision, aBatch.m_revision);
  m_synced = true;
  return applied;
}

milliseconds WatchCache::NextBackoff()
{
  constexpr unsigned kMaxDoublings = 20;
  const unsigned doublings = std::min(m_failures++, kMaxDoublings);
  const milliseconds maxDelay =
    std::min(m_options.m_minBackoff * (1 << doublings), m_options.m_maxBackoff);
  // Spreads the retries of the VMs over the second half of the delay.
  const double factor = std::uniform_real_distribution<double>(0.5, 1.0)(m_random);
  return std::chrono::duration_cast<milliseconds>(maxDelay * factor);
}

std::optional<StoreObject> WatchCache::Get(const std::string& aKey) const
{
  std::lock_guard lock(m_mutex);
  const auto found = m_objects.find(aKey);
  return found == m_objects.end() ? std::nullopt : std::optional<StoreObject>(found->second);
}

std::vector<StoreObject> WatchCache::All() const
{
  std::lock_guard lock(m_mutex);
  std::vector<StoreObject> objects;
  objects.reserve(m_objects.size());
  for (const auto& [key, object] : m_objects) {
    objects.push_back(object);
  }
  return objects;
}

bool WatchCache::IsSynced() const
{
  std::lock_guard lock(m_mutex);
  return m_synced;
}

std::uint64_t WatchCache::IgnoredChanges() const
{
  std::lock_guard lock(m_mutex);
  return m_ignoredChanges;
}

} // namespace jaylane::platform
