#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace jaylane::base {

/// Thread that calls a function periodically, or earlier when woken.
class PeriodicThread
{
public:
  /// Starts the thread, which calls the function for the first time at once.
  /// @param aInterval time between the end of a call and the start of the next.
  /// @param aRun the function; must return soon after Stop() is called.
  PeriodicThread(std::chrono::nanoseconds aInterval, std::function<void()> aRun);

  /// Stops the thread.
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  /// Makes the next call start at once instead of after the interval.
  void Wake();

  /// Waits for a running call to return and ends the thread. May be called more than once.
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
