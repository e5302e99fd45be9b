#include "jaylane/policy/ColdStartPacing.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

namespace {

/// Part of the tolerated rate that is handed out; the rest covers VMs that started unseen.
constexpr double kIssuedShare = 0.8;
/// Requests sent this far apart cannot arrive within one second in spite of jitter on the way.
constexpr std::chrono::milliseconds kShortestSpacing{ 1150 };

} // namespace

std::chrono::milliseconds ColdRequestInterval(double aPerSecond,
                                              std::uint32_t aVms,
                                              std::uint32_t aRank)
{
  const auto tickets = static_cast<std::uint32_t>(std::floor(aPerSecond * kIssuedShare));
  if (aVms == 0 || aRank >= tickets) {
    return std::chrono::milliseconds{ 0 };
  }
  const std::uint32_t own = std::max(1U, tickets / aVms);
  return kShortestSpacing / own;
}

} // namespace jaylane::policy
