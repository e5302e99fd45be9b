#include "jaylane/base/Clock.h"

#include <ctime>

namespace jaylane::base {

MonotonicTime SystemClock::Monotonic() const
{
  return std::chrono::steady_clock::now();
}

WallTime SystemClock::Wall() const
{
  return std::chrono::system_clock::now();
}

const SystemClock& SystemClock::Get()
{
  static const SystemClock sClock;
  return sClock;
}

MonotonicTime BootClock::Monotonic() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime{ std::chrono::seconds{ now.tv_sec } +
                        std::chrono::nanoseconds{ now.tv_nsec } };
}

WallTime BootClock::Wall() const
{
  return std::chrono::system_clock::now();
}

const BootClock& BootClock::Get()
{
  static const BootClock sClock;
  return sClock;
}

MonotonicTime ManualClock::Monotonic() const
{
  std::lock_guard lock(m_mutex);
  // Starts well above zero, so that the start of a time window before now is not negative.
  return MonotonicTime{ std::chrono::hours{ 1 } + m_elapsed };
}

WallTime ManualClock::Wall() const
{
  std::lock_guard lock(m_mutex);
  const auto start = WallTime{ std::chrono::seconds{ 1'700'000'000 } };
  return start + std::chrono::duration_cast<WallTime::duration>(m_elapsed);
}

void ManualClock::Advance(std::chrono::nanoseconds aStep)
{
  std::lock_guard lock(m_mutex);
  m_elapsed += aStep;
}

} // namespace jaylane::base
