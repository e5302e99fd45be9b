#pragma once

#include "jaylane/base/Clock.h"

#include <mutex>

namespace jaylane::platform {

/// Rate limit: tokens arrive at a steady rate up to a burst. Thread safe.
class TokenBucket
{
public:
  /// @param aClock outlives this.
  /// @param aRate tokens a second.
  /// @param aBurst largest number of tokens held; the bucket starts full.
  TokenBucket(const base::Clock& aClock, double aRate, double aBurst);

  /// Takes one token.
  /// @param aReserve tokens that must be left for others.
  /// @return false if there are too few.
  bool TryTake(double aReserve = 0);

private:
  const base::Clock& m_clock;
  const double m_rate;
  const double m_burst;
  std::mutex m_mutex;
  double m_tokens;
  base::MonotonicTime m_filled;
};

} // namespace jaylane::platform
