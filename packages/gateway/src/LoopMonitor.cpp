#include "LoopMonitor.h"

#include <algorithm>

namespace jaylane::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{ 200 };
/// Delays from this on are logged.
constexpr milliseconds kLoggedDelay{ 100 };

} // namespace

LoopMonitor::LoopMonitor(boost::asio::io_context& aIo,
                         const base::Clock& aClock,
                         base::AsyncLog& aLog,
                         std::string aThread)
  : m_clock(aClock)
  , m_log(aLog)
  , m_thread(std::move(aThread))
  , m_timer(aIo)
{
}

void LoopMonitor::Start()
{
  m_due = m_clock.Monotonic() + kInterval;
  m_timer.expires_after(kInterval);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      OnTimer();
    }
  });
}

void LoopMonitor::OnTimer()
{
  const auto late = m_clock.Monotonic() - m_due.load();
  m_delay = std::max(std::chrono::duration_cast<milliseconds>(late), milliseconds{ 0 });
  if (m_delay.load() >= kLoggedDelay) {
    m_log.Write(
      base::LogRecord("loop_delayed").Add("thread", m_thread).Add("delay_ms", m_delay.load()));
  }
  Start();
}

milliseconds LoopMonitor::Delay() const
{
  const base::MonotonicTime now = m_clock.Monotonic();
  const base::MonotonicTime due = m_due;
  const milliseconds overdue =
    now > due ? std::chrono::duration_cast<milliseconds>(now - due) : milliseconds{ 0 };
  return std::max(overdue, m_delay.load());
}

} // namespace jaylane::gateway
