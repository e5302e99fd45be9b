#include "jaylane/proxy/UpstreamTransport.h"

#include "UpstreamAttempt.h"
#include "jaylane/base/BoundedRing.h"

#include <algorithm>
#include <curl/curl.h>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace jaylane::proxy {

namespace {

// Upper bound of a wait for network events, so that aborted attempts are detected.
constexpr std::chrono::milliseconds kMaxPollInterval{ 1000 };
// The same bound while an upload waits for its allowance.
constexpr std::chrono::milliseconds kThrottledPollInterval{ 10 };
// Idle persistent connections kept per thread.
constexpr long kMaxIdleConnections = 256;

void InitCurlOnce()
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

} // namespace

/// One thread with its connections. Other threads send it commands through a bounded ring.
class UpstreamTransport::Worker
{
public:
  Worker(std::size_t aMaxAttempts, const base::Clock& aClock)
    : m_clock(aClock)
    , m_maxAttempts(aMaxAttempts)
    , m_commands(2 * aMaxAttempts)
    , m_multi(curl_multi_init())
  {
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    m_thread = std::thread([this] { Run(); });
  }

  ~Worker()
  {
    m_stop = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    curl_multi_cleanup(m_multi);
  }

  bool Start(std::shared_ptr<Exchange> aExchange, AttemptSpec aSpec, Done aDone)
  {
    if (m_attempts.fetch_add(1) >= m_maxAttempts) {
      m_attempts.fetch_sub(1);
      return false;
    }
    auto attempt = std::make_shared<detail::UpstreamAttempt>(
      std::move(aExchange), std::move(aSpec), std::move(aDone), m_clock);
    std::weak_ptr<detail::UpstreamAttempt> weak = attempt;
    attempt->GetExchange().SetWakeTransport([this, weak] {
      const auto target = weak.lock();
      // The ring holds at most one wake-up per attempt, so it cannot overflow.
      if (target && !target->m_wakePending.exchange(true)) {
        Post(target);
      }
    });
    Post(std::move(attempt));
    return true;
  }

private:
  void Post(std::shared_ptr<detail::UpstreamAttempt> aAttempt)
  {
    const bool posted = m_commands.TryPush(std::move(aAttempt));
    assert(posted);
    (void)posted;
    curl_multi_wakeup(m_multi);
  }

  void Run()
  {
    while (!m_stop) {
      while (auto command = m_commands.TryPop()) {
        HandleCommand(std::move(*command));
      }
      int running = 0;
      curl_multi_perform(m_multi, &running);
      ReapFinished();
      const auto poll = m_throttled.empty() ? kMaxPollInterval : kThrottledPollInterval;
      curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(poll.count()), nullptr);
      ResumeThrottled();
    }
    AbortAll();
  }

  /// Starts a new attempt, or resumes one whose buffers have changed.
  void HandleCommand(std::shared_ptr<detail::UpstreamAttempt> aAttempt)
  {
    if (!aAttempt->Started()) {
      Begin(std::move(aAttempt));
      return;
    }
    aAttempt->m_wakePending = false;
    if (!m_active.count(aAttempt->Handle())) {
      return;
    }
    if (aAttempt->GetExchange().CallerGone()) {
      Finish(aAttempt->Handle(), CURLE_ABORTED_BY_CALLBACK);
      return;
    }
    curl_easy_pause(aAttempt->Handle(), CURLPAUSE_CONT);
  }

  void Begin(std::shared_ptr<detail::UpstreamAttempt> aAttempt)
  {
    aAttempt->m_wakePending = false;
    if (aAttempt->GetExchange().CallerGone() || !aAttempt->Begin(m_throttled)) {
      m_attempts.fetch_sub(1);
      aAttempt->ReportNotSent("the deadline passed or the caller left before the request was sent");
      return;
    }
    CURL* const handle = aAttempt->Handle();
    m_active.emplace(handle, std::move(aAttempt));
    curl_multi_add_handle(m_multi, handle);
  }

  void ResumeThrottled()
  {
    for (CURL* handle : std::exchange(m_throttled, {})) {
      if (m_active.count(handle)) {
        curl_easy_pause(handle, CURLPAUSE_CONT);
      }
    }
  }

  void ReapFinished()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  void Finish(CURL* aHandle, CURLcode aCode)
  {
    const auto found = m_active.find(aHandle);
    assert(found != m_active.end());
    const auto attempt = std::move(found->second);
    m_active.erase(found);
    curl_multi_remove_handle(m_multi, aHandle);
    m_attempts.fetch_sub(1);
    attempt->Finish(aCode);
  }

  void AbortAll()
  {
    while (!m_active.empty()) {
      Finish(m_active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    }
    while (auto command = m_commands.TryPop()) {
      if (!(*command)->Started()) {
        (*command)->ReportNotSent("the transport is stopping");
      }
    }
  }

  const base::Clock& m_clock;
  const std::size_t m_maxAttempts;
  base::BoundedRing<std::shared_ptr<detail::UpstreamAttempt>> m_commands;
  CURLM* const m_multi;
  std::unordered_map<CURL*, std::shared_ptr<detail::UpstreamAttempt>> m_active;
  std::vector<CURL*> m_throttled;
  std::atomic<std::size_t> m_attempts{ 0 };
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
};

UpstreamTransport::UpstreamTransport(const Options& aOptions, const base::Clock& aClock)
{
  InitCurlOnce();
  for (unsigned i = 0; i < std::max(1U, aOptions.m_threads); ++i) {
    m_workers.push_back(std::make_unique<Worker>(aOptions.m_maxAttemptsPerThread, aClock));
  }
}

UpstreamTransport::~UpstreamTransport() = default;

bool UpstreamTransport::Start(std::shared_ptr<Exchange> aExchange, AttemptSpec aSpec, Done aDone)
{
  const std::size_t index = m_next.fetch_add(1, std::memory_order_relaxed) % m_workers.size();
  return m_workers[index]->Start(std::move(aExchange), std::move(aSpec), std::move(aDone));
}

const char* AttemptResultName(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::Completed:
      return "completed";
    case AttemptResult::NotSent:
      return "not-sent";
    case AttemptResult::Rejected:
      return "rejected";
    case AttemptResult::ConnectionLost:
      return "connection-lost";
    case AttemptResult::TimedOut:
      return "timed-out";
    case AttemptResult::InvalidResponse:
      return "invalid-response";
    case AttemptResult::Truncated:
      return "truncated";
    case AttemptResult::CallerGone:
      return "caller-gone";
  }
  return "unknown";
}

} // namespace jaylane::proxy
