#pragma once

#include "jaylane/base/Clock.h"

#include <array>
#include <cstdint>

namespace jaylane::policy {

/// Limits the retries of one service to a fraction of its recent requests plus a constant. Not
/// thread safe.
class RetryBudget
{
public:
  struct Options
  {
    /// Time for which requests and retries count as recent.
    std::chrono::nanoseconds m_window{ std::chrono::seconds{ 10 } };
    /// Retries allowed per thousand requests of the window.
    std::uint32_t m_retriesPerMille = 100;
    /// Retries allowed per window in addition to that fraction, for services with few requests.
    std::uint32_t m_minRetries = 3;
  };

  explicit RetryBudget(Options aOptions);

  /// Counts the first attempt of a request.
  void OnRequest(base::MonotonicTime aNow);

  /// @return whether a retry is allowed; it is then counted.
  bool TryRetry(base::MonotonicTime aNow);

  /// The same for a hedge: a second attempt while the first is still running. Hedges may use only a
  /// part of the budget; the rest is left to requests whose first attempt failed.
  bool TryHedge(base::MonotonicTime aNow);

private:
  /// The window is counted in this many buckets, plus the current one, which is not complete yet.
  static constexpr std::size_t kBuckets = 10;

  struct BucketCounts
  {
    std::int64_t m_bucket = -1;
    std::uint64_t m_requests = 0;
    std::uint64_t m_retries = 0;
  };

  std::int64_t BucketOf(base::MonotonicTime aNow) const;
  BucketCounts& Current(base::MonotonicTime aNow);
  bool TryConsume(base::MonotonicTime aNow, double aBudgetFraction);

  Options m_options;
  std::array<BucketCounts, kBuckets + 1> m_buckets{};
};

} // namespace jaylane::policy
