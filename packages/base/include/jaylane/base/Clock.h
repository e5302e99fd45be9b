#pragma once

#include <chrono>
#include <mutex>

namespace jaylane::base {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Code that depends on time takes a Clock, so that tests can control it.
class Clock
{
public:
  virtual ~Clock() = default;

  /// @return time that never decreases and also advances while the process is stopped.
  virtual MonotonicTime Monotonic() const = 0;

  /// @return calendar time; comparable between VMs as far as their clocks agree.
  virtual WallTime Wall() const = 0;
};

/// The steady and system clocks of the standard library.
class SystemClock final : public Clock
{
public:
  MonotonicTime Monotonic() const override;
  WallTime Wall() const override;

  /// @return the shared instance.
  static const SystemClock& Get();
};

/// Like SystemClock, but monotonic time also advances while the machine is suspended.
class BootClock final : public Clock
{
public:
  MonotonicTime Monotonic() const override;
  WallTime Wall() const override;

  /// @return the shared instance.
  static const BootClock& Get();
};

/// Clock for tests; its time changes only by Advance().
class ManualClock final : public Clock
{
public:
  MonotonicTime Monotonic() const override;
  WallTime Wall() const override;

  /// Advances monotonic and calendar time.
  /// @param aStep duration to advance by.
  void Advance(std::chrono::nanoseconds aStep);

private:
  mutable std::mutex m_mutex;
  std::chrono::nanoseconds m_elapsed{ 0 };
};

} // namespace jaylane::base
