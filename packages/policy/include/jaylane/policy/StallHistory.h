#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <optional>
#include <vector>

namespace jaylane::policy {

/// Dates messages that were read after the process had stood still.
/// Load pattern: a process is suspended, or waits long for processor time, while messages arrive;
/// when it goes on, it reads old ones as if they had just been sent. Not thread safe.
class StallHistory
{
public:
  /// @param aMaxGap longest time between two calls of OnTick() that is no stall.
  /// @param aMemory time after its end for which a stall is remembered.
  StallHistory(std::chrono::milliseconds aMaxGap, std::chrono::milliseconds aMemory)
    : m_maxGap(aMaxGap)
    , m_memory(aMemory)
  {
  }

  /// To be called regularly, by the thread that reads the messages.
  void OnTick(base::MonotonicTime aNow);

  /// @param aReadAt when a message was read.
  /// @return earliest time at which it can have arrived.
  base::MonotonicTime ArrivedAt(base::MonotonicTime aReadAt) const;

private:
  struct Stall
  {
    base::MonotonicTime m_beganAt;
    /// The first tick that came in time again. By then, what had arrived was read.
    std::optional<base::MonotonicTime> m_endedAt;
  };

  std::chrono::milliseconds m_maxGap;
  std::chrono::milliseconds m_memory;
  std::optional<base::MonotonicTime> m_lastTick;
  std::vector<Stall> m_stalls;
};

} // namespace jaylane::policy
