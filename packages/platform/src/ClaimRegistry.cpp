#include "jaylane/platform/ClaimRegistry.h"

#include "jaylane/platform/JsonText.h"

#include <algorithm>
#include <optional>

namespace jaylane::platform {

using std::chrono::milliseconds;

namespace {

constexpr const char* kTimeMillis = "time_ms";

} // namespace

ClaimRegistry::ClaimRegistry(Store& aStore,
                             const base::Clock& aClock,
                             const ClaimOptions& aOptions,
                             std::string aIncarnation,
                             NonceSource aNonces)
  : m_store(aStore)
  , m_clock(aClock)
  , m_options(aOptions)
  , m_writer(aStore, std::move(aIncarnation), std::move(aNonces))
  , m_tokens(aClock, aOptions.m_writesPerSecond, aOptions.m_burst)
  , m_nextSweep(aClock.Monotonic() + aOptions.m_sweepInterval)
{
}

ClaimResult ClaimRegistry::Claim(const std::string& aKey)
{
  bool limited = false;
  const auto admit = [&] {
    limited = !m_tokens.TryTake();
    return !limited;
  };
  const std::string objectKey = kPrefix + aKey;
  const auto wall = std::chrono::duration_cast<milliseconds>(m_clock.Wall().time_since_epoch());
  Json::Value value;
  value[kTimeMillis] = Json::Int64{ wall.count() };
  const WriteResult written =
    m_writer.Write(objectKey, std::move(value), kAbsent, m_options.m_timeout, admit);
  if (written.m_outcome == WriteOutcome::Written) {
    std::lock_guard lock(m_mutex);
    if (m_tracked.size() < m_options.m_maxTracked) {
      m_tracked.push_back({ { objectKey, written.m_version }, m_clock.Monotonic() + Kept() });
    }
    return { ClaimOutcome::Claimed, false, {} };
  }
  const bool taken = written.m_outcome == WriteOutcome::OtherWriter || written.m_other;
  return { taken ? ClaimOutcome::AlreadyClaimed : ClaimOutcome::StoreUnavailable,
           limited && !taken,
           written.m_error };
}

std::size_t ClaimRegistry::CleanUp()
{
  std::size_t deleted = CleanUpOwn();
  const base::MonotonicTime now = m_clock.Monotonic();
  if (deleted < m_options.m_cleanUpBatch && now >= m_nextSweep) {
    m_nextSweep = now + m_options.m_sweepInterval;
    deleted += Sweep(m_options.m_cleanUpBatch - deleted);
  }
  return deleted;
}

bool ClaimRegistry::DeleteOne(const ObjectVersion& aObject)
{
  // Half of the burst is left for claims.
  if (!m_tokens.TryTake(m_options.m_burst / 2)) {
    return false;
  }
  return static_cast<bool>(m_store.Delete(aObject.m_key, aObject.m_version, m_options.m_timeout));
}

std::size_t ClaimRegistry::CleanUpOwn()
{
  std::size_t deleted = 0;
  while (deleted < m_options.m_cleanUpBatch) {
    std::optional<Tracked> oldest;
    {
      std::lock_guard lock(m_mutex);
      if (m_tracked.empty() || m_tracked.front().m_expires > m_clock.Monotonic()) {
        break;
      }
      oldest = std::move(m_tracked.front());
      m_tracked.pop_front();
    }
    // A claim that could not be deleted is left to the sweep of any VM.
    if (!DeleteOne(oldest->m_object)) {
      break;
    }
    ++deleted;
  }
  return deleted;
}

std::size_t ClaimRegistry::Sweep(std::size_t aLimit)
{
  base::Result<ObjectListing> listing = m_store.List(kPrefix, m_options.m_timeout);
  if (!listing) {
    return 0;
  }
  // Versions rise with each write: the lowest ones are the oldest claims.
  std::vector<ObjectVersion>& objects = listing->m_objects;
  const std::size_t count = std::min(aLimit, objects.size());
  std::partial_sort(
    objects.begin(),
    objects.begin() + static_cast<std::ptrdiff_t>(count),
    objects.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.m_version < aRight.m_version; });
  std::size_t deleted = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto object = m_store.Get(objects[i].m_key, m_options.m_timeout);
    if (!object) {
      continue;
    }
    if (!Expired(object->m_value) || !DeleteOne({ object->m_key, object->m_version })) {
      break;
    }
    ++deleted;
  }
  return deleted;
}

bool ClaimRegistry::Expired(const std::string& aValue) const
{
  const std::optional<Json::Value> json = ParseJsonObject(aValue);
  if (!json || !(*json)[kTimeMillis].isInt64()) {
    return false;
  }
  const milliseconds claimed{ (*json)[kTimeMillis].asInt64() };
  return m_clock.Wall().time_since_epoch() >= claimed + Kept();
}

} // namespace jaylane::platform
