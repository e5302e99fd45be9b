#include "TreeKeys.h"

#include <algorithm>
#include <chrono>

namespace jaylane::settings {

namespace {

using Effective = EffectiveSettings;
using Key = KeySpec<EffectiveSettings>;

constexpr std::int64_t kHourSeconds = 3600;
constexpr std::int64_t kDaySeconds = 86'400;
constexpr std::int64_t kHourMs = 3'600'000;
/// Maximum length of URL paths and header values.
constexpr std::size_t kMaxTextChars = 200;

Key CountKey(const char* aName,
             std::int64_t aMin,
             std::int64_t aMax,
             std::int64_t aDefault,
             std::uint32_t Effective::*aMember,
             const char* aDoc)
{
  return { aName,
           Integer(aMin, aMax),
           Json::Int64(aDefault),
           aDoc,
           [aMember](Effective& aEffective, const Json::Value& aValue) {
             aEffective.*aMember = static_cast<std::uint32_t>(aValue.asInt64());
           },
           [aMember](const Effective& aEffective) {
             return Json::Value(Json::Int64(aEffective.*aMember));
           } };
}

Key PercentKey(const char* aName,
               std::int64_t aDefault,
               std::uint32_t Effective::*aMember,
               const char* aDoc)
{
  return CountKey(aName, 0, 100, aDefault, aMember, aDoc);
}

template<typename Duration>
Key DurationKey(const char* aName,
                std::int64_t aMin,
                std::int64_t aMax,
                std::int64_t aDefault,
                Duration Effective::*aMember,
                const char* aDoc)
{
  return { aName,
           Integer(aMin, aMax),
           Json::Int64(aDefault),
           aDoc,
           [aMember](Effective& aEffective, const Json::Value& aValue) {
             aEffective.*aMember = Duration(aValue.asInt64());
           },
           [aMember](const Effective& aEffective) {
             return Json::Value(Json::Int64((aEffective.*aMember).count()));
           } };
}

Key TextKey(const char* aName,
            ValueSpec aSpec,
            const char* aDefault,
            std::string Effective::*aMember,
            const char* aDoc)
{
  return { aName,
           std::move(aSpec),
           aDefault,
           aDoc,
           [aMember](Effective& aEffective, const Json::Value& aValue) {
             aEffective.*aMember = aValue.asString();
           },
           [aMember](const Effective& aEffective) { return Json::Value(aEffective.*aMember); } };
}

bool IsVisibleAscii(char aChar)
{
  return aChar > ' ' && aChar <= '~';
}

ValueSpec UrlPath()
{
  return Text("a path that starts with \"/\"", [](const std::string& aText) {
    return aText.starts_with("/") && aText.size() <= kMaxTextChars &&
           std::all_of(aText.begin(), aText.end(), IsVisibleAscii);
  });
}

ValueSpec HeaderName()
{
  return Text("the name of an HTTP header", IsIdentifier);
}

ValueSpec HeaderValue()
{
  return Text("the value of an HTTP header in visible ASCII", [](const std::string& aText) {
    return !aText.empty() && aText.size() <= kMaxTextChars &&
           std::all_of(aText.begin(), aText.end(), IsVisibleAscii);
  });
}

std::vector<Key> MakeShiftKeys()
{
  using E = Effective;
  return {
    PercentKey("shift_total_cap_percent",
               10,
               &E::m_shiftTotalCapPercent,
               "Most of a service's weight that may move within the shift window."),
    PercentKey("shift_planned_part_percent",
               6,
               &E::m_shiftPlannedPartPercent,
               "Part of the cap for planned shifts."),
    PercentKey("shift_failover_part_percent",
               4,
               &E::m_shiftFailoverPartPercent,
               "Part of the cap for local failover, split over the entry VMs."),
    DurationKey("shift_window_seconds",
                1,
                kDaySeconds,
                60,
                &E::m_shiftWindow,
                "Sliding window to which the cap applies."),
    PercentKey("planner_reserve_percent",
               20,
               &E::m_plannerReservePercent,
               "Capacity of a site that planned shifts leave free."),
    PercentKey("latency_weight_percent",
               50,
               &E::m_latencyWeightPercent,
               "Choice of sites: 100 by latency alone, 0 by headroom alone."),
    DurationKey("lookup_lifetime_ms",
                100,
                kHourMs,
                5000,
                &E::m_lookupLifetime,
                "How long callers may use a lookup response."),
    DurationKey("recovery_hold_seconds",
                0,
                kDaySeconds,
                120,
                &E::m_recoveryHold,
                "How long a site must be well before traffic returns to it."),
    DurationKey("drain_grace_seconds",
                0,
                kDaySeconds,
                30,
                &E::m_drainGrace,
                "How long in-flight requests may take after a drain before it is reported."),
  };
}

std::vector<Key> MakeRequestKeys()
{
  using E = Effective;
  return {
    DurationKey("request_timeout_ms",
                10,
                kHourMs,
                30'000,
                &E::m_requestTimeout,
                "Deadline of a request that names none."),
    CountKey("queue_limit_requests",
             0,
             100'000,
             256,
             &E::m_queueLimitRequests,
             "Requests that may wait for a slot."),
    DurationKey(
      "queue_limit_wait_ms", 0, kHourMs, 2000, &E::m_queueLimitWait, "Longest wait for a slot."),
    PercentKey("retry_budget_percent",
               10,
               &E::m_retryBudgetPercent,
               "Retries as a share of recent requests."),
    CountKey("retry_attempts", 1, 5, 2, &E::m_retryAttempts, "Attempts of a request in all."),
    DurationKey("quarantine_seconds",
                1,
                kDaySeconds,
                600,
                &E::m_quarantineTime,
                "How long a request that crashes upstreams is rejected."),
    DurationKey(
      "lease_duration_ms",
      100,
      10 * 60'000,
      10'000,
      &E::m_leaseDuration,
      "How long a slot is lent to another entry VM; a service whose request timeout is not shorter "
      "does not borrow."),
    DurationKey("claim_lifetime_seconds",
                1,
                30 * kDaySeconds,
                kDaySeconds,
                &E::m_claimLifetime,
                "How long the store keeps the claim of a key chosen by a caller."),
    CountKey("claim_rate_per_second",
             0,
             1000,
             5,
             &E::m_claimRatePerSecond,
             "Claims that one entry VM may write to the store."),
    PercentKey("link_bulk_percent",
               50,
               &E::m_linkBulkPercent,
               "Part of a link's rate that bulk transfers may use."),
  };
}

std::vector<Key> MakeUpstreamKeys()
{
  using E = Effective;
  return {
    DurationKey("slow_start_seconds",
                0,
                kHourSeconds,
                30,
                &E::m_slowStartTime,
                "How long a cold upstream takes to reach its full share."),
    PercentKey("max_ejected_percent",
               30,
               &E::m_maxEjectedPercent,
               "Upstreams of a service that may be ejected at once."),
    DurationKey("probe_interval_ms",
                50,
                kHourMs,
                500,
                &E::m_probeInterval,
                "Time between two probes of an upstream."),
    DurationKey(
      "probe_timeout_ms", 10, kHourMs, 250, &E::m_probeTimeout, "How long a probe may take."),
    TextKey("health_path", UrlPath(), "/health", &E::m_healthPath, "Path of the health probe."),
    TextKey("load_path", UrlPath(), "/load", &E::m_loadPath, "Path of the load report."),
    TextKey("refusal_header_name",
            HeaderName(),
            "X-Refused",
            &E::m_refusalHeaderName,
            "Header by which an upstream proves that it did not run a request."),
    TextKey("refusal_header_value",
            HeaderValue(),
            "not-run",
            &E::m_refusalHeaderValue,
            "Value of that header."),
  };
}

std::vector<Key> MakeTreeKeys()
{
  std::vector<Key> keys = MakeShiftKeys();
  for (auto* make : { &MakeRequestKeys, &MakeUpstreamKeys }) {
    for (Key& key : make()) {
      keys.push_back(std::move(key));
    }
  }
  return keys;
}

} // namespace

const std::vector<KeySpec<EffectiveSettings>>& TreeKeys()
{
  static const std::vector<Key> sKeys = MakeTreeKeys();
  return sKeys;
}

Json::Value EffectiveSettings::ToJson() const
{
  Json::Value json(Json::objectValue);
  for (const Key& key : TreeKeys()) {
    json[key.m_name]["value"] = key.m_read(*this);
    const auto origin = m_origins.find(key.m_name);
    json[key.m_name]["from"] = origin == m_origins.end() ? "default" : origin->second;
  }
  return json;
}

} // namespace jaylane::settings
