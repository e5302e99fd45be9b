#include "jaylane/policy/FailoverBudget.h"

#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <cmath>

namespace jaylane::policy {

using std::chrono::milliseconds;

base::Result<FailoverBudget> FailoverBudget::Make(const FailoverLimits& aLimits,
                                                  base::MonotonicTime aStartedAt)
{
  if (!(aLimits.m_failoverCap >= 0 && aLimits.m_failoverCap <= 1)) {
    return base::Error{ PolicyErrc::InvalidLimits, "the failover cap must be between 0 and 1" };
  }
  if (!(aLimits.m_windowLoad >= 0) || !std::isfinite(aLimits.m_windowLoad)) {
    return base::Error{ PolicyErrc::InvalidLimits,
                        "the window load must be finite and not negative" };
  }
  if (aLimits.m_window <= milliseconds::zero() || aLimits.m_vmCount == 0) {
    return base::Error{ PolicyErrc::InvalidLimits,
                        "the window and the VM count must be greater than 0" };
  }
  FailoverBudget budget;
  budget.m_share = aLimits.m_failoverCap * aLimits.m_windowLoad / aLimits.m_vmCount;
  budget.m_window = aLimits.m_window;
  budget.m_sliceLength = (budget.m_window + std::chrono::nanoseconds{ kSlices - 1 }) / kSlices;
  budget.m_availableAt = aStartedAt + aLimits.m_window;
  return budget;
}

std::int64_t FailoverBudget::SliceOf(base::MonotonicTime aNow) const
{
  return aNow.time_since_epoch() / m_sliceLength;
}

double FailoverBudget::Used(std::int64_t aSlice) const
{
  double used = 0;
  for (const auto& slice : m_slices) {
    // A slice that began kSlices + 1 slices ago ended a whole window ago.
    if (slice.m_index >= 0 && slice.m_index >= aSlice - static_cast<std::int64_t>(kSlices)) {
      used += slice.m_weight;
    }
  }
  return used;
}

bool FailoverBudget::TryAcquire(double aWeight, base::MonotonicTime aNow)
{
  if (aNow < m_availableAt || !(aWeight >= 0)) {
    return false;
  }
  // aNow may be older than in an earlier call. The latest time counts in that case.
  m_latestSlice = std::max(m_latestSlice, SliceOf(aNow));
  if (!(Used(m_latestSlice) + aWeight <= m_share)) {
    return false;
  }
  auto& slice = m_slices[m_latestSlice % m_slices.size()];
  if (slice.m_index != m_latestSlice) {
    slice = { m_latestSlice, 0 };
  }
  slice.m_weight += aWeight;
  return true;
}

milliseconds FailoverBudget::RetryAfter(double aWeight, base::MonotonicTime aNow) const
{
  const auto window = std::chrono::ceil<milliseconds>(m_window);
  if (!(aWeight <= m_share)) {
    return window;
  }
  if (aNow < m_availableAt) {
    return std::chrono::ceil<milliseconds>(m_availableAt - aNow);
  }
  const auto current = std::max(m_latestSlice, SliceOf(aNow));
  for (std::int64_t ahead = 0; ahead <= static_cast<std::int64_t>(kSlices); ++ahead) {
    if (Used(current + ahead) + aWeight <= m_share) {
      const base::MonotonicTime at{ m_sliceLength * (current + ahead) };
      return std::max(milliseconds::zero(), std::chrono::ceil<milliseconds>(at - aNow));
    }
  }
  return window;
}

} // namespace jaylane::policy
