#pragma once

#include "jaylane/policy/StoreRevision.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// Whether a request may be sent again.
enum class RequestKind
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each request id.
  NonIdempotent,
  /// Has a large body; otherwise like NonIdempotent.
  Upload,
};

/// A destination of a route. Requests are divided among destinations by their weights.
struct WeightedService
{
  std::string m_service;
  std::uint32_t m_weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// A rule that maps a host and a path prefix to services.
struct Route
{
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_prefix;
  RequestKind m_kind = RequestKind::NonIdempotent;
  std::vector<WeightedService> m_services;
  /// Longest time in which a request must be answered.
  std::chrono::milliseconds m_timeout{ 0 };
  /// Latency up to which a response counts as in time.
  std::chrono::milliseconds m_targetLatency{ 0 };
  /// Largest number of upstreams that a request may be sent to.
  std::uint32_t m_attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t m_priority = 0;
  /// Whether requests have affinity keys: an upstream serves a key faster that it served before.
  bool m_sticky = false;
  /// Regions that may execute requests; all if empty.
  std::set<std::string> m_allowedRegions;
  /// Whether requests need no API key although the configuration has teams.
  bool m_isPublic = false;
};

/// A group of callers that share API keys and a quota.
struct Team
{
  std::string m_name;
  /// Takes precedence over the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> m_priority;
  /// Regions that may execute the team's requests, in addition to the route's restriction; all if
  /// empty.
  std::set<std::string> m_allowedRegions;
  /// Requests per second that all VMs together may admit; 0: no limit.
  double m_ratePerSecond = 0;
  /// Requests that may be admitted at once in addition to the rate.
  double m_burst = 0;
  std::vector<std::string> m_apiKeys;
};

/// Configuration of a group of interchangeable upstreams.
struct Service
{
  std::string m_name;
  std::string m_healthPath;
  /// Time for which an upstream is cold after its start.
  std::chrono::milliseconds m_warmup{ 0 };
  /// Requests per second that a cold upstream tolerates from all VMs together.
  double m_coldPerSecond = 0;
  /// Connections that an upstream accepts from all VMs together.
  std::uint32_t m_maxConnections = 0;
};

/// Bounds on what a caller may send.
struct CallerLimits
{
  std::uint32_t m_maxHeaderBytes = 16 * 1024;
  std::uint64_t m_maxBodyBytes = 64 * 1024 * 1024;
  std::chrono::milliseconds m_headerTimeout{ 3000 };
  std::chrono::milliseconds m_idleTimeout{ 15000 };
};

/// One version of the configuration that the operators maintain.
struct Configuration
{
  std::uint64_t m_version = 0;
  /// Revision of the store at which this version was written.
  StoreRevision m_revision;
  std::vector<Route> m_routes;
  std::unordered_map<std::string, Service> m_services;
  /// Empty if requests need no API keys.
  std::optional<std::vector<Team>> m_teams;
  CallerLimits m_limits;
};

/// One incarnation of an upstream, as registered in the store.
struct Upstream
{
  std::string m_id;
  std::string m_service;
  /// "ip:port". May be reused by another upstream after this one has stopped.
  std::string m_address;
  std::string m_zone;
  std::string m_region;
  std::uint32_t m_slots = 1;
  bool m_draining = false;
  /// Remaining time for which the upstream is cold, from when the entry was read.
  std::chrono::milliseconds m_coldRemaining{ 0 };
  /// Start of the incarnation in milliseconds since the Unix epoch.
  std::int64_t m_startedAtMs = 0;
  /// Revision of the store at which the entry last changed.
  StoreRevision m_revision;

  bool operator==(const Upstream&) const = default;
};

} // namespace jaylane::policy
