#pragma once

#include "jaylane/base/Clock.h"

#include <atomic>
#include <chrono>

namespace jaylane::base {

/// Tells how old a message read just after a pause of the process may be.
///
/// While a process is stopped, messages wait unread in its sockets, and a time limit that counts
/// from reading starts too late. A thread calls Tick() regularly; a gap between ticks is a pause.
/// Thread safe.
class PauseDetector
{
public:
  struct Options
  {
    /// A longer gap between ticks counts as a pause. Well above delays of a busy machine.
    std::chrono::milliseconds m_longestGap{ 300 };
    /// Messages read within this time after a pause may have arrived during it.
    std::chrono::milliseconds m_backlogTime{ 1000 };
  };

  /// @param aClock must outlive this.
  PauseDetector(const Clock& aClock, Options aOptions);

  /// To be called regularly, at intervals much shorter than the longest gap.
  void Tick();

  /// @return earliest time at which a message that is read now may have arrived.
  MonotonicTime EarliestArrivalTime() const;

private:
  const Clock& m_clock;
  const Options m_options;
  std::atomic<MonotonicTime> m_lastTick;
  std::atomic<MonotonicTime> m_pausedAt;
  std::atomic<MonotonicTime> m_resumedAt;
};

} // namespace jaylane::base
