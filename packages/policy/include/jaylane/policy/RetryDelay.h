#pragma once

#include <chrono>
#include <cstdint>

namespace jaylane::policy {

/// Why a request is rejected without having run.
enum class RejectionCause
{
  /// No upstream has the capacity to serve it in time.
  NoCapacity,
  /// An upstream rejected it although it had free slots.
  SpuriousRejection,
  /// No upstream is reachable and allowed for the request.
  NoUpstream,
  /// All usable upstreams have asked for a pause; the expected wait is the time until one ends.
  Paused,
};

/// Chooses the time after which the caller of a rejected request should retry.
/// Load pattern: a demand peak after which all rejected callers retry at the same moment, and
/// upstreams that reject some of their requests at random.
/// @param aCause why the request was rejected.
/// @param aExpectedWait estimated time in which the request would have completed.
/// @param aRemaining time until the caller's deadline; callers wait for at most a third of it.
/// @param aJitterSeed hash of the request id; spreads the retries of requests rejected together.
std::chrono::milliseconds RetryDelay(RejectionCause aCause,
                                     std::chrono::milliseconds aExpectedWait,
                                     std::chrono::milliseconds aRemaining,
                                     std::uint64_t aJitterSeed);

} // namespace jaylane::policy
