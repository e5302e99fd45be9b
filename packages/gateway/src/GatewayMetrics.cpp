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
  fmt::format_to(out, "jaylane_restricted_attempts_total {}\n", m_restrictedAttempts);
  fmt::format_to(
    out, "jaylane_outdated_restricted_attempts_total {}\n", m_outdatedRestrictedAttempts);
  fmt::format_to(out, "jaylane_held_requests_total {}\n", m_heldTotal);
  fmt::format_to(out, "jaylane_held_requests {}\n", m_held);
  for (const auto& [priority, count] : m_limitedByUrgency) {
    fmt::format_to(
      out, "jaylane_limited_by_urgency_total{{priority=\"{}\"}} {}\n", priority, count);
  }
  for (const auto& [kind, count] : m_lookups) {
    fmt::format_to(out, "jaylane_lookups_total{{scope=\"{}\"}} {}\n", policy::ToText(kind), count);
  }
  fmt::format_to(out, "jaylane_caller_connections {}\n", m_callerConnections);
  fmt::format_to(out, "jaylane_body_bytes {}\n", m_bodyBytes);
  fmt::format_to(out, "jaylane_body_evictions_total {}\n", m_bodyEvictions);
  fmt::format_to(out, "jaylane_requests_in_flight {}\n", m_inFlight);
  fmt::format_to(out, "jaylane_store_batches_total {}\n", m_storeBatches);
  fmt::format_to(out, "jaylane_store_failures_total {}\n", m_storeFailures);
  fmt::format_to(out, "jaylane_store_restores_total {}\n", m_storeRestores);
  for (const auto& [kind, era] : m_storeEras) {
    fmt::format_to(out, "jaylane_store_era{{kind=\"{}\"}} {}\n", kind, era);
  }
  fmt::format_to(out, "jaylane_upstream_entries_rejected_total {}\n", m_rejectedEntries);
  fmt::format_to(out, "jaylane_quota_admitted_total {}\n", m_quotaAdmitted);
  fmt::format_to(out, "jaylane_quota_rejected_total {}\n", m_quotaRejected);
  fmt::format_to(out, "jaylane_quota_held_total {}\n", m_quotaHeld);
  fmt::format_to(out, "jaylane_quota_reports_total {}\n", m_quotaReports);
  fmt::format_to(out, "jaylane_quota_grants_total {}\n", m_quotaGrants);
  fmt::format_to(out, "jaylane_quota_credits {}\n", m_quotaCredits);
  fmt::format_to(out, "jaylane_quota_granted_share {:.4f}\n", m_quotaGrantedShare);
  fmt::format_to(out, "jaylane_load_reports_unreadable_total {}\n", m_unreadableLoads);
  fmt::format_to(out, "jaylane_load_observations_told_total {}\n", m_observationsTold);
  fmt::format_to(out, "jaylane_load_observations_received_total {}\n", m_observationsReceived);
  fmt::format_to(out, "jaylane_load_observations_ignored_total {}\n", m_observationsIgnored);
  for (const auto& [service, share] : m_spillShares) {
    fmt::format_to(out, "jaylane_spill_share{{service=\"{}\"}} {:.4f}\n", service, share);
  }
  AddHistogram(text, "jaylane_request_seconds", m_requestLatency);
  AddHistogram(text, "jaylane_upstream_seconds", m_upstreamLatency);
  AddHistogram(text, "jaylane_hold_seconds", m_holdTime);
  return text;
}

} // namespace jaylane::gateway
