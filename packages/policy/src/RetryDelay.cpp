#include "jaylane/policy/RetryDelay.h"

#include <algorithm>

namespace jaylane::policy {

namespace {

using std::chrono::milliseconds;

/// Callers wait for at most their remaining time divided by this.
constexpr int kMaxWaitDivisor = 3;
/// Shortest delay after a spurious rejection, which says nothing about the next attempt, and the
/// largest addition to it.
constexpr milliseconds kSpuriousRejectionDelay{ 10 };
constexpr milliseconds kSpuriousRejectionJitter{ 40 };
/// Shortest delay when capacity or an upstream has to become available first.
constexpr milliseconds kMinDelay{ 100 };
/// Delay when there is no upstream. The registration of an upstream takes about this long.
constexpr milliseconds kNoUpstreamDelay{ 500 };
/// After a pause, callers return within this part of it.
constexpr std::int64_t kPausedSpread = 4;
/// Number of different delays among which callers are spread.
constexpr std::uint64_t kJitterSteps = 512;

} // namespace

milliseconds RetryDelay(RejectionCause aCause,
                        milliseconds aExpectedWait,
                        milliseconds aRemaining,
                        std::uint64_t aJitterSeed)
{
  const auto step = static_cast<std::int64_t>(aJitterSeed % kJitterSteps);
  const auto steps = static_cast<std::int64_t>(kJitterSteps);
  if (aCause == RejectionCause::SpuriousRejection) {
    return kSpuriousRejectionDelay + kSpuriousRejectionJitter * step / steps;
  }
  if (aCause == RejectionCause::Paused) {
    const milliseconds delay = aExpectedWait + aExpectedWait * step / (kPausedSpread * steps);
    return std::max(kMinDelay, std::min(delay, aRemaining / kMaxWaitDivisor));
  }
  const milliseconds wait = aCause == RejectionCause::NoUpstream ? kNoUpstreamDelay : aExpectedWait;
  const milliseconds delay = wait * (steps + step) / (2 * steps);
  return std::max(kMinDelay, std::min(delay, aRemaining / kMaxWaitDivisor));
}

} // namespace jaylane::policy
