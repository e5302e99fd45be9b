#pragma once

#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace jaylane::gateway {

/// Measures how late an event loop runs its handlers, which is how long input waits before this VM
/// sees it. Logs long delays.
class LoopMonitor
{
public:
  /// @param aThread name of the loop's thread in the log.
  LoopMonitor(boost::asio::io_context& aIo,
              const base::Clock& aClock,
              base::AsyncLog& aLog,
              std::string aThread);

  /// Starts to measure; to be called on the loop's thread or before it runs.
  void Start();

  /// @return the last measured delay, or how long the loop has been overdue since, if that is more.
  ///         May be called on any thread.
  std::chrono::milliseconds Delay() const;

private:
  void OnTimer();

  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  std::string m_thread;
  boost::asio::steady_timer m_timer;
  std::atomic<std::chrono::milliseconds> m_delay{ std::chrono::milliseconds{ 0 } };
  /// When the timer is due.
  std::atomic<base::MonotonicTime> m_due{ base::MonotonicTime::max() };
};

} // namespace jaylane::gateway
