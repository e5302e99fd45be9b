#include "jaylane/policy/RetryDelay.h"

#include <algorithm>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Callers wait at most this part of their remaining time.
constexpr int kLongestPart = 3;
/// Delays after a rejection that says nothing about the next attempt.
constexpr milliseconds kSoon{ 10 };
constexpr milliseconds kSoonSpread{ 40 };
/// Shortest delay where room has to appear first.
constexpr milliseconds kShortestWait{ 100 };
/// Delay where an upstream has to appear first; registrations take about this long.
constexpr milliseconds kUpstreamWait{ 500 };
constexpr std::uint64_t kSpreadSteps = 512;

} // namespace

milliseconds RetryDelay(RejectionCause aCause,
                        milliseconds aExpectedWait,
                        milliseconds aRemaining,
                        std::uint64_t aSpread)
{
  const auto step = static_cast<std::int64_t>(aSpread % kSpreadSteps);
  const auto steps = static_cast<std::int64_t>(kSpreadSteps);
  if (aCause == RejectionCause::SpuriousRejection) {
    return kSoon + kSoonSpread * step / steps;
  }
  const milliseconds wait = aCause == RejectionCause::NoUpstream ? kUpstreamWait : aExpectedWait;
  const milliseconds spread = wait * (steps + step) / (2 * steps);
  return std::max(kShortestWait, std::min(spread, aRemaining / kLongestPart));
}

} // namespace jaylane::policy
