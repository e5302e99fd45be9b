#include "jaylane/policy/CrossRegionPlacement.h"

#include "HashFraction.h"

#include <algorithm>

namespace jaylane::policy {

namespace {

/// Differs from the seeds of the other hashes of a key, so that the fractions are independent.
constexpr std::uint64_t kSeed = 0xC2B2AE3D27D4EB4F;

} // namespace

void CrossRegionPlacement::Update(std::chrono::nanoseconds aSavedTime,
                                  std::chrono::nanoseconds aDistance,
                                  base::MonotonicTime aNow)
{
  using Millis = std::chrono::duration<double, std::milli>;
  const double saved = Millis(aSavedTime).count();
  const double distance = Millis(aDistance).count();
  if (!m_isInitialized) {
    m_isInitialized = true;
    m_lastStep = aNow;
    m_share = saved >= distance * m_options.m_placeGain ? 1 : 0;
    return;
  }
  if (aNow - m_lastStep < m_options.m_stepInterval) {
    return;
  }
  m_lastStep = aNow;
  if (saved >= distance * m_options.m_placeGain) {
    m_share = std::min(1.0, m_share + m_options.m_step);
  } else if (saved < distance * m_options.m_returnGain) {
    m_share = std::max(0.0, m_share - m_options.m_step);
  }
}

bool CrossRegionPlacement::Contains(std::uint64_t aKey) const
{
  return detail::HashFraction(aKey, kSeed) <= m_share;
}

} // namespace jaylane::policy
