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
  /// The whole response was forwarded to the exchange.
  Completed,
  /// No byte of the request reached the upstream.
  NotSent,
  /// The upstream's response proves that it rejected the request before execution.
  Rejected,
  /// A part of the request was sent and no complete response head was received.
  ConnectionLost,
  /// The deadline passed after a part of the request was sent.
  TimedOut,
  /// The response belongs to another attempt or its end cannot be verified.
  InvalidResponse,
  /// The response ended early after its head was forwarded.
  Truncated,
  /// The caller's connection ended first.
  CallerGone,
};

/// @return short hyphenated name for logs and metrics.
const char* AttemptResultName(AttemptResult aResult);

/// Result of an attempt.
struct AttemptOutcome
{
  AttemptResult m_result = AttemptResult::NotSent;
  /// Status of the upstream's response; 0 if there was none.
  unsigned m_status = 0;
  /// Time from the start to the end of the attempt.
  std::chrono::nanoseconds m_duration{ 0 };
  /// Whether connecting failed; only with NotSent.
  bool m_connectFailed = false;
  /// Description of the error, if there was one.
  std::string m_detail;
};

/// What to do with a response, decided from its head before any of it is forwarded.
enum class ResponseDisposition
{
  Forward,
  /// Discard it: the upstream rejected the request without executing it.
  Rejected,
  /// Discard it: it is not a valid response to this request.
  Invalid,
};

/// Parameters of one attempt to have a request executed at an address.
struct AttemptSpec
{
  base::SocketAddress m_address;
  /// Path and query.
  std::string m_target;
  HeaderList m_headers;
  base::MonotonicTime m_deadline;
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  /// Whether persistent connections may be used. Only for idempotent requests: libcurl resends a
  /// request on its own when a persistent connection breaks, which could execute it twice.
  bool m_reuseConnection = false;
  /// Called after connecting, right before the first byte is sent; false ends the attempt as
  /// NotSent. May be empty.
  std::function<bool()> m_maySend;
  /// Takes the number of bytes ready to be sent and returns how many may be sent now; 0 to be asked
  /// again soon. Empty for no limit.
  std::function<std::size_t(std::size_t)> m_uploadAllowance;
  /// Classifies the response head and may change it. May be empty.
  std::function<ResponseDisposition(ResponseHead&)> m_onHead;
};

/// Sends requests to upstreams and streams the responses back, on threads of its own.
class UpstreamTransport
{
public:
  struct Options
  {
    unsigned m_threads = 2;
    /// Limit of attempts that wait for or are in progress on one thread.
    std::size_t m_maxAttemptsPerThread = 4096;
  };

  /// Called once for each attempt, on a transport thread.
  using Done = std::function<void(const AttemptOutcome&)>;

  /// @param aOptions numbers of threads and attempts.
  /// @param aClock must outlive this.
  UpstreamTransport(const Options& aOptions, const base::Clock& aClock);

  /// Aborts all attempts. For a graceful shutdown, wait for their end first.
  ~UpstreamTransport();

  UpstreamTransport(const UpstreamTransport&) = delete;
  UpstreamTransport& operator=(const UpstreamTransport&) = delete;

  /// Starts an attempt. An exchange has at most one attempt at a time.
  /// @param aExchange holds the request and receives the response.
  /// @param aSpec parameters of the attempt.
  /// @param aDone receives the outcome.
  /// @return false if too many attempts are in progress; aDone is not called then.
  bool Start(std::shared_ptr<Exchange> aExchange, AttemptSpec aSpec, Done aDone);

private:
  class Worker;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::atomic<std::size_t> m_next{ 0 };
};

} // namespace jaylane::proxy
