#include "jaylane/policy/RetryBudget.h"

namespace jaylane::policy {

namespace {

/// Part of the budget that hedges may use up.
constexpr double kHedgePart = 0.5;

} // namespace

RetryBudget::RetryBudget(Options aOptions)
  : m_options(aOptions)
{
}

std::int64_t RetryBudget::PartOf(base::MonotonicTime aNow) const
{
  const auto part = m_options.m_window / static_cast<std::int64_t>(kParts);
  return aNow.time_since_epoch() / part;
}

RetryBudget::Counts& RetryBudget::Current(base::MonotonicTime aNow)
{
  const std::int64_t part = PartOf(aNow);
  Counts& counts = m_counts[static_cast<std::size_t>(part) % m_counts.size()];
  if (counts.m_part != part) {
    counts = Counts{ part, 0, 0 };
  }
  return counts;
}

void RetryBudget::OnRequest(base::MonotonicTime aNow)
{
  ++Current(aNow).m_requests;
}

bool RetryBudget::TryRetry(base::MonotonicTime aNow)
{
  return TryTake(aNow, 1);
}

bool RetryBudget::TryHedge(base::MonotonicTime aNow)
{
  return TryTake(aNow, kHedgePart);
}

bool RetryBudget::TryTake(base::MonotonicTime aNow, double aPart)
{
  Counts& current = Current(aNow);
  const std::int64_t oldest = current.m_part - static_cast<std::int64_t>(kParts);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const Counts& counts : m_counts) {
    if (counts.m_part >= oldest) {
      requests += counts.m_requests;
      retries += counts.m_retries;
    }
  }
  const auto limit = requests * m_options.m_retriesPerMille / 1000 + m_options.m_minRetries;
  if (static_cast<double>(retries + 1) > static_cast<double>(limit) * aPart) {
    return false;
  }
  ++current.m_retries;
  return true;
}

} // namespace jaylane::policy
