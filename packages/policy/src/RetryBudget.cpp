#include "jaylane/policy/RetryBudget.h"

namespace jaylane::policy {

namespace {

/// Fraction of the budget that hedges may use.
constexpr double kHedgeBudgetFraction = 0.5;

} // namespace

RetryBudget::RetryBudget(Options aOptions)
  : m_options(aOptions)
{
}

std::int64_t RetryBudget::BucketOf(base::MonotonicTime aNow) const
{
  const auto bucketLength = m_options.m_window / static_cast<std::int64_t>(kBuckets);
  return aNow.time_since_epoch() / bucketLength;
}

RetryBudget::BucketCounts& RetryBudget::Current(base::MonotonicTime aNow)
{
  const std::int64_t bucket = BucketOf(aNow);
  BucketCounts& counts = m_buckets[static_cast<std::size_t>(bucket) % m_buckets.size()];
  if (counts.m_bucket != bucket) {
    counts = BucketCounts{ bucket, 0, 0 };
  }
  return counts;
}

void RetryBudget::OnRequest(base::MonotonicTime aNow)
{
  ++Current(aNow).m_requests;
}

bool RetryBudget::TryRetry(base::MonotonicTime aNow)
{
  return TryConsume(aNow, 1);
}

bool RetryBudget::TryHedge(base::MonotonicTime aNow)
{
  return TryConsume(aNow, kHedgeBudgetFraction);
}

bool RetryBudget::TryConsume(base::MonotonicTime aNow, double aBudgetFraction)
{
  BucketCounts& current = Current(aNow);
  const std::int64_t oldest = current.m_bucket - static_cast<std::int64_t>(kBuckets);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const BucketCounts& counts : m_buckets) {
    if (counts.m_bucket >= oldest) {
      requests += counts.m_requests;
      retries += counts.m_retries;
    }
  }
  const auto limit = requests * m_options.m_retriesPerMille / 1000 + m_options.m_minRetries;
  if (static_cast<double>(retries + 1) > static_cast<double>(limit) * aBudgetFraction) {
    return false;
  }
  ++current.m_retries;
  return true;
}

} // namespace jaylane::policy
