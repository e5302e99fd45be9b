#pragma once

#include "jaylane/base/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace jaylane::gateway {

/// Counters and latency histograms of the process. Used by the request thread only.
struct GatewayMetrics
{
  /// Finished requests by outcome.
  std::map<std::string, std::uint64_t> m_outcomes;
  /// Requests that callers sent.
  std::uint64_t m_received = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_retries = 0;
  /// Attempts that were started while another attempt of the same request was still running.
  std::uint64_t m_hedges = 0;
  std::uint64_t m_callerConnections = 0;
  /// Bytes of requests and responses that are held, and bodies that made room for others.
  std::uint64_t m_bodyBytes = 0;
  std::uint64_t m_bodyEvictions = 0;
  std::uint64_t m_inFlight = 0;
  std::uint64_t m_storeBatches = 0;
  std::uint64_t m_storeFailures = 0;
  /// Registrations of upstreams that could not be used, each time that one was read.
  std::uint64_t m_rejectedEntries = 0;
  base::LatencyHistogram m_requestLatency;
  base::LatencyHistogram m_upstreamLatency;

  /// @return the metrics in the text format "name{label} value", one a line.
  std::string ToText() const;
};

} // namespace jaylane::gateway
