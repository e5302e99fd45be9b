#include "LoadMeter.h"

#include "jaylane/policy/SteeringTable.h"

#include <algorithm>

namespace jaylane::entry {

LoadMeter::LoadMeter(const VmContext& aContext)
  : m_context(aContext)
  , m_startedAt(aContext.m_clock.Monotonic())
{
}

void LoadMeter::Record(const std::string& aService,
                       const std::string& aOrigin,
                       std::uint32_t aBucket,
                       std::chrono::nanoseconds aUpstreamTime)
{
  std::lock_guard lock(m_mutex);
  RollOverLocked();
  m_current[aService][aOrigin][aBucket] += aUpstreamTime;
}

LoadReport LoadMeter::Report()
{
  std::lock_guard lock(m_mutex);
  RollOverLocked();
  return m_last;
}

OriginLoad LoadMeter::Summarize(const Buckets& aBuckets, std::chrono::duration<double> aElapsed)
{
  OriginLoad load;
  std::vector<std::pair<double, std::uint32_t>> byLoad;
  for (const auto& [bucket, busy] : aBuckets) {
    const double slots = std::chrono::duration<double>(busy) / aElapsed;
    load.m_total += slots;
    byLoad.emplace_back(slots, bucket);
  }
  const std::size_t count = std::min(kMaxHotBuckets, byLoad.size());
  std::partial_sort(byLoad.begin(),
                    byLoad.begin() + static_cast<std::ptrdiff_t>(count),
                    byLoad.end(),
                    std::greater<>());
  const double threshold = kHotFactor * load.m_total / policy::kBucketsPerOrigin;
  for (std::size_t i = 0; i < count && byLoad[i].first > threshold; ++i) {
    load.m_hotBuckets[byLoad[i].second] = byLoad[i].first;
  }
  return load;
}

void LoadMeter::RollOverLocked()
{
  const auto now = m_context.m_clock.Monotonic();
  const auto elapsed = now - m_startedAt;
  if (elapsed < kInterval) {
    return;
  }
  m_last = {};
  for (const auto& [service, origins] : m_current) {
    for (const auto& [origin, buckets] : origins) {
      m_last.m_services[service][origin] = Summarize(buckets, elapsed);
    }
  }
  m_current.clear();
  m_startedAt = now;
}

} // namespace jaylane::entry
