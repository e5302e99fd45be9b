#pragma once

#include <chrono>
#include <mutex>

namespace jaylane::base {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Passed in wherever time matters, so that tests control it.
class Clock
{
public:
  virtual ~Clock() = default;

  /// @return time that never goes back and also advances while the process is stopped.
  virtual MonotonicTime Monotonic() const = 0;

  /// @return calendar time; comparable between VMs up to their clock difference.
  virtual WallTime Wall() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock
{
public:
  MonotonicTime Monotonic() const override;
  WallTime Wall() const override;

  /// @return the shared instance.
  static const SystemClock& Get();
};

/// Clocks that also count time for which the machine was suspended; the steady clock does not.
class BootClock final : public Clock
{
public:
  MonotonicTime Monotonic() const override;
  WallTime Wall() const override;

  /// @return the shared instance.
  static const BootClock& Get();
};

/// A clock that moves only when told to.
class ManualClock final : public Clock
{
public:
  MonotonicTime Monotonic() const override;
  WallTime Wall() const override;

  /// Moves both clocks forward.
  /// @param aStep distance to move.
  void Advance(std::chrono::nanoseconds aStep);

private:
  mutable std::mutex m_mutex;
  std::chrono::nanoseconds m_elapsed{ 0 };
};

} // namespace jaylane::base
