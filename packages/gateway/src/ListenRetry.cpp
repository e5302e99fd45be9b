#include "ListenRetry.h"

#include "jaylane/gateway/GatewayError.h"

#include <fmt/format.h>

namespace jaylane::gateway {

using std::chrono::milliseconds;

ListenRetry::ListenRetry(boost::asio::io_context& aIo,
                         const base::Clock& aClock,
                         base::AsyncLog& aLog,
                         std::string aPurpose,
                         Options aOptions)
  : m_clock(aClock)
  , m_log(aLog)
  , m_purpose(std::move(aPurpose))
  , m_options(aOptions)
  , m_timer(aIo)
{
}

base::Status ListenRetry::Start(Attempt aAttempt, OnFailed aOnFailed)
{
  m_attempt = std::move(aAttempt);
  m_onFailed = std::move(aOnFailed);
  m_startedAt = m_clock.Monotonic();
  switch (Try()) {
    case Outcome::Listening:
      break;
    case Outcome::Waiting:
      ScheduleTry();
      break;
    case Outcome::Failed:
      return m_error;
  }
  return base::Success{};
}

ListenRetry::Outcome ListenRetry::Try()
{
  base::Status status = base::Success{};
  try {
    status = m_attempt();
  } catch (const std::exception& error) {
    status = base::Error{ make_error_code(GatewayErrc::ListenFailed), error.what() };
  }
  const auto tried = std::chrono::duration_cast<milliseconds>(m_clock.Monotonic() - m_startedAt);
  if (status) {
    if (m_hasWaited) {
      m_log.Write(
        base::LogRecord("listening_late").Add("purpose", m_purpose).Add("tried_ms", tried));
    }
    return Outcome::Listening;
  }
  m_error = status.GetError();
  if (m_error.m_code == GatewayErrc::AddressUnavailable && tried < m_options.m_limit) {
    LogWaiting(tried);
    return Outcome::Waiting;
  }
  m_error.m_detail =
    fmt::format("{}: {}; tried for {} ms", m_purpose, m_error.m_detail, tried.count());
  return Outcome::Failed;
}

void ListenRetry::LogWaiting(milliseconds aTried)
{
  const base::MonotonicTime now = m_clock.Monotonic();
  if (m_hasWaited && now - m_loggedAt < m_options.m_logInterval) {
    return;
  }
  m_hasWaited = true;
  m_loggedAt = now;
  m_log.Write(base::LogRecord("listen_retry")
                .Add("purpose", m_purpose)
                .Add("reason", m_error.Message())
                .Add("tried_ms", aTried)
                .Add("limit_ms", m_options.m_limit));
}

void ListenRetry::ScheduleTry()
{
  m_timer.expires_after(m_options.m_interval);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    switch (Try()) {
      case Outcome::Listening:
        break;
      case Outcome::Waiting:
        ScheduleTry();
        break;
      case Outcome::Failed:
        m_onFailed(m_error);
        break;
    }
  });
}

} // namespace jaylane::gateway
