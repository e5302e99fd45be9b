#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaylane::testing {

enum class RequestKind
{
  /// Idempotent GET.
  Read,
  /// Non-idempotent POST with a request key.
  Order,
  /// Idempotent PUT of a large body.
  Upload,
};

/// @return "read", "order" or "upload".
const char* RequestKindName(RequestKind aKind);

struct CallerOptions
{
  /// Caller addresses of entry VMs as "host:port", in order of preference for lookups.
  std::vector<std::string> m_entries;
  std::string m_service;
  /// Caller address, sent in the Jaylane-Caller header and with lookups; empty for none.
  std::string m_callerIp;
  /// Origin region, copied to the records for the check of legal rules.
  std::string m_origin;
  /// Mean requests per second; arrivals are a Poisson process, independent of responses.
  double m_rate = 10;
  std::chrono::milliseconds m_duration{ 1000 };
  /// The run ends early after this many requests.
  std::uint64_t m_maxRequests = 100'000;
  /// Requests that arrive while this many are in flight or wait for a retry are dropped.
  std::size_t m_maxInFlight = 200;
  /// Relative weights of the request kinds.
  unsigned m_reads = 1;
  unsigned m_orders = 0;
  unsigned m_uploads = 0;
  std::uint64_t m_uploadBytes = 1024 * 1024;
  std::uint64_t m_responseBytes = 1000;
  std::chrono::milliseconds m_deadline{ 2000 };
  /// Most retries of a request whose outcome is not-run.
  unsigned m_retries = 2;
  std::chrono::milliseconds m_retryDelay{ 50 };
  /// Share of orders that are sent again, with the same key, after their final outcome.
  double m_resendShare = 0;
  /// Sends keys without a scope, which the entry VM has to claim in the store.
  bool m_claimKeys = false;
  /// Share of requests with X-Test-Crash, which crashes the upstream that executes them.
  double m_crashShare = 0;
  std::uint32_t m_seed = 1;
  /// Distinguishes the keys of concurrent callers.
  std::string m_name = "caller";
  /// File that records of all attempts are appended to; empty for none.
  std::string m_recordFile;
};

} // namespace jaylane::testing
