#include "GatewayMetrics.h"

#include <fmt/format.h>
#include <iterator>

namespace jaylane::gateway {

namespace {

void AddHistogram(std::string& aText, const char* aName, const base::LatencyHistogram& aHistogram)
{
  const auto out = std::back_inserter(aText);
  fmt::format_to(out, "{}_count {}\n", aName, aHistogram.Count());
  for (const double quantile : { 0.5, 0.9, 0.99 }) {
    const std::chrono::duration<double> value = aHistogram.Quantile(quantile);
    fmt::format_to(out, "{}{{quantile=\"{}\"}} {:.6f}\n", aName, quantile, value.count());
  }
}

} // namespace

std::string GatewayMetrics::ToText() const
{
  std::string text;
  const auto out = std::back_inserter(text);
  for (const auto& [outcome, count] : m_outcomes) {
    fmt::format_to(out, "jaylane_requests_total{{outcome=\"{}\"}} {}\n", outcome, count);
  }
  fmt::format_to(out, "jaylane_requests_received_total {}\n", m_received);
  fmt::format_to(out, "jaylane_attempts_total {}\n", m_attempts);
  fmt::format_to(out, "jaylane_retries_total {}\n", m_retries);
  fmt::format_to(out, "jaylane_hedges_total {}\n", m_hedges);
  fmt::format_to(out, "jaylane_caller_connections {}\n", m_callerConnections);
  fmt::format_to(out, "jaylane_body_bytes {}\n", m_bodyBytes);
  fmt::format_to(out, "jaylane_body_evictions_total {}\n", m_bodyEvictions);
  fmt::format_to(out, "jaylane_requests_in_flight {}\n", m_inFlight);
  fmt::format_to(out, "jaylane_store_batches_total {}\n", m_storeBatches);
  fmt::format_to(out, "jaylane_store_failures_total {}\n", m_storeFailures);
  fmt::format_to(out, "jaylane_upstream_entries_rejected_total {}\n", m_rejectedEntries);
  AddHistogram(text, "jaylane_request_seconds", m_requestLatency);
  AddHistogram(text, "jaylane_upstream_seconds", m_upstreamLatency);
  return text;
}

} // namespace jaylane::gateway
