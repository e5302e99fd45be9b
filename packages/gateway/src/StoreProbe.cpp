#include "StoreProbe.h"

#include <algorithm>
#include <utility>

namespace jaylane::gateway {

namespace {

using std::chrono::milliseconds;

/// Time limit of a probe, at least a multiple of the time that the store has needed lately. A call
/// that takes longer than the maximum counts as failed, as other calls do.
constexpr milliseconds kProbeTimeout{ 500 };
constexpr milliseconds kMaxProbeTimeout{ 1500 };
constexpr int kProbeTimeoutFactor = 3;
/// Shortest time between two probes that other VMs cause.
constexpr milliseconds kMinCheckInterval{ 1000 };
/// Delay of the first probe after a failed call, and between probes during an outage.
constexpr milliseconds kFirstRetryDelay{ 50 };
constexpr milliseconds kRetryDelay{ 500 };
/// Longest time for which a call of the store may stay unanswered before it counts as failed. A
/// call that fails sooner after an answer may have been made before that answer.
constexpr milliseconds kMaxCallTime{ 1500 };

} // namespace

StoreProbe::StoreProbe(boost::asio::io_context& aIo,
                       const std::string& aStoreAddress,
                       std::string aTarget,
                       const base::Clock& aClock,
                       base::AsyncLog& aLog,
                       std::function<milliseconds()> aResponseDelay,
                       OnChanged aOnChanged)
  : m_target(std::move(aTarget))
  , m_clock(aClock)
  , m_log(aLog)
  , m_responseDelay(std::move(aResponseDelay))
  , m_onChanged(std::move(aOnChanged))
  , m_fetch(std::make_shared<HttpFetch>(aIo, aStoreAddress))
  , m_timer(aIo)
{
}

StoreProbe::~StoreProbe()
{
  m_fetch->Close();
}

void StoreProbe::Check()
{
  const base::MonotonicTime now = m_clock.Monotonic();
  if (m_isReachable && (!m_askedAt || now - *m_askedAt >= kMinCheckInterval)) {
    Ask();
  }
}

void StoreProbe::OnCallCompleted(bool aIsAnswered)
{
  if (aIsAnswered) {
    OnAnswer();
  } else if (m_answeredAt && m_clock.Monotonic() - *m_answeredAt < kMaxCallTime) {
    Ask();
  } else if (m_isReachable) {
    OnFailure();
  }
}

void StoreProbe::Ask()
{
  if (m_isPending) {
    return;
  }
  m_isPending = true;
  m_askedAt = m_clock.Monotonic();
  m_fetch->Close(); // A kept connection may be silent, which says nothing about the store.
  const milliseconds timeout =
    std::clamp(m_responseDelay() * kProbeTimeoutFactor, kProbeTimeout, kMaxProbeTimeout);
  m_fetch->Start({ "GET", m_target, {}, timeout }, [this](const FetchResponse& aResponse) {
    m_isPending = false;
    if (aResponse.IsTransientFailure()) {
      OnFailure();
    } else {
      OnAnswer();
    }
  });
}

void StoreProbe::OnFailure()
{
  m_timer.expires_after(m_isReachable ? kFirstRetryDelay : kRetryDelay);
  m_timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError && !m_isReachable) {
      Ask();
    }
  });
  if (std::exchange(m_isReachable, false)) {
    m_log.Write(base::LogRecord("store_unreachable"));
    m_onChanged(false);
  }
}

void StoreProbe::OnAnswer()
{
  m_answeredAt = m_clock.Monotonic();
  if (!std::exchange(m_isReachable, true)) {
    m_timer.cancel();
    m_log.Write(base::LogRecord("store_reachable"));
    m_onChanged(true);
  }
}

} // namespace jaylane::gateway
