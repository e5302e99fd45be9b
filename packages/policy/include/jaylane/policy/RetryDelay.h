#pragma once

#include <chrono>
#include <cstdint>

namespace jaylane::policy {

/// Why a request is rejected without having run.
enum class RejectionCause
{
  /// Every upstream that might serve it in time has a queue.
  NoCapacity,
  /// The upstream rejected it although it had free slots.
  SpuriousRejection,
  /// No upstream can be reached or may be used.
  NoUpstream,
};

/// Chooses when a rejected caller should return.
/// Load pattern: a demand peak of which all rejected callers return at the same moment, and
/// upstreams that reject part of their requests at random.
/// @param aCause why it was rejected.
/// @param aExpectedWait time until the request was expected to complete.
/// @param aRemaining time that the caller has left; callers wait at most a third of it.
/// @param aSpread hash of the request id, spreads callers that are rejected together.
std::chrono::milliseconds RetryDelay(RejectionCause aCause,
                                     std::chrono::milliseconds aExpectedWait,
                                     std::chrono::milliseconds aRemaining,
                                     std::uint64_t aSpread);

} // namespace jaylane::policy
