#pragma once

#include "HttpFetch.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jaylane::gateway {

/// Finds out whether the store answers this VM.
///
/// A watch that waits for changes does not notice an outage that ends before the watch does, and
/// the outage of another VM need not be one of this VM. So the store is asked when another VM
/// reports an outage, and again and again while it does not answer.
class StoreProbe
{
public:
  using OnChanged = std::function<void(bool aIsReachable)>;

  /// @param aTarget of a cheap read.
  /// @param aResponseDelay returns the time that the store has needed lately.
  /// @param aOnChanged called when the store no longer answers, or does again.
  StoreProbe(boost::asio::io_context& aIo,
             const std::string& aStoreAddress,
             std::string aTarget,
             const base::Clock& aClock,
             base::AsyncLog& aLog,
             std::function<std::chrono::milliseconds()> aResponseDelay,
             OnChanged aOnChanged);
  ~StoreProbe();
  StoreProbe(const StoreProbe&) = delete;
  StoreProbe& operator=(const StoreProbe&) = delete;

  /// Asks the store unless that was done a short time ago.
  void Check();

  /// Another call of this VM to the store has ended.
  /// @param aIsAnswered whether the store has answered, with whatever contents.
  void OnCallCompleted(bool aIsAnswered);

  bool IsReachable() const { return m_isReachable; }

private:
  void Ask();
  void OnFailure();
  void OnAnswer();

  const std::string m_target;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  std::function<std::chrono::milliseconds()> m_responseDelay;
  OnChanged m_onChanged;
  std::shared_ptr<HttpFetch> m_fetch;
  boost::asio::steady_timer m_timer;
  bool m_isReachable = true;
  bool m_isPending = false;
  std::optional<base::MonotonicTime> m_askedAt;
  std::optional<base::MonotonicTime> m_answeredAt;
};

} // namespace jaylane::gateway
