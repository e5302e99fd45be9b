#include "jaylane/platform/ClaimRegistry.h"

#include "jaylane/platform/JsonText.h"

#include <algorithm>
#include <optional>

namespace jaylane::platform {

using std::chrono::milliseconds;

namespace {

constexpr const char* kTimeField = "time_ms";

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
  , m_nextListing(aClock.Monotonic() + aOptions.m_listInterval)
{
}

ClaimResult ClaimRegistry::Claim(const std::string& aKey)
{
  bool rateLimited = false;
  const auto admit = [&] {
    rateLimited = !m_tokens.TryTake();
    return !rateLimited;
  };
  const std::string objectKey = kPrefix + aKey;
  const auto wall = std::chrono::duration_cast<milliseconds>(m_clock.Wall().time_since_epoch());
  Json::Value value;
  value[kTimeField] = Json::Int64{ wall.count() };
  const WriteResult written =
    m_writer.Write(objectKey, std::move(value), kAbsent, m_options.m_timeout, admit);
  if (written.m_outcome == WriteOutcome::Written) {
    std::lock_guard lock(m_mutex);
    if (m_ownClaims.size() < m_options.m_maxOwnClaims) {
      m_ownClaims.push_back(
        { { objectKey, written.m_version }, m_clock.Monotonic() + RetentionTime() });
    }
    return { ClaimOutcome::Claimed, false, {} };
  }
  const bool claimedByOther =
    written.m_outcome == WriteOutcome::OtherWriter || written.m_otherObject;
  return { claimedByOther ? ClaimOutcome::AlreadyClaimed : ClaimOutcome::StoreUnavailable,
           rateLimited && !claimedByOther,
           written.m_error };
}

std::size_t ClaimRegistry::CleanUp()
{
  std::size_t deleted = DeleteExpiredOwnClaims();
  const base::MonotonicTime now = m_clock.Monotonic();
  if (deleted < m_options.m_cleanUpBatch && now >= m_nextListing) {
    m_nextListing = now + m_options.m_listInterval;
    deleted += DeleteExpiredClaims(m_options.m_cleanUpBatch - deleted);
  }
  return deleted;
}

bool ClaimRegistry::DeleteClaim(const ObjectVersion& aObject)
{
  // New claims take precedence over deletions: half of the burst is reserved for them.
  if (!m_tokens.TryTake(m_options.m_burst / 2)) {
    return false;
  }
  return static_cast<bool>(m_store.Delete(aObject.m_key, aObject.m_version, m_options.m_timeout));
}

std::size_t ClaimRegistry::DeleteExpiredOwnClaims()
{
  std::size_t deleted = 0;
  while (deleted < m_options.m_cleanUpBatch) {
    std::optional<OwnClaim> oldest;
    {
      std::lock_guard lock(m_mutex);
      if (m_ownClaims.empty() || m_ownClaims.front().m_expires > m_clock.Monotonic()) {
        break;
      }
      oldest = std::move(m_ownClaims.front());
      m_ownClaims.pop_front();
    }
    // A claim that could not be deleted is found again by DeleteExpiredClaims() of any VM.
    if (!DeleteClaim(oldest->m_object)) {
      break;
    }
    ++deleted;
  }
  return deleted;
}

std::size_t ClaimRegistry::DeleteExpiredClaims(std::size_t aLimit)
{
  base::Result<ObjectListing> listing = m_store.List(kPrefix, m_options.m_timeout);
  if (!listing) {
    return 0;
  }
  // Versions increase with each write, so the lowest ones belong to the oldest claims.
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
    if (!IsExpired(object->m_value) || !DeleteClaim({ object->m_key, object->m_version })) {
      break;
    }
    ++deleted;
  }
  return deleted;
}

bool ClaimRegistry::IsExpired(const std::string& aValue) const
{
  const std::optional<Json::Value> json = ParseJsonObject(aValue);
  if (!json || !(*json)[kTimeField].isInt64()) {
    return false;
  }
  const milliseconds claimed{ (*json)[kTimeField].asInt64() };
  return m_clock.Wall().time_since_epoch() >= claimed + RetentionTime();
}

} // namespace jaylane::platform
