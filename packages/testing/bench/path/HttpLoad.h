#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace jaylane::testing {

struct HttpLoadOptions
{
  /// "host:port".
  std::string m_address;
  /// Path with query.
  std::string m_target;
  /// Further header lines, each ending with CR LF.
  std::string m_headers;
  /// Kept-alive connections, each served by a thread that sends one request after the other.
  unsigned m_connections = 1;
  std::chrono::milliseconds m_duration{ 1000 };
  /// Limit of requests over all connections.
  std::uint64_t m_maxRequests = 2'000'000;
};

struct HttpLoadResult
{
  /// Responses with status 200.
  std::uint64_t m_succeeded = 0;
  std::uint64_t m_failed = 0;
  std::chrono::duration<double> m_elapsed{ 0 };
  std::chrono::nanoseconds m_p50{ 0 };
  std::chrono::nanoseconds m_p99{ 0 };
};

/// Sends closed-loop load over raw sockets. They take less CPU time than libcurl, so that the
/// server is the bottleneck.
HttpLoadResult RunHttpLoad(const HttpLoadOptions& aOptions);

/// Sends one PUT with a body of the given size.
/// @param aHeaders further header lines, each ending with CR LF.
/// @return status of the response, or 0 if there was none.
unsigned PutBody(const std::string& aAddress,
                 const std::string& aTarget,
                 const std::string& aHeaders,
                 std::uint64_t aBytes);

} // namespace jaylane::testing
