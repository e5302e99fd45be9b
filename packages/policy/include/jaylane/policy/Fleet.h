#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jaylane::policy {

/// What may be repeated.
enum class RequestKind
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each request id.
  NonIdempotent,
  /// A large body; otherwise as NonIdempotent.
  Upload,
};

/// A destination of a route; shares follow the weights.
struct WeightedService
{
  std::string m_service;
  std::uint32_t m_weight = 1;
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
  /// Longest time that a request may stay unanswered.
  std::chrono::milliseconds m_timeout{ 0 };
  /// Latency within which a response is fully useful to its caller.
  std::chrono::milliseconds m_targetLatency{ 0 };
  /// Number of upstreams that one request may be sent to.
  std::uint32_t m_attempts = 1;
  /// 0 is the most urgent.
  std::uint32_t m_priority = 0;
  /// Requests with the same affinity key are faster on an upstream that served the key before.
  bool m_sticky = false;
  /// Regions that may execute requests; empty: all.
  std::set<std::string> m_allowedRegions;
};

/// Settings of a group of interchangeable upstreams.
struct Service
{
  std::string m_name;
  std::string m_healthPath;
  /// Time for which an upstream is cold after its start.
  std::chrono::milliseconds m_warmup{ 0 };
  /// Requests a second that a cold upstream tolerates from all VMs together.
  double m_coldPerSecond = 0;
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

/// One version of the operators' configuration.
struct Configuration
{
  std::uint64_t m_version = 0;
  /// Revision of the store at which this was written.
  std::uint64_t m_revision = 0;
  std::vector<Route> m_routes;
  std::unordered_map<std::string, Service> m_services;
  CallerLimits m_limits;
};

/// One incarnation of an upstream as it registered itself.
struct Upstream
{
  std::string m_id;
  std::string m_service;
  /// "ip:port"; may belong to another upstream after this one has ended.
  std::string m_address;
  std::string m_zone;
  std::string m_region;
  std::uint32_t m_slots = 1;
  bool m_draining = false;
  /// How much longer the upstream stays cold, counted from when the entry was read.
  std::chrono::milliseconds m_coldRemaining{ 0 };
  /// Start of the incarnation, milliseconds since the Unix epoch.
  std::int64_t m_startedAtMs = 0;
  /// Revision of the store at which the entry last changed.
  std::uint64_t m_revision = 0;
};

} // namespace jaylane::policy
