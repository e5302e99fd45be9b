#include "jaylane/policy/RequestedPauses.h"

#include <algorithm>

namespace jaylane::policy {

using std::chrono::milliseconds;

void RequestedPauses::OnRejected(const std::string& aUpstream,
                                 milliseconds aPause,
                                 base::MonotonicTime aNow)
{
  const auto end = aNow + std::clamp<milliseconds>(aPause, milliseconds{ 0 }, kMaxPause);
  base::MonotonicTime& present = m_ends[aUpstream];
  present = std::max(present, end);
}

bool RequestedPauses::IsPaused(const std::string& aUpstream, base::MonotonicTime aNow) const
{
  const auto end = m_ends.find(aUpstream);
  return end != m_ends.end() && aNow < end->second;
}

milliseconds RequestedPauses::Remaining(const std::string& aUpstream,
                                        base::MonotonicTime aNow) const
{
  const auto end = m_ends.find(aUpstream);
  return end == m_ends.end() || aNow >= end->second
           ? milliseconds{ 0 }
           : std::chrono::ceil<milliseconds>(end->second - aNow);
}

bool RequestedPauses::RemoveExpired(base::MonotonicTime aNow)
{
  return std::erase_if(m_ends, [aNow](const auto& aEntry) { return aNow >= aEntry.second; }) > 0;
}

} // namespace jaylane::policy
