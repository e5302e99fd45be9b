#include "jaylane/policy/ColdPacer.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

namespace {

/// Part of the tolerated rate that is handed out; the rest covers VMs that started unseen.
constexpr double kIssuedShare = 0.8;
/// Requests sent this far apart cannot arrive within one second in spite of jitter on the way.
constexpr std::chrono::milliseconds kShortestSpacing{ 1150 };

} // namespace

std::chrono::milliseconds ColdPacer::Spacing(double aPerSecond,
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

bool ColdPacer::MayTake(const std::string& aUpstream,
                        std::chrono::milliseconds aSpacing,
                        base::MonotonicTime aNow) const
{
  if (aSpacing.count() == 0) {
    return false;
  }
  const auto last = m_lastSent.find(aUpstream);
  return last == m_lastSent.end() || aNow - last->second >= aSpacing;
}

bool ColdPacer::TryTake(std::string_view aUpstream,
                        std::chrono::milliseconds aSpacing,
                        base::MonotonicTime aNow)
{
  const std::string upstream(aUpstream);
  if (!MayTake(upstream, aSpacing, aNow)) {
    return false;
  }
  m_lastSent[upstream] = aNow;
  std::erase_if(m_lastSent, [aNow](const auto& aEntry) {
    return aNow - aEntry.second > std::chrono::minutes{ 1 };
  });
  return true;
}

} // namespace jaylane::policy
