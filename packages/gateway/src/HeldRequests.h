#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/HoldQueue.h"

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace jaylane::gateway {

/// Requests that are held at this VM until an upstream may accept them, by service. They are tried
/// again after each response of their service and at short intervals. Used by the request thread
/// only.
class HeldRequests
{
public:
  struct Hooks
  {
    /// Chooses an upstream again. The request must then be sent, rejected or held again.
    std::function<void()> m_onRetry;
    /// The request has lost its place to a more urgent one.
    std::function<void()> m_onDisplaced;
  };

  HeldRequests(boost::asio::io_context& aIo, const base::Clock& aClock);
  ~HeldRequests();

  /// @return an id for a request that may have to be held.
  std::uint64_t NewId() { return m_nextId++; }

  /// Holds a request, or keeps holding it.
  /// @return false if it must be rejected, since it is not expected to be accepted in time or too
  ///   many others are held.
  bool Hold(const std::string& aService,
            std::uint64_t aId,
            const policy::HoldQueue::Situation& aSituation,
            Hooks aHooks);
  /// Removes a request that is sent.
  void OnSent(const std::string& aService, std::uint64_t aId);
  /// Removes a request that is rejected or whose caller has left.
  void Remove(const std::string& aService, std::uint64_t aId);

  /// An upstream of the service has responded, so that one of its slots has become free.
  void OnResponse(const std::string& aService);

  /// @return number of requests held.
  std::size_t Count() const;

private:
  struct Service
  {
    explicit Service(boost::asio::io_context& aIo);

    policy::HoldQueue m_queue{ {} };
    std::unordered_map<std::uint64_t, Hooks> m_hooks;
    boost::asio::steady_timer m_timer;
    base::MonotonicTime m_lastRetryAt;
    bool m_isScheduled = false;
  };

  Service& Find(const std::string& aService);
  void Schedule(Service& aService, std::chrono::nanoseconds aDelay);
  void RetryAll(Service& aService);

  boost::asio::io_context& m_io;
  const base::Clock& m_clock;
  std::uint64_t m_nextId = 1;
  std::unordered_map<std::string, std::unique_ptr<Service>> m_services;
};

} // namespace jaylane::gateway
