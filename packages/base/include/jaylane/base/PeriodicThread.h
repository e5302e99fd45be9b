#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace jaylane::base {

/// Thread of one duty: runs a function, then waits for the interval or a wake-up.
class PeriodicThread
{
public:
  /// Starts the thread; the function runs for the first time at once.
  /// @param aInterval wait between the end of a run and the start of the next.
  /// @param aRun the duty; must return soon after Stop() is called.
  PeriodicThread(std::chrono::nanoseconds aInterval, std::function<void()> aRun);

  /// Stops the thread.
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  /// Runs the duty now instead of after the interval.
  void Wake();

  /// Waits for the current run and ends the thread. May be called more than once.
  void Stop();

private:
  void Loop();

  const std::chrono::nanoseconds m_interval;
  const std::function<void()> m_run;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_wake = false;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace jaylane::base
