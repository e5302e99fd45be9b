#include "Steering.h"

#include "jaylane/policy/AddressClaims.h"
#include "jaylane/policy/ColdStartPacing.h"
#include "jaylane/policy/RegionChange.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <limits>
#include <random>
#include <span>
#include <xxhash.h>

namespace jaylane::gateway {

namespace {

using std::chrono::milliseconds;

/// Interval between probes of an unreachable upstream; doubles with each probe up to the maximum.
constexpr milliseconds kInitialProbeInterval{ 300 };
constexpr milliseconds kMaxProbeInterval{ 2000 };
/// Parts of the two terms of the retry limit that the running VMs may use together. The rest covers
/// VMs that restart with a full budget.
constexpr double kAllocatedRetryShare = 0.75;
constexpr double kAllocatedRetrySlack = 0.6;
/// Part of an upstream's connection limit that is divided among the VMs. The rest covers VMs that
/// this one does not know yet and connections whose close the upstream has not noticed yet.
constexpr double kAllocatedConnectionShare = 0.7;
constexpr std::uint32_t kMinConnections = 2;

/// Requests per second that all VMs together send whatever the limit is, to notice when it ends.
constexpr double kMinLimit = 0.1;
/// Time for which an incarnation that said that it leaves, or whose address was passed on, is
/// remembered after its registration has ended. A late copy of the registration may bring it back.
constexpr std::chrono::minutes kEndedMemory{ 10 };

/// Heartbeats after which the store has removed the entry of an upstream that has ended: three that
/// are missed, and one as a margin.
constexpr int kEntryLifetimeHeartbeats = 4;

/// Longest time for which a VM that could serve requests waits for the quarantine records.
constexpr milliseconds kMaxQuarantineWait{ 1000 };

/// Changes of allowed regions that are logged for one configuration.
constexpr std::size_t kMaxLoggedRegionChanges = 16;

/// Requests kept per upstream until its crash probe ends. Few are open at one upstream at a time.
constexpr std::size_t kMaxSuspectedRequests = 64;

/// Name of one incarnation: an upstream may start again under its id.
std::string IncarnationOf(const policy::Upstream& aUpstream)
{
  return std::string{ aUpstream.m_id }.append("@").append(std::to_string(aUpstream.m_startedAtMs));
}

std::uint64_t HashOf(const std::string& aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

policy::UpstreamRegistry::Options RegistryOptionsFor(const GatewaySettings& aSettings)
{
  policy::UpstreamRegistry::Options options;
  options.m_entryLifetime = aSettings.m_heartbeat * kEntryLifetimeHeartbeats;
  return options;
}

} // namespace

Steering::Steering(const GatewaySettings& aSettings,
                   const base::Clock& aClock,
                   base::AsyncLog& aLog)
  : m_settings(aSettings)
  , m_clock(aClock)
  , m_log(aLog)
  , m_registry(RegistryOptionsFor(aSettings))
  , m_regions({})
  , m_containment(policy::QuarantineOptions::MakeForSharedPaths(), std::random_device{}())
{
}

bool Steering::ApplyConfiguration(policy::Configuration aConfiguration)
{
  const std::uint64_t version = aConfiguration.m_version;
  const std::uint64_t present = m_routes ? m_routes->Config().m_version : 0;
  const bool isNewer =
    !m_routes || version > present ||
    (version == present && aConfiguration.m_revision > m_routes->Config().m_revision);
  m_log.Write(base::LogRecord("configuration")
                .Add("version", version)
                .Add("revision", aConfiguration.m_revision.Number())
                .Add("present_version", present)
                .Add("outcome", isNewer ? "applied" : "ignored: older"));
  if (!isNewer) {
    return false;
  }
  // Differs between VMs and versions.
  const std::uint64_t seed = HashOf(fmt::format("{}/{}", m_settings.m_name, version));
  auto routes = std::make_shared<policy::RouteTable>(std::move(aConfiguration), seed);
  if (m_routes) {
    routes->ContinueFrom(*m_routes);
    LogRegionChanges(m_routes->Config(), routes->Config());
    m_routes->SetNext(routes);
  }
  m_routes = std::move(routes);
  UpdateBalancers();
  return true;
}

void Steering::LogRegionChanges(const policy::Configuration& aPrevious,
                                const policy::Configuration& aNext) const
{
  const std::vector<policy::RegionChange> changes = policy::RegionChangesBetween(aPrevious, aNext);
  for (const policy::RegionChange& change :
       std::span(changes).first(std::min(changes.size(), kMaxLoggedRegionChanges))) {
    m_log.Write(base::LogRecord("allowed_regions_changed")
                  .Add("version", aNext.m_version)
                  .Add("route", change.m_route)
                  .Add("team", change.m_team)
                  .Add("previous", fmt::format("{}", fmt::join(change.m_previous, " ")))
                  .Add("allowed", fmt::format("{}", fmt::join(change.m_allowed, " ")))
                  .Add("changes", changes.size()));
  }
}

void Steering::ReplaceUpstreams(std::vector<policy::Upstream> aUpstreams)
{
  m_registry.Replace(std::move(aUpstreams), m_clock.Monotonic());
  m_hasUpstreams = true;
  UpdateBalancers();
}

void Steering::PutUpstream(policy::Upstream aUpstream)
{
  m_log.Write(base::LogRecord("upstream_changed")
                .Add("upstream", aUpstream.m_id)
                .Add("service", aUpstream.m_service)
                .Add("zone", aUpstream.m_zone)
                .Add("region", aUpstream.m_region)
                .Add("address", aUpstream.m_address)
                .Add("state", aUpstream.m_draining ? "draining" : "ready")
                .Add("cold_ms", aUpstream.m_coldRemaining)
                .Add("revision", aUpstream.m_revision.Number()));
  m_registry.Put(std::move(aUpstream), m_clock.Monotonic());
  m_hasChanges = true;
}

void Steering::RemoveUpstream(const std::string& aId, policy::StoreRevision aRevision)
{
  m_log.Write(
    base::LogRecord("upstream_removed").Add("upstream", aId).Add("revision", aRevision.Number()));
  m_registry.Remove(aId, aRevision, m_clock.Monotonic());
  m_hasChanges = true;
}

void Steering::SetEvacuations(std::set<std::string> aZones)
{
  const auto now = m_clock.Monotonic();
  for (const std::string& zone : m_evacuatedZones) {
    if (!aZones.contains(zone)) {
      m_evacuationEnds[zone] = now;
      m_log.Write(base::LogRecord("evacuation_ended").Add("zone", zone));
    }
  }
  for (const std::string& zone : aZones) {
    if (!m_evacuatedZones.contains(zone)) {
      m_log.Write(base::LogRecord("evacuation_started").Add("zone", zone));
    }
  }
  m_evacuatedZones = std::move(aZones);
  UpdateBalancers();
}

void Steering::SetMembers(std::set<std::string> aNames)
{
  aNames.insert(m_settings.m_name);
  if (aNames != m_members) {
    m_members = std::move(aNames);
    m_retries.clear();
    UpdateBalancers();
  }
}

void Steering::OnStoreReachable(bool aIsReachable)
{
  if (aIsReachable) {
    m_registry.OnStoreRecovered(m_clock.Monotonic());
  } else {
    m_registry.OnStoreUnreachable();
  }
}

void Steering::OnStoreRestored(std::uint64_t aEra)
{
  m_registry.OnStoreRestored(aEra, m_clock.Monotonic());
}

void Steering::OnStoredQuarantines(const QuarantineStore::Contents& aContents)
{
  m_awaitsQuarantines = false;
  OnPeerStrikes(m_quarantineJournal.StrikesOf(aContents.m_records, m_clock.Wall()));
  for (const policy::RequestFingerprint& fingerprint : aContents.m_lifted) {
    m_log.Write(base::LogRecord("quarantine_lifted").Add("fingerprint", fingerprint.ToString()));
    m_containment.Lift(fingerprint);
  }
}

std::vector<policy::QuarantineRecord> Steering::TakeQuarantineRecords()
{
  return m_quarantineJournal.TakeDue(m_containment.List(), m_clock.Monotonic(), m_clock.Wall());
}

void Steering::LimitQuarantineWait()
{
  if (!m_awaitsQuarantines || !m_routes || !m_hasUpstreams) {
    return;
  }
  const base::MonotonicTime now = m_clock.Monotonic();
  m_quarantinesAwaitedSince = m_quarantinesAwaitedSince.value_or(now);
  if (now - *m_quarantinesAwaitedSince >= kMaxQuarantineWait) {
    m_log.Write(base::LogRecord("quarantines_unknown"));
    m_awaitsQuarantines = false;
  }
}

void Steering::Tick()
{
  LimitQuarantineWait();
  m_hasChanges = m_registry.RemoveExpired(m_clock.Monotonic()) || m_hasChanges ||
                 m_pauses.RemoveExpired(m_clock.Monotonic()) ||
                 m_regions.IsReturning(m_clock.Monotonic());
  if (m_hasChanges) {
    UpdateBalancers();
  }
}

std::string Steering::RegionOf(const std::string& aId) const
{
  const auto record = m_registry.Records().find(aId);
  return record == m_registry.Records().end() ? std::string{} : record->second.m_upstream.m_region;
}

void Steering::OnRegionFailure(const std::string& aId)
{
  const std::string region = RegionOf(aId);
  if (region.empty() || region == m_settings.m_region) {
    return;
  }
  if (m_regions.OnFailure(region, aId)) {
    m_log.Write(base::LogRecord("region_cut_off").Add("region", region).Add("last_upstream", aId));
    UpdateBalancers();
  }
}

void Steering::OnRegionResponse(const std::string& aId)
{
  const std::string region = RegionOf(aId);
  if (m_regions.OnResponse(region, m_clock.Monotonic())) {
    m_log.Write(base::LogRecord("region_regained").Add("region", region).Add("upstream", aId));
    m_hasChanges = true;
  }
}

void Steering::OnConnected(const std::string& aId, std::chrono::nanoseconds aTime)
{
  const auto record = m_registry.Records().find(aId);
  if (record == m_registry.Records().end()) {
    return;
  }
  const policy::NetworkDistance distance = DistanceTo(record->second.m_upstream);
  const milliseconds before = m_roundTrips.Estimate(distance);
  m_roundTrips.Record(distance, aTime);
  m_hasChanges = m_hasChanges || m_roundTrips.Estimate(distance) != before;
}

void Steering::OnUnreachable(const std::string& aId)
{
  OnRegionFailure(aId);
  const auto [entry, isNew] = m_unreachable.try_emplace(aId);
  if (isNew) {
    m_log.Write(base::LogRecord("upstream_unreachable").Add("upstream", aId));
    entry->second = { m_clock.Monotonic() + kInitialProbeInterval, kInitialProbeInterval, {} };
    UpdateBalancers();
  }
}

void Steering::OnUnresponsive(const std::string& aService, const std::string& aId)
{
  m_log.Write(base::LogRecord("upstream_silent").Add("upstream", aId).Add("service", aService));
  m_unresponsive.insert_or_assign(
    aId, ProbeState{ m_clock.Monotonic(), kInitialProbeInterval, aService });
}

void Steering::OnResponsive(const std::string& aId)
{
  OnRegionResponse(aId);
  if (const auto entry = m_unresponsive.find(aId); entry != m_unresponsive.end()) {
    m_log.Write(base::LogRecord("upstream_heard").Add("upstream", aId));
    Balancer(entry->second.m_service).OnProbeResponse(aId, m_clock.Monotonic());
    m_unresponsive.erase(entry);
  }
}

void Steering::OnSuspectedCrash(const std::string& aId,
                                const policy::RequestFingerprint& aRequest,
                                bool aWasSuspect)
{
  auto& requests = m_suspectedCrashes[aId].m_requests;
  if (requests.size() < kMaxSuspectedRequests) {
    requests.push_back({ aRequest, aWasSuspect });
  }
  if (m_onProbeDue) {
    m_onProbeDue();
  }
}

void Steering::OnProbeEnded(const std::string& aId, bool aIsAlive)
{
  const auto suspected = m_suspectedCrashes.find(aId);
  if (suspected == m_suspectedCrashes.end() || !suspected->second.m_isProbed) {
    return;
  }
  const auto& requests = suspected->second.m_requests;
  m_log.Write(base::LogRecord(aIsAlive ? "upstream_lost_responses" : "upstream_crashed")
                .Add("upstream", aId)
                .Add("requests", requests.size()));
  if (!aIsAlive) {
    for (const LostRequest& request : requests) {
      RecordCrash(aId, request);
    }
  }
  m_suspectedCrashes.erase(suspected);
}

void Steering::RecordCrash(const std::string& aId, const LostRequest& aRequest)
{
  const auto now = m_clock.Monotonic();
  const policy::RequestFingerprint& fingerprint = aRequest.m_fingerprint;
  m_containment.OnCrash(
    fingerprint, policy::QuarantineList::HashUpstream(aId, {}), aRequest.m_wasSuspect, now);
  m_quarantineJournal.OnCrash(fingerprint, aRequest.m_wasSuspect, m_containment.List(), now);
  const policy::CrashCounts crashes = m_containment.List().Crashes(fingerprint, now);
  const bool isQuarantined = m_containment.List().IsQuarantined(fingerprint, now);
  m_log.Write(base::LogRecord("crash_strike")
                .Add("fingerprint", fingerprint.ToString())
                .Add("upstream", aId)
                .Add("crashes", crashes.m_total)
                .Add("counted", crashes.m_counted)
                .Add("repeats", crashes.m_repeats)
                .Add("outcome", isQuarantined ? "quarantined" : "kept"));
}

void Steering::OnPeerStrikes(const std::vector<policy::Strike>& aStrikes)
{
  const std::size_t held = m_containment.List().size();
  m_containment.OnPeerStrikes(aStrikes, m_clock.Monotonic());
  if (m_containment.List().size() > held) {
    m_log.Write(base::LogRecord("peer_strikes")
                  .Add("told", aStrikes.size())
                  .Add("new", m_containment.List().size() - held)
                  .Add("held", m_containment.List().size()));
  }
}

void Steering::AddCrashProbes(std::vector<ProbeTarget>& aDue)
{
  // A crashed upstream keeps its registry entry for a while. One without an entry had deregistered
  // before, so it did not crash.
  std::erase_if(m_suspectedCrashes, [this](const auto& aEntry) {
    return !m_registry.Records().contains(aEntry.first);
  });
  for (auto& [id, suspected] : m_suspectedCrashes) {
    if (!suspected.m_isProbed) {
      suspected.m_isProbed = true;
      const policy::Upstream& upstream = m_registry.Records().at(id).m_upstream;
      aDue.push_back({ policy::UpstreamIdentity::Of(upstream), HealthPath(upstream) });
    }
  }
}

void Steering::OnProbeSucceeded(const std::string& aId, milliseconds aColdRemaining)
{
  m_log.Write(
    base::LogRecord("upstream_reachable").Add("upstream", aId).Add("cold_ms", aColdRemaining));
  m_unreachable.erase(aId);
  if (aColdRemaining.count() > 0) {
    m_probedColdUntil[aId] = m_clock.Monotonic() + aColdRemaining;
  }
  UpdateBalancers();
}

void Steering::OnLeaving(const std::string& aId)
{
  const auto record = m_registry.Records().find(aId);
  if (record == m_registry.Records().end() || IsLeaving(record->second.m_upstream)) {
    return;
  }
  m_log.Write(base::LogRecord("upstream_leaving").Add("upstream", aId));
  m_leaving.insert_or_assign(
    aId, LeavingIncarnation{ record->second.m_upstream.m_startedAtMs, m_clock.Monotonic() });
  UpdateBalancers();
}

void Steering::OnPauseRequested(const std::string& aId, milliseconds aPause)
{
  const auto record = m_registry.Records().find(aId);
  if (record == m_registry.Records().end()) {
    return;
  }
  m_log.Write(base::LogRecord("upstream_pause").Add("upstream", aId).Add("pause_ms", aPause));
  m_pauses.OnRejected(IncarnationOf(record->second.m_upstream), aPause, m_clock.Monotonic());
}

void Steering::OnLimit(const std::string& aId, std::optional<double> aPerSecond)
{
  Observe({ aId, aPerSecond, m_clock.Monotonic() });
}

void Steering::OnPeerLimits(const std::vector<policy::LimitObservation>& aObservations)
{
  for (const policy::LimitObservation& observation : aObservations) {
    Observe(observation);
  }
}

void Steering::Observe(const policy::LimitObservation& aObservation)
{
  if (!m_limits.Observe(aObservation)) {
    return;
  }
  base::LogRecord record("upstream_limit");
  record.Add("upstream", aObservation.m_upstream);
  if (aObservation.m_perSecond) {
    record.Add("per_second", fmt::format("{:.3f}", *aObservation.m_perSecond));
  } else {
    record.Add("state", "ended");
  }
  m_log.Write(record);
  ApplyLimit(aObservation.m_upstream);
}

std::vector<policy::LimitObservation> Steering::RecentLimits()
{
  m_limits.RemoveExpired(
    [this](const std::string& aId) { return m_registry.Records().contains(aId); },
    m_clock.Monotonic());
  return m_limits.Recent(m_clock.Monotonic());
}

void Steering::OnLoad(const std::string& aId,
                      std::optional<std::uint64_t> aKey,
                      const policy::LoadReport& aReport)
{
  constexpr std::uint32_t kMaxCount = std::numeric_limits<std::uint16_t>::max();
  // Others are not told more than this between two calls of TakeLoads() anyway.
  if (m_loads.size() == policy::LoadObservations::kMaxKept) {
    m_loads.erase(m_loads.begin());
  }
  m_loads.push_back({ policy::LoadObservation::HashUpstream(aId),
                      aKey ? policy::LoadObservation::HashKey(*aKey) : std::uint16_t{ 0 },
                      static_cast<std::uint16_t>(std::min(aReport.m_running, kMaxCount)),
                      static_cast<std::uint16_t>(std::min(aReport.m_waiting, kMaxCount)),
                      m_clock.Monotonic() });
}

void Steering::OnUnreadableLoad(const std::string& aId)
{
  if (m_registry.Records().contains(aId) && m_unreadableLoads.insert(aId).second) {
    m_log.Write(base::LogRecord("load_unreadable").Add("upstream", aId));
  }
}

std::vector<policy::LoadObservation> Steering::TakeLoads()
{
  return std::exchange(m_loads, {});
}

std::size_t Steering::OnPeerLoads(const std::vector<policy::LoadObservation>& aObservations)
{
  const base::MonotonicTime now = m_clock.Monotonic();
  return static_cast<std::size_t>(
    std::ranges::count_if(aObservations, [&](const policy::LoadObservation& aObservation) {
      return std::ranges::any_of(
        m_balancers, [&](auto& aBalancer) { return aBalancer.second.Observe(aObservation, now); });
    }));
}

std::map<std::string, double> Steering::SpillShares() const
{
  std::map<std::string, double> shares;
  for (const auto& [service, balancer] : m_balancers) {
    shares[service] = balancer.SpillShare();
  }
  return shares;
}

void Steering::SetDemandShare(double aShare)
{
  if (aShare > 0 && m_demandShare != aShare) {
    m_demandShare = aShare;
    ApplyLimits();
  }
}

void Steering::ApplyLimit(const std::string& aId)
{
  const auto record = m_registry.Records().find(aId);
  if (record == m_registry.Records().end()) {
    return;
  }
  std::optional<double> rate = m_limits.LimitOf(aId);
  if (rate) {
    const auto vms = static_cast<double>(std::max<std::size_t>(m_members.size(), 1));
    rate = std::max(*rate, kMinLimit) * m_demandShare.value_or(1 / vms);
  }
  Balancer(record->second.m_upstream.m_service).SetRate(aId, rate, m_clock.Monotonic());
}

void Steering::ApplyLimits()
{
  for (const std::string& id : m_limits.Limited()) {
    ApplyLimit(id);
  }
}

milliseconds Steering::ShortestPause(const std::string& aService) const
{
  milliseconds shortest{ 0 };
  for (const auto& [id, record] : m_registry.Records()) {
    const milliseconds pause =
      record.m_upstream.m_service == aService
        ? m_pauses.Remaining(IncarnationOf(record.m_upstream), m_clock.Monotonic())
        : milliseconds{ 0 };
    if (pause.count() > 0 && (shortest.count() == 0 || pause < shortest)) {
      shortest = pause;
    }
  }
  return shortest;
}

void Steering::OnAddressReused(const policy::UpstreamIdentity& aUpstream)
{
  const auto record = m_registry.Records().find(aUpstream.m_id);
  if (record != m_registry.Records().end() &&
      policy::UpstreamIdentity::Of(record->second.m_upstream) != aUpstream) {
    return;
  }
  m_log.Write(base::LogRecord("upstream_replaced")
                .Add("upstream", aUpstream.m_id)
                .Add("address", aUpstream.m_address)
                .Add("region", aUpstream.m_region));
  m_replaced.insert_or_assign(aUpstream.m_id,
                              ReplacedIncarnation{ aUpstream, m_clock.Monotonic() });
  UpdateBalancers();
}

void Steering::OnIdentityConfirmed(const policy::UpstreamIdentity& aUpstream)
{
  const auto record = m_registry.Records().find(aUpstream.m_id);
  if (!m_superseded.contains(aUpstream.m_id) || record == m_registry.Records().end() ||
      policy::UpstreamIdentity::Of(record->second.m_upstream) != aUpstream) {
    return;
  }
  for (const auto& [id, other] : m_registry.Records()) {
    if (id != aUpstream.m_id && other.m_upstream.m_address == aUpstream.m_address) {
      OnAddressReused(policy::UpstreamIdentity::Of(other.m_upstream));
    }
  }
}

std::vector<Steering::ProbeTarget> Steering::TakeDueProbes()
{
  std::vector<ProbeTarget> due;
  AddDueProbes(m_unreachable, due);
  AddDueProbes(m_unresponsive, due);
  AddDueProbes(m_superseded, due);
  AddCrashProbes(due);
  return due;
}

void Steering::AddDueProbes(ProbedUpstreams& aUpstreams, std::vector<ProbeTarget>& aDue)
{
  const auto now = m_clock.Monotonic();
  for (auto& [id, state] : aUpstreams) {
    const auto record = m_registry.Records().find(id);
    if (now < state.m_nextProbe || record == m_registry.Records().end() ||
        m_pauses.IsPaused(IncarnationOf(record->second.m_upstream), now)) {
      continue;
    }
    state.m_interval = std::min(state.m_interval * 2, kMaxProbeInterval);
    state.m_nextProbe = now + state.m_interval;
    const policy::Upstream& upstream = record->second.m_upstream;
    aDue.push_back({ policy::UpstreamIdentity::Of(upstream), HealthPath(upstream) });
  }
}

std::string Steering::HealthPath(const policy::Upstream& aUpstream) const
{
  if (!m_routes) {
    return {};
  }
  const auto service = m_routes->Config().m_services.find(aUpstream.m_service);
  return service == m_routes->Config().m_services.end() ? std::string{}
                                                        : service->second.m_healthPath;
}

policy::ServiceBalancer& Steering::Balancer(const std::string& aService)
{
  return m_balancers
    .try_emplace(
      aService, policy::BalancerOptions{}, m_settings.m_region, HashOf(m_settings.m_name))
    .first->second;
}

policy::RetryBudget& Steering::RetryBudget(const std::string& aService)
{
  const auto existing = m_retries.find(aService);
  if (existing != m_retries.end()) {
    return existing->second;
  }
  policy::RetryBudget::Options options;
  options.m_window = m_settings.m_retryWindow;
  options.m_retriesPerMille =
    static_cast<std::uint32_t>(m_settings.m_retryShare * kAllocatedRetryShare * 1000);
  const auto vms = std::max<std::size_t>(m_members.size(), 1);
  options.m_minRetries =
    static_cast<std::uint32_t>(m_settings.m_retrySlack * kAllocatedRetrySlack / vms);
  return m_retries.emplace(aService, policy::RetryBudget{ options }).first->second;
}

std::unordered_set<std::string> Steering::UpstreamIds() const
{
  std::unordered_set<std::string> ids;
  for (const auto& [id, record] : m_registry.Records()) {
    ids.insert(id);
  }
  return ids;
}

milliseconds Steering::Warmup(const std::string& aService) const
{
  if (!m_routes) {
    return milliseconds{ 0 };
  }
  const auto service = m_routes->Config().m_services.find(aService);
  return service == m_routes->Config().m_services.end() ? milliseconds{ 0 }
                                                        : service->second.m_warmup;
}

base::MonotonicTime Steering::ColdUntil(const policy::UpstreamRegistry::Record& aRecord) const
{
  const policy::Upstream& upstream = aRecord.m_upstream;
  base::MonotonicTime until = aRecord.m_readAt + upstream.m_coldRemaining;
  if (const auto probed = m_probedColdUntil.find(upstream.m_id);
      probed != m_probedColdUntil.end()) {
    until = std::max(until, probed->second);
  }
  // Upstreams of an evacuated zone may have been restarted, which their registry entries report
  // only later.
  if (const auto ended = m_evacuationEnds.find(upstream.m_zone);
      ended != m_evacuationEnds.end() && aRecord.m_readAt < ended->second) {
    until = std::max(until, ended->second + Warmup(upstream.m_service));
  }
  return until;
}

milliseconds Steering::ColdRequestInterval(const policy::Upstream& aUpstream) const
{
  if (!m_routes || m_members.empty()) {
    return milliseconds{ 0 };
  }
  const auto service = m_routes->Config().m_services.find(aUpstream.m_service);
  if (service == m_routes->Config().m_services.end()) {
    return milliseconds{ 0 };
  }
  const std::uint64_t upstream = HashOf(aUpstream.m_id);
  const auto keyOf = [upstream](const std::string& aMember) {
    return XXH64(aMember.data(), aMember.size(), upstream);
  };
  const std::uint64_t own = keyOf(m_settings.m_name);
  const auto rank = std::ranges::count_if(
    m_members, [&](const std::string& aMember) { return keyOf(aMember) < own; });
  const double perSecond =
    service->second.m_coldPerSecond * m_settings.m_coldFactor + m_settings.m_coldSlack;
  return policy::ColdRequestInterval(
    perSecond, static_cast<std::uint32_t>(m_members.size()), static_cast<std::uint32_t>(rank));
}

std::uint32_t Steering::MaxInFlight(const policy::Upstream& aUpstream) const
{
  if (!m_routes) {
    return kMinConnections;
  }
  const auto service = m_routes->Config().m_services.find(aUpstream.m_service);
  if (service == m_routes->Config().m_services.end()) {
    return kMinConnections;
  }
  const double share = service->second.m_maxConnections * kAllocatedConnectionShare /
                       static_cast<double>(std::max<std::size_t>(m_members.size(), 1));
  return std::max(kMinConnections, static_cast<std::uint32_t>(share));
}

policy::NetworkDistance Steering::DistanceTo(const policy::Upstream& aUpstream) const
{
  if (aUpstream.m_zone == m_settings.m_zone) {
    return { policy::NetworkDistance::Scope::Zone, {} };
  }
  return aUpstream.m_region == m_settings.m_region
           ? policy::NetworkDistance{ policy::NetworkDistance::Scope::Region, {} }
           : policy::NetworkDistance{ policy::NetworkDistance::Scope::OtherRegion,
                                      aUpstream.m_region };
}

bool Steering::IsLeaving(const policy::Upstream& aUpstream) const
{
  const auto leaving = m_leaving.find(aUpstream.m_id);
  return leaving != m_leaving.end() && leaving->second.m_startedAtMs == aUpstream.m_startedAtMs;
}

bool Steering::IsReplaced(const policy::Upstream& aUpstream) const
{
  const auto replaced = m_replaced.find(aUpstream.m_id);
  return replaced != m_replaced.end() &&
         replaced->second.m_identity == policy::UpstreamIdentity::Of(aUpstream);
}

void Steering::ForgetEnded(auto& aIncarnations, base::MonotonicTime aNow)
{
  for (auto& [id, incarnation] : aIncarnations) {
    if (m_registry.Records().contains(id)) {
      incarnation.m_lastRegistered = aNow;
    }
  }
  std::erase_if(aIncarnations, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.m_lastRegistered > kEndedMemory;
  });
}

void Steering::UpdateSuperseded(base::MonotonicTime aNow)
{
  std::vector<const policy::Upstream*> entries;
  for (const auto& [id, record] : m_registry.Records()) {
    // An entry of a service that no configuration names may come from another writer.
    const std::string& service = record.m_upstream.m_service;
    if (m_routes && m_routes->Config().m_services.contains(service) &&
        !IsReplaced(record.m_upstream)) {
      entries.push_back(&record.m_upstream);
    }
  }
  const std::map<std::string, std::string> superseded = policy::SupersededUpstreams(entries);
  std::erase_if(m_superseded,
                [&](const auto& aEntry) { return !superseded.contains(aEntry.first); });
  for (const auto& [id, holder] : superseded) {
    const auto [entry, isNew] = m_superseded.try_emplace(id);
    if (!isNew) {
      continue;
    }
    // The entry of an upstream that has ended is removed by then. An earlier probe would only reach
    // the holder of its address, which may be cold.
    entry->second = { aNow + m_settings.m_heartbeat * kEntryLifetimeHeartbeats,
                      kInitialProbeInterval,
                      {} };
    const policy::Upstream& upstream = m_registry.Records().at(id).m_upstream;
    m_log.Write(base::LogRecord("upstream_superseded")
                  .Add("upstream", id)
                  .Add("address", upstream.m_address)
                  .Add("region", upstream.m_region)
                  .Add("holder", holder)
                  .Add("holder_region", RegionOf(holder)));
  }
}

bool Steering::IsInService(const policy::Upstream& aUpstream) const
{
  return !aUpstream.m_draining && !IsLeaving(aUpstream) &&
         !m_evacuatedZones.contains(aUpstream.m_zone) && !IsReplaced(aUpstream) &&
         !m_superseded.contains(aUpstream.m_id);
}

bool Steering::MayReceive(const std::string& aId) const
{
  const auto record = m_registry.Records().find(aId);
  return record != m_registry.Records().end() && IsInService(record->second.m_upstream) &&
         !m_pendingRemovals.Contains(aId) &&
         !m_pauses.IsPaused(IncarnationOf(record->second.m_upstream), m_clock.Monotonic());
}

bool Steering::MayReceive(const policy::Upstream& aChosen) const
{
  const auto record = m_registry.Records().find(aChosen.m_id);
  return record != m_registry.Records().end() &&
         policy::UpstreamIdentity::IsSame(record->second.m_upstream, aChosen) &&
         MayReceive(aChosen.m_id);
}

std::string Steering::ConfirmationPath(const policy::Upstream& aUpstream) const
{
  const auto record = m_registry.Records().find(aUpstream.m_id);
  return record != m_registry.Records().end() &&
             m_registry.MayBeOutdated(record->second, m_clock.Monotonic())
           ? HealthPath(aUpstream)
           : std::string{};
}

void Steering::UpdateBalancers()
{
  m_hasChanges = false;
  const auto now = m_clock.Monotonic();
  UpdateSuperseded(now);
  std::unordered_map<std::string, std::vector<policy::ServiceBalancer::Candidate>> candidates;
  for (const auto& [id, record] : m_registry.Records()) {
    const policy::Upstream& upstream = record.m_upstream;
    auto& list = candidates[upstream.m_service];
    if (!IsInService(upstream) || m_unreachable.contains(id)) {
      continue;
    }
    const base::MonotonicTime coldUntil = ColdUntil(record);
    list.push_back({ upstream,
                     coldUntil,
                     now < coldUntil ? ColdRequestInterval(upstream) : milliseconds{ 0 },
                     MaxInFlight(upstream),
                     m_roundTrips.Estimate(DistanceTo(upstream)),
                     upstream.m_region == m_settings.m_region
                       ? 1
                       : m_regions.KeyShare(upstream.m_region, now) });
  }
  for (auto& [service, balancer] : m_balancers) {
    candidates.try_emplace(service);
  }
  for (auto& [service, list] : candidates) {
    Balancer(service).Update(std::move(list), now);
  }
  ApplyLimits();
  const auto isGone = [this](const auto& aEntry) {
    return !m_registry.Records().contains(aEntry.first);
  };
  ForgetEnded(m_leaving, now);
  ForgetEnded(m_replaced, now);
  std::erase_if(m_unreachable, isGone);
  std::erase_if(m_unresponsive, isGone);
  std::erase_if(m_unreadableLoads,
                [this](const std::string& aId) { return !m_registry.Records().contains(aId); });
  std::erase_if(m_probedColdUntil, [now](const auto& aEntry) { return now >= aEntry.second; });
}

} // namespace jaylane::gateway
