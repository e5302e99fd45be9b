#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/SocketAddress.h"
#include "jaylane/proxy/Exchange.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::proxy {

/// How an attempt at an upstream ended.
enum class AttemptResult
{
  /// The whole response was passed on.
  Completed,
  /// No byte of the request reached the upstream.
  NotSent,
  /// The upstream's response proves that it rejected the request before execution.
  Rejected,
  /// Something was sent and no complete response head came back.
  ConnectionLost,
  /// The deadline passed after something was sent.
  TimedOut,
  /// The response belongs to another attempt or its end cannot be verified.
  InvalidResponse,
  /// The response ended early after its head was passed on.
  Truncated,
  /// The caller's connection ended first.
  CallerGone,
};

/// @return short hyphenated name for logs and metrics.
const char* AttemptResultName(AttemptResult aResult);

/// What became of an attempt.
struct AttemptOutcome
{
  AttemptResult m_result = AttemptResult::NotSent;
  /// Status of the upstream's response; 0 if there was none.
  unsigned m_status = 0;
  /// From start to the end of the attempt.
  std::chrono::nanoseconds m_duration{ 0 };
  /// The upstream could not be connected to; only with NotSent.
  bool m_connectFailed = false;
  std::string m_detail;
};

/// Verdict on a response head before anything is passed on.
enum class HeadVerdict
{
  Forward,
  Rejected,
  Invalid,
};

/// One attempt to have a request served at an address.
struct AttemptSpec
{
  base::SocketAddress m_address;
  /// Path with the query.
  std::string m_target;
  HeaderList m_headers;
  base::MonotonicTime m_deadline;
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  /// Idempotent requests may use and leave behind persistent connections. For all others
  /// libcurl's own resend on a broken persistent connection would execute them twice.
  bool m_reuseConnection = false;
  /// Checked after connecting, right before the first byte is sent; may be empty.
  std::function<bool()> m_maySend;
  /// Bytes of the upload that may be sent now, out of the number ready; 0 to try again soon. May be
  /// empty for no limit.
  std::function<std::size_t(std::size_t)> m_uploadAllowance;
  /// Judges the response head and may change it; may be empty.
  std::function<HeadVerdict(ResponseHead&)> m_onHead;
};

/// Sends requests to upstreams and streams the responses back, on threads of its own.
class UpstreamTransport
{
public:
  struct Options
  {
    unsigned m_threads = 2;
    /// Attempts waiting for or in progress on one thread.
    std::size_t m_maxAttemptsPerThread = 4096;
  };

  /// Called once for each attempt, on a transport thread.
  using Done = std::function<void(const AttemptOutcome&)>;

  /// @param aOptions sizes.
  /// @param aClock must outlive this.
  UpstreamTransport(const Options& aOptions, const base::Clock& aClock);

  /// Aborts what is in progress; callers that want a graceful stop wait for it first.
  ~UpstreamTransport();

  UpstreamTransport(const UpstreamTransport&) = delete;
  UpstreamTransport& operator=(const UpstreamTransport&) = delete;

  /// Starts an attempt. An exchange has at most one attempt at a time.
  /// @param aExchange the request and the target of the response.
  /// @param aSpec where and how.
  /// @param aDone receives the outcome.
  /// @return false if too many attempts are in progress; aDone is not called then.
  bool Start(std::shared_ptr<Exchange> aExchange, AttemptSpec aSpec, Done aDone);

private:
  class Worker;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::atomic<std::size_t> m_next{ 0 };
};

} // namespace jaylane::proxy
