#pragma once

#include "jaylane/base/Clock.h"

#include <atomic>
#include <chrono>

namespace jaylane::base {

/// Detects pauses of the process, to tell when a message read after a pause may have arrived.
///
/// While a process is stopped, messages wait unread in its sockets. A deadline that is counted from
/// the time of reading would then end too late. A thread calls Tick() regularly, and a long gap
/// between two ticks counts as a pause. Thread safe.
class PauseDetector
{
public:
  struct Options
  {
    /// A longer gap between ticks counts as a pause. Well above scheduling delays on a busy
    /// machine.
    std::chrono::milliseconds m_maxTickGap{ 300 };
    /// Messages read within this time after a pause are assumed to have arrived during it.
    std::chrono::milliseconds m_backlogWindow{ 1000 };
  };

  /// @param aClock must outlive this.
  /// @param aOptions thresholds.
  PauseDetector(const Clock& aClock, Options aOptions);

  /// To be called regularly, at intervals much shorter than m_maxTickGap.
  void Tick();

  /// @return earliest time at which a message that is read now may have arrived.
  MonotonicTime EarliestArrivalTime() const;

private:
  const Clock& m_clock;
  const Options m_options;
  std::atomic<MonotonicTime> m_lastTick;
  /// Last tick before the latest pause.
  std::atomic<MonotonicTime> m_pausedAt;
  /// First tick after the latest pause.
  std::atomic<MonotonicTime> m_resumedAt;
};

} // namespace jaylane::base
