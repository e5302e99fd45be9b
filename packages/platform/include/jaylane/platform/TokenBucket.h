#pragma once

#include "jaylane/base/Clock.h"

#include <mutex>

namespace jaylane::platform {

/// Token bucket rate limiter. Thread safe.
class TokenBucket
{
public:
  /// @param aClock must outlive this.
  /// @param aRate tokens added per second.
  /// @param aBurst capacity in tokens; the bucket starts full.
  TokenBucket(const base::Clock& aClock, double aRate, double aBurst);

  /// Takes one token.
  /// @param aReserve tokens that must remain in the bucket.
  /// @return false, without a change, if there are fewer than 1 + aReserve tokens.
  bool TryTake(double aReserve = 0);

private:
  const base::Clock& m_clock;
  const double m_rate;
  const double m_burst;
  std::mutex m_mutex;
  double m_tokens;
  base::MonotonicTime m_refilledAt;
};

} // namespace jaylane::platform
