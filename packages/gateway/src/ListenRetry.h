#pragma once

#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace jaylane::gateway {

/// Binds an address, and tries again for a bounded time while another socket has it or while its
/// interface is not up. Such an address is usually free soon: a predecessor of this process still
/// stops, or an outgoing connection was given the port as its source port.
class ListenRetry
{
public:
  struct Options
  {
    /// Time between two attempts.
    std::chrono::milliseconds m_interval{ 50 };
    /// Time from the first attempt after which the address counts as unusable. Longer than the
    /// usual grace time of a predecessor and than the 60 s for which Linux keeps a closed
    /// connection in the TIME_WAIT state.
    std::chrono::milliseconds m_limit{ 90'000 };
    /// Time between two records in the log while the address stays unavailable.
    std::chrono::milliseconds m_logInterval{ 5'000 };
  };
  /// Binds the address and starts to serve on it. GatewayErrc::AddressUnavailable may be tried
  /// again; every other error is final.
  using Attempt = std::function<base::Status()>;
  /// Receives the final error; called on the event loop.
  using OnFailed = std::function<void(const base::Error&)>;

  /// @param aPurpose what the address is for, in the log and in errors.
  ListenRetry(boost::asio::io_context& aIo,
              const base::Clock& aClock,
              base::AsyncLog& aLog,
              std::string aPurpose,
              Options aOptions);

  /// Makes the first attempt at once and further ones on the event loop.
  /// @return an error if the first attempt shows that the address can never be used.
  base::Status Start(Attempt aAttempt, OnFailed aOnFailed);

private:
  enum class Outcome
  {
    Listening,
    Waiting,
    Failed,
  };
  /// Makes an attempt. Exceptions count as final errors.
  Outcome Try();
  void ScheduleTry();
  void LogWaiting(std::chrono::milliseconds aTried);

  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  const std::string m_purpose;
  const Options m_options;
  boost::asio::steady_timer m_timer;
  Attempt m_attempt;
  OnFailed m_onFailed;
  base::MonotonicTime m_startedAt;
  base::MonotonicTime m_loggedAt;
  bool m_hasWaited = false;
  base::Error m_error;
};

} // namespace jaylane::gateway
