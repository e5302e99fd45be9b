#include "jaylane/base/PeriodicThread.h"

#include <utility>

namespace jaylane::base {

PeriodicThread::PeriodicThread(std::chrono::nanoseconds aInterval, std::function<void()> aRun)
  : m_interval(aInterval)
  , m_run(std::move(aRun))
  , m_thread([this] { Loop(); })
{
}

PeriodicThread::~PeriodicThread()
{
  Stop();
}

void PeriodicThread::Wake()
{
  {
    std::lock_guard lock(m_mutex);
    m_wake = true;
  }
  m_changed.notify_one();
}

void PeriodicThread::Stop()
{
  {
    std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_changed.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void PeriodicThread::Loop()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    m_wake = false;
    lock.unlock();
    m_run();
    lock.lock();
    m_changed.wait_for(lock, m_interval, [this] { return m_stop || m_wake; });
  }
}

} // namespace jaylane::base
