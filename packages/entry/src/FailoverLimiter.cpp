#include "FailoverLimiter.h"

#include <algorithm>

namespace jaylane::entry {

FailoverLimiter::FailoverLimiter(const VmContext& aContext,
                                 std::chrono::seconds aWindow,
                                 double aFailoverCap)
  : m_context(aContext)
  , m_window(aWindow)
{
  policy::FailoverLimits limits;
  limits.m_failoverCap = aFailoverCap;
  // TryAcquire() weighs a request relative to those of the window, so their total load is 1.
  limits.m_windowLoad = 1;
  limits.m_window = aWindow;
  limits.m_vmCount = 1;
  auto budget = policy::FailoverBudget::Make(limits, aContext.m_clock.Monotonic());
  if (budget) {
    m_budget = *budget;
  }
}

std::int64_t FailoverLimiter::SliceOf(base::MonotonicTime aNow) const
{
  return aNow.time_since_epoch() * kSlices / m_window;
}

void FailoverLimiter::CountRequest()
{
  const std::int64_t number = SliceOf(m_context.m_clock.Monotonic());
  std::lock_guard lock(m_mutex);
  Slice& slice = m_slices[static_cast<std::size_t>(number) % kSlices];
  if (slice.m_number != number) {
    slice = { number, 0 };
  }
  ++slice.m_requests;
}

double FailoverLimiter::WindowRequests(base::MonotonicTime aNow) const
{
  const std::int64_t current = SliceOf(aNow);
  double requests = 0;
  for (const Slice& slice : m_slices) {
    if (slice.m_number > current - static_cast<std::int64_t>(kSlices)) {
      requests += static_cast<double>(slice.m_requests);
    }
  }
  return requests;
}

bool FailoverLimiter::TryAcquire()
{
  const auto now = m_context.m_clock.Monotonic();
  std::lock_guard lock(m_mutex);
  const double requests = WindowRequests(now);
  return m_budget && requests >= kMinWindowRequests && m_budget->TryAcquire(1 / requests, now);
}

} // namespace jaylane::entry
