#pragma once

#include "jaylane/base/Clock.h"

#include <array>
#include <cstdint>

namespace jaylane::policy {

/// Limits the retries of one service to a fraction of its recent requests plus a floor.
class RetryBudget
{
public:
  struct Options
  {
    /// Window of "recent".
    std::chrono::nanoseconds m_window{ std::chrono::seconds{ 10 } };
    /// Retries per thousand requests of the window.
    std::uint32_t m_retriesPerMille = 100;
    /// Retries per window that are always allowed, for services with few requests.
    std::uint32_t m_minRetries = 3;
  };

  explicit RetryBudget(Options aOptions);

  /// Counts a first attempt.
  void OnRequest(base::MonotonicTime aNow);

  /// @return whether a retry is allowed; it is then counted.
  bool TryRetry(base::MonotonicTime aNow);

  /// The same for a second attempt while the first still runs; leaves a part of the budget to
  /// requests whose first attempt failed.
  bool TryHedge(base::MonotonicTime aNow);

private:
  /// Parts of the window; the counts cover between kParts - 1 and kParts of them.
  static constexpr std::size_t kParts = 10;

  struct Counts
  {
    std::int64_t m_part = -1;
    std::uint64_t m_requests = 0;
    std::uint64_t m_retries = 0;
  };

  std::int64_t PartOf(base::MonotonicTime aNow) const;
  Counts& Current(base::MonotonicTime aNow);
  bool TryTake(base::MonotonicTime aNow, double aPart);

  Options m_options;
  std::array<Counts, kParts + 1> m_counts{};
};

} // namespace jaylane::policy
