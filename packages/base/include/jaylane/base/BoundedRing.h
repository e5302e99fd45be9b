#pragma once

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace jaylane::base {

/// Bounded FIFO queue between any number of producer and consumer threads, kept in a ring buffer.
/// A push to a full ring fails instead of blocking, so that the producer decides what to drop.
template<typename T>
class BoundedRing
{
public:
  /// @param aCapacity largest number of values in the ring.
  explicit BoundedRing(std::size_t aCapacity)
    : m_values(aCapacity)
  {
  }

  /// @param aValue moved from only on success.
  /// @return false if the ring is full or closed.
  bool TryPush(T&& aValue)
  {
    {
      std::lock_guard lock(m_mutex);
      if (m_closed || m_values.full()) {
        return false;
      }
      m_values.push_back(std::move(aValue));
    }
    m_ready.notify_one();
    return true;
  }

  /// @return the oldest value, or nothing if the ring is empty.
  std::optional<T> TryPop()
  {
    std::lock_guard lock(m_mutex);
    return PopLocked();
  }

  /// @param aTimeout longest wait.
  /// @return the oldest value, or nothing after the timeout or once closed and empty.
  std::optional<T> Pop(std::chrono::nanoseconds aTimeout)
  {
    std::unique_lock lock(m_mutex);
    m_ready.wait_for(lock, aTimeout, [this] { return m_closed || !m_values.empty(); });
    return PopLocked();
  }

  /// Makes further pushes fail. Values already in the ring can still be popped.
  void Close()
  {
    {
      std::lock_guard lock(m_mutex);
      m_closed = true;
    }
    m_ready.notify_all();
  }

  /// @return whether Close() was called.
  bool IsClosed() const
  {
    std::lock_guard lock(m_mutex);
    return m_closed;
  }

  /// @return number of values in the ring.
  std::size_t size() const
  {
    std::lock_guard lock(m_mutex);
    return m_values.size();
  }

private:
  std::optional<T> PopLocked()
  {
    if (m_values.empty()) {
      return std::nullopt;
    }
    std::optional<T> value(std::move(m_values.front()));
    m_values.pop_front();
    return value;
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_ready;
  boost::circular_buffer<T> m_values;
  bool m_closed = false;
};

} // namespace jaylane::base
