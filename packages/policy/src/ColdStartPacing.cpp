#include "jaylane/policy/ColdStartPacing.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

namespace {

/// Fraction of the tolerated rate that is divided among the known VMs. The rest covers VMs that
/// have started but are not known yet.
constexpr double kAllocatedShare = 0.8;
/// Interval for a VM with one request per second. The excess over a second keeps two requests from
/// arriving within the same second because of network jitter.
constexpr std::chrono::milliseconds kBaseInterval{ 1150 };

} // namespace

std::chrono::milliseconds ColdRequestInterval(double aPerSecond,
                                              std::uint32_t aVms,
                                              std::uint32_t aRank)
{
  const auto allocated = static_cast<std::uint32_t>(std::floor(aPerSecond * kAllocatedShare));
  if (aVms == 0 || aRank >= allocated) {
    return std::chrono::milliseconds{ 0 };
  }
  const std::uint32_t ownPerSecond = std::max(1U, allocated / aVms);
  return kBaseInterval / ownPerSecond;
}

} // namespace jaylane::policy
