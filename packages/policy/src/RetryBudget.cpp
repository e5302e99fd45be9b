#include "jaylane/policy/RetryBudget.h"

namespace jaylane::policy {

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
  if (retries + 1 > requests * m_options.m_perMille / 1000 + m_options.m_floor) {
    return false;
  }
  ++current.m_retries;
  return true;
}

} // namespace jaylane::policy
