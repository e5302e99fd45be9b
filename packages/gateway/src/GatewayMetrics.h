#pragma once

#include "jaylane/base/LatencyHistogram.h"
#include "jaylane/policy/LookupScope.h"

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
  /// Attempts of requests that only some regions may run, and those of them whose configuration was
  /// no longer the active one when they were sent.
  std::uint64_t m_restrictedAttempts = 0;
  std::uint64_t m_outdatedRestrictedAttempts = 0;
  /// Requests that were held before they were sent or rejected, and those held now.
  std::uint64_t m_heldTotal = 0;
  std::uint64_t m_held = 0;
  /// Requests that were not sent at once because more urgent ones need the upstreams, by priority.
  std::map<std::uint32_t, std::uint64_t> m_limitedByUrgency;
  /// Lookups by where the VMs are that they returned.
  std::map<policy::LookupScope::Kind, std::uint64_t> m_lookups;
  std::uint64_t m_callerConnections = 0;
  /// Bytes of requests and responses that are held, and bodies that made room for others.
  std::uint64_t m_bodyBytes = 0;
  std::uint64_t m_bodyEvictions = 0;
  std::uint64_t m_inFlight = 0;
  std::uint64_t m_storeBatches = 0;
  std::uint64_t m_storeFailures = 0;
  /// Returns of the store from an older copy, and the era that each kind of object is followed in.
  std::uint64_t m_storeRestores = 0;
  std::map<std::string, std::uint64_t> m_storeEras;
  /// Registrations of upstreams that could not be used, each time that one was read.
  std::uint64_t m_rejectedEntries = 0;
  /// Requests of teams with quotas: admitted and rejected by them, and held until the quota broker
  /// answered, each of which is admitted or rejected as well.
  std::uint64_t m_quotaAdmitted = 0;
  std::uint64_t m_quotaRejected = 0;
  std::uint64_t m_quotaHeld = 0;
  /// Reports to quota brokers, and grants to other VMs.
  std::uint64_t m_quotaReports = 0;
  std::uint64_t m_quotaGrants = 0;
  /// Credits that this VM holds, and part of the quotas that it grants as a broker.
  std::uint64_t m_quotaCredits = 0;
  double m_quotaGrantedShare = 0;
  /// Load reports of upstreams that could not be read.
  std::uint64_t m_unreadableLoads = 0;
  /// Observations of loads (policy::LoadObservation) that were sent to other VMs, one each time;
  /// received from them; and of these ignored. A text that cannot be read counts as one.
  std::uint64_t m_observationsTold = 0;
  std::uint64_t m_observationsReceived = 0;
  std::uint64_t m_observationsIgnored = 0;
  /// Fraction of the requests that busy upstreams leave to the next one, by service.
  std::map<std::string, double> m_spillShares;
  base::LatencyHistogram m_requestLatency;
  base::LatencyHistogram m_upstreamLatency;
  /// Time for which requests were held.
  base::LatencyHistogram m_holdTime;

  /// @return the metrics in the text format "name{label} value", one a line.
  std::string ToText() const;
};

} // namespace jaylane::gateway
