#include "ControlPlane.h"

#include "RunLoop.h"
#include "jaylane/base/ContainErrors.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>

namespace jaylane::gateway {

namespace {

using std::chrono::milliseconds;

/// Interval at which the role and the age of the view are checked.
constexpr milliseconds kTickInterval{ 200 };
/// Ticks between updates of the peers to fetch changes from, and of the demand.
constexpr std::uint32_t kMaintenanceTicks = 5;
/// Part of the drain time by which the control thread may be late while other VMs rely on this one.
constexpr int kMaxFollowerDelayDivisor = 10;

/// Part of the drain time for which a VM may know that its view of the upstreams is behind and
/// still send requests. The rest covers the time until the change was announced.
constexpr int kMaxBehindDivisor = 2;

const char* RoleName(policy::StoreRole aRole)
{
  switch (aRole) {
    case policy::StoreRole::Elected:
      return "elected";
    case policy::StoreRole::Fallback:
      return "fallback";
    case policy::StoreRole::Relying:
      return "relying";
  }
  return "unknown";
}

} // namespace

ControlPlane::ControlPlane(const GatewaySettings& aSettings,
                           const StoreDialect& aDialect,
                           const WireFormat& aWire,
                           const base::Clock& aClock,
                           base::AsyncLog& aLog,
                           Hooks aHooks,
                           std::uint32_t aInstance)
  : m_settings(aSettings)
  , m_wire(aWire)
  , m_clock(aClock)
  , m_log(aLog)
  , m_hooks(std::move(aHooks))
  , m_loopMonitor(m_io, aClock, aLog, "control")
  , m_peerLink(m_io, m_settings, aClock, aLog, MakePeerHooks())
  , m_quotaLink(m_settings.m_name,
                aInstance,
                aClock,
                aLog,
                { [this](const std::string& aVm, const std::string& aText) {
                   m_peerLink.SendToPeer(aVm, aText);
                 },
                  [this](const policy::QuotaGrant& aGrant) { m_hooks.m_onQuotaGrant(aGrant); } })
  , m_storeSync(m_io,
                m_settings,
                aDialect,
                aClock,
                aLog,
                PeerLink::Describe(m_settings),
                MakeStoreHooks())
  , m_quarantineStore(m_io,
                      m_settings.m_storeAddress,
                      aDialect,
                      aClock,
                      aLog,
                      m_storeSync.Era(),
                      [this](QuarantineStore::Contents aContents) {
                        m_hooks.m_onQuarantines(std::move(aContents));
                      })
  , m_storeFollowing(policy::StoreFollowing::OptionsFor(m_settings.m_drainTime),
                     { m_settings.m_name, m_settings.m_cores })
  , m_leadWatcher({}, m_settings.m_name, aClock.Monotonic())
  , m_readyServer(
      m_io,
      [this](const InfoRequest&) { return OnReady(); },
      InfoServer::MaxConnections(m_settings.m_maxDescriptors))
  , m_lookupServer(
      m_io,
      [this](const InfoRequest& aRequest) { return OnLookup(aRequest.m_target); },
      InfoServer::MaxConnections(m_settings.m_maxDescriptors))
  , m_peerRetry(m_io, aClock, aLog, "peers (UDP)", {})
  , m_snapshotRetry(m_io, aClock, aLog, "peers (TCP)", {})
  , m_readyRetry(m_io, aClock, aLog, "readiness", {})
  , m_lookupRetry(m_io, aClock, aLog, "lookups", {})
  , m_tickTimer(m_io)
  , m_lookupLifetime(m_settings.m_lookupLifetime)
  , m_configurationView(m_settings.m_configurationTime)
  , m_stalls(kTickInterval * 2, m_settings.m_configurationTime)
{
}

ControlPlane::~ControlPlane()
{
  Stop();
}

base::Status ControlPlane::Listen()
{
  struct Listener
  {
    ListenRetry& m_retry;
    bool m_isServed;
    ListenRetry::Attempt m_attempt;
  };
  const Listener listeners[] = {
    { m_peerRetry, true, [this] { return m_peerLink.Start(); } },
    { m_snapshotRetry, true, [this] { return m_storeSync.ListenForPeers(); } },
    { m_readyRetry,
      !m_settings.m_readyAddress.empty(),
      [this] { return m_readyServer.Listen(m_settings.m_readyAddress); } },
    { m_lookupRetry,
      !m_settings.m_lookupAddress.empty(),
      [this] { return m_lookupServer.Listen(m_settings.m_lookupAddress); } },
  };
  for (const Listener& listener : listeners) {
    if (!listener.m_isServed) {
      continue;
    }
    if (auto status = listener.m_retry.Start(listener.m_attempt, m_hooks.m_onListenFailed);
        !status) {
      return status;
    }
  }
  return base::Success{};
}

base::Status ControlPlane::Start()
{
  if (auto status = Listen(); !status) {
    return status;
  }
  m_loopMonitor.Start();
  m_storeSync.Start();
  m_quarantineStore.Start();
  Tick();
  m_thread = std::thread([this] { RunLoop(m_io, m_log, "control"); });
  return base::Success{};
}

void ControlPlane::Stop()
{
  m_io.stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

KindWatcher::Hooks ControlPlane::MakeWatcherHooks(
  std::function<void(std::vector<StoredObject>)> aOnList,
  std::function<void(std::vector<StoredObject>)> aOnChanges,
  policy::StoreRevision StoreRevisions::*aKind)
{
  KindWatcher::Hooks hooks;
  hooks.m_onList = std::move(aOnList);
  hooks.m_onChanges = std::move(aOnChanges);
  hooks.m_onCallCompleted = [this](StoreCallResult aResult) {
    m_hooks.m_onStoreCall(aResult == StoreCallResult::Succeeded);
  };
  hooks.m_onRevision = [this, aKind](policy::StoreRevision aRevision) {
    SetRevision(aKind, aRevision);
  };
  return hooks;
}

StoreSync::Hooks ControlPlane::MakeStoreHooks()
{
  StoreSync::Hooks hooks;
  hooks.m_configuration = MakeWatcherHooks(
    m_hooks.m_onConfigurations, m_hooks.m_onConfigurations, &StoreRevisions::m_configuration);
  hooks.m_upstreams = MakeWatcherHooks(
    m_hooks.m_onUpstreamList, m_hooks.m_onUpstreamChanges, &StoreRevisions::m_upstreams);
  hooks.m_evacuations = MakeWatcherHooks(
    m_hooks.m_onEvacuationList, m_hooks.m_onEvacuationChanges, &StoreRevisions::m_evacuations);
  hooks.m_onFollowing = [this](bool aIsFollowing) {
    m_isFollowing = aIsFollowing;
    UpdateFollowing();
    if (aIsFollowing) {
      m_peerLink.AnnounceToZone();
    }
  };
  hooks.m_onSilence = [this] { m_leadWatcher.OnSilence(m_clock.Monotonic()); };
  hooks.m_onStoreReachable = [this](bool aIsReachable) {
    m_peerLink.SetStoreUnreachable(!aIsReachable);
    m_hooks.m_onStoreReachable(aIsReachable);
  };
  hooks.m_onRestored = [this](std::uint64_t aEra) {
    m_hooks.m_onStoreRestored(aEra);
    m_quarantineStore.OnStoreRestored();
  };
  hooks.m_onMembers = [this](const std::vector<StoredObject>& aObjects) {
    std::vector<Json::Value> members;
    members.reserve(aObjects.size());
    for (const StoredObject& object : aObjects) {
      members.push_back(*object.m_value);
    }
    m_peerLink.AddMembers(members);
    m_hasMembers = true;
    UpdateQuotaFleet();
    m_hooks.m_onMembers(m_peerLink.KnownVmNames());
  };
  return hooks;
}

PeerLink::Hooks ControlPlane::MakePeerHooks()
{
  PeerLink::Hooks hooks;
  hooks.m_strikes = [this] { return m_requestState.m_strikes; };
  hooks.m_onStrikes = [this](const std::vector<policy::Strike>& aStrikes) {
    if (!aStrikes.empty()) {
      m_hooks.m_onStrikes(aStrikes);
    }
  };
  hooks.m_onNewPeer = [this] { m_hooks.m_onMembers(m_peerLink.KnownVmNames()); };
  hooks.m_onRevisions = [this](const StoreRevisions& aRevisions, const std::string& aPeer) {
    m_storeSync.OnPeerRevisions(aRevisions, aPeer);
    UpdateConfigurationView();
  };
  hooks.m_onFollower = [this](const StoreRevisions& aRevisions) { OnFollower(aRevisions); };
  hooks.m_onStoreUnreachable = [this] { m_storeSync.CheckStore(); };
  hooks.m_leadHeartbeat = [this] { return m_leadWatcher.Current(m_clock.Monotonic()); };
  hooks.m_onLeadHeartbeat = [this](const policy::LeadWatcher::Heartbeat& aHeartbeat) {
    m_leadWatcher.OnHeartbeat(aHeartbeat, m_clock.Monotonic());
  };
  hooks.m_onLeadResigned = [this](std::uint32_t aRank) {
    m_leadWatcher.OnResigned(aRank, m_clock.Monotonic());
  };
  hooks.m_electedAmong = [this](std::vector<policy::StoreFollowing::Vm> aZoneVms) {
    return m_storeFollowing.ElectedAmong(std::move(aZoneVms));
  };
  hooks.m_limits = [this] { return m_requestState.m_limits; };
  hooks.m_onLimits = [this](const std::vector<policy::LimitObservation>& aLimits) {
    m_hooks.m_onLimits(aLimits);
  };
  hooks.m_loads = [this](std::size_t aCount) {
    return m_loadObservations.Next(aCount, m_clock.Monotonic());
  };
  hooks.m_onLoads = [this](std::optional<std::vector<policy::LoadObservation>> aLoads) {
    m_hooks.m_onLoads(std::move(aLoads));
  };
  hooks.m_onLoadsTold = [this](std::size_t aCount) { m_hooks.m_onLoadsTold(aCount); };
  hooks.m_onLookup = [this](policy::LookupScope::Kind aKind) { ++m_newLookups[aKind]; };
  hooks.m_zoneDemand = [this] { return m_demandShare.NextToTell(m_clock.Monotonic()); };
  hooks.m_onZoneDemand = [this](const policy::ZoneDemand& aDemand) {
    if (aDemand.m_zone != m_settings.m_zone) {
      m_demandShare.OnZoneDemand(aDemand);
    }
  };
  hooks.m_onMessage = [this](const std::string& aMethod,
                             const Json::Value& aParams,
                             const std::function<void(const std::string&)>& aReply) {
    m_quotaLink.OnMessage(aMethod, aParams, aReply);
  };
  return hooks;
}

void ControlPlane::SetRevision(policy::StoreRevision StoreRevisions::*aKind,
                               policy::StoreRevision aRevision)
{
  const bool isOtherEra = (m_revisions.*aKind).Era() != aRevision.Era();
  m_revisions.*aKind = aRevision;
  if (isOtherEra) {
    m_hooks.m_onErasChanged(m_revisions);
  }
  m_peerLink.SetRevisions(m_revisions);
  if (m_role == policy::StoreRole::Elected) {
    m_peerLink.AnnounceToZone();
  }
  if (m_isLead) {
    m_peerLink.AnnounceToOtherZones(); // Their watches may be silent.
  }
}

void ControlPlane::OnFollower(const StoreRevisions& aRevisions)
{
  m_followerRevisions = aRevisions;
  m_followerHeardAt = m_clock.Monotonic();
  ConfirmView();
}

void ControlPlane::ConfirmView()
{
  if (m_followerHeardAt && m_storeSync.HasSeen(m_followerRevisions)) {
    m_storeFollowing.OnViewConfirmed(*m_followerHeardAt);
  }
}

void ControlPlane::UpdateFollowing()
{
  const bool isDelayed = m_loopMonitor.Delay() > m_settings.m_drainTime / kMaxFollowerDelayDivisor;
  m_peerLink.SetFollowing(m_isFollowing && !isDelayed);
}

void ControlPlane::UpdateRole()
{
  const std::vector<policy::StoreFollowing::Vm> zoneVms = m_peerLink.RunningZoneVms();
  const policy::StoreRole role = m_storeFollowing.Decide(zoneVms, m_clock.Monotonic());
  if (role != m_role) {
    m_log.Write(base::LogRecord("store_role")
                  .Add("role", RoleName(role))
                  .Add("zone_vms", zoneVms.size() + 1));
  }
  m_role = role;
  m_storeSync.SetRole(role, m_storeFollowing.HasDependents(zoneVms));
}

void ControlPlane::UpdateLead()
{
  const bool isWatching = m_role == policy::StoreRole::Elected && m_isFollowing &&
                          m_storeSync.IsAnswered() && !m_isLeaving;
  const bool isLead = m_leadWatcher.Decide(isWatching, m_clock.Monotonic());
  if (m_leadWatcher.TakeSilence()) {
    m_storeSync.RenewWatches();
  }
  if (isLead == m_isLead) {
    return;
  }
  m_isLead = isLead;
  m_log.Write(base::LogRecord(isLead ? "store_lead_started" : "store_lead_ended"));
  if (isLead) {
    // Before others take over as well.
    m_peerLink.AnnounceToZone();
    m_peerLink.AnnounceToOtherZones();
  } else if (!m_leadWatcher.Current(m_clock.Monotonic())) {
    m_peerLink.AnnounceLeadResigned(m_leadWatcher.Rank());
  }
  m_storeSync.SetLead(isLead);
}

void ControlPlane::UpdateViewAge()
{
  const milliseconds behindFor = m_storeSync.UpstreamsBehindFor();
  const bool isOutdated = behindFor >= m_settings.m_drainTime / kMaxBehindDivisor;
  if (isOutdated != m_isViewOutdated) {
    m_log.Write(
      base::LogRecord(isOutdated ? "view_outdated" : "view_current").Add("behind_ms", behindFor));
  }
  m_isViewOutdated = isOutdated;
}

void ControlPlane::UpdateConfigurationView()
{
  const base::MonotonicTime now = m_clock.Monotonic();
  if (const auto answeredAt = m_storeSync.ConfigurationAnsweredAt()) {
    m_configurationView.OnConfirmed(m_stalls.ArrivedAt(*answeredAt));
  }
  // A pending watch may be silent, here or at the VM that this one relies on. Those of the lead
  // watcher are short, and it tells the others when they are not answered.
  const bool isBehind = m_storeSync.IsConfigurationBehind();
  if (const auto leadAnsweredAt = m_leadWatcher.OtherRoseAt(now); leadAnsweredAt && !isBehind) {
    if (m_isFollowing && m_storeSync.IsAnswered()) {
      m_configurationView.OnConfirmed(m_stalls.ArrivedAt(*leadAnsweredAt));
    } else if (m_followerHeardAt &&
               m_storeSync.HasSeenConfiguration(m_followerRevisions.m_configuration)) {
      m_configurationView.OnConfirmed(
        m_stalls.ArrivedAt(std::min(*leadAnsweredAt, *m_followerHeardAt)));
    }
  }
  const auto zonesHeardAt = m_peerLink.MostZonesHeardAt();
  // Without the list of members, this VM may know its own zone only.
  if (zonesHeardAt && m_hasMembers && !isBehind) {
    m_configurationView.OnMostZonesHeard(m_stalls.ArrivedAt(*zonesHeardAt));
  }
  const auto behindSince =
    isBehind ? std::optional{ now - m_storeSync.ConfigurationBehindFor() } : std::nullopt;
  m_configurationUsableUntil =
    m_configurationView.UsableUntil(behindSince).value_or(base::MonotonicTime{});
  m_isConfigurationConfirmed = m_configurationView.IsConfirmed(isBehind, now);
}

void ControlPlane::UpdateDemand()
{
  const base::MonotonicTime now = m_clock.Monotonic();
  m_demandShare.OnOwnRate(m_requestState.m_requestsPerSecond);
  m_demandShare.OnZoneDemand({ m_settings.m_zone, m_peerLink.ZoneRequestsPerSecond(), now });
  m_share = m_demandShare.Share(m_peerLink.KnownZoneVms(), now);
}

void ControlPlane::UpdateQuotaFleet()
{
  if (!m_hasQuotas) {
    return;
  }
  // A VM that does not know the others yet must not take a larger part of the quotas for its own.
  const auto known =
    m_hasMembers ? static_cast<std::uint32_t>(m_peerLink.KnownVmNames().size()) : 0U;
  m_quotaLink.SetKnownVms(known);
  m_hooks.m_onQuotaFleet(m_peerLink.BrokerCandidates(), known);
}

void ControlPlane::UpdateState()
{
  m_stalls.OnTick(m_clock.Monotonic());
  ConfirmView();
  UpdateRole();
  UpdateLead();
  UpdateFollowing();
  UpdateViewAge();
  UpdateConfigurationView();
  m_peerLink.SetLoad(IsReady(), m_requestState.m_requestsPerSecond);
  if (!m_newLookups.empty()) {
    m_hooks.m_onLookups(std::exchange(m_newLookups, {}));
  }
  if (++m_tickCount % kMaintenanceTicks == 0) {
    m_storeSync.SetPeers(m_peerLink.RunningPeers());
    UpdateDemand();
    UpdateQuotaFleet();
  }
}

void ControlPlane::Tick()
{
  base::ContainErrors(m_log, "control_tick", [this] { UpdateState(); });
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void ControlPlane::SetRequestState(RequestState aState)
{
  boost::asio::dispatch(m_io, [this, state = std::move(aState)]() mutable {
    for (const policy::LoadObservation& load : std::exchange(state.m_newLoads, {})) {
      m_loadObservations.Add(load);
    }
    m_requestState = std::move(state);
    m_quarantineStore.SetActive(m_requestState.m_hasQuarantines);
  });
}

void ControlPlane::WriteQuarantines(std::vector<policy::QuarantineRecord> aRecords)
{
  boost::asio::dispatch(
    m_io, [this, records = std::move(aRecords)] { m_quarantineStore.Write(records); });
}

void ControlPlane::SetQuotas(std::vector<policy::TeamQuota> aQuotas)
{
  boost::asio::dispatch(m_io, [this, quotas = std::move(aQuotas)] {
    m_hasQuotas = !quotas.empty();
    m_quotaLink.SetQuotas(quotas);
    UpdateQuotaFleet();
  });
}

void ControlPlane::SendQuotaReports(std::vector<policy::QuotaClient::Outgoing> aReports,
                                    const std::string& aMajorityBroker)
{
  boost::asio::dispatch(m_io, [this, reports = std::move(aReports), aMajorityBroker] {
    m_quotaLink.Send(reports, aMajorityBroker);
  });
}

void ControlPlane::SetLookupLifetime(milliseconds aLifetime)
{
  boost::asio::dispatch(m_io, [this, aLifetime] { m_lookupLifetime = aLifetime; });
}

void ControlPlane::AnnounceSoon()
{
  boost::asio::dispatch(m_io, [this] { m_peerLink.AnnounceSoon(); });
}

void ControlPlane::AnnounceLeaving()
{
  boost::asio::dispatch(m_io, [this] {
    m_isLeaving = true;
    m_peerLink.AnnounceLeaving();
  });
}

bool ControlPlane::IsReady() const
{
  return m_requestState.m_isReady && !m_isViewOutdated && !m_isLeaving;
}

InfoResponse ControlPlane::OnReady() const
{
  const bool isReady = IsReady();
  return { isReady ? 200U : 503U, "text/plain", isReady ? "ready\n" : "not ready\n" };
}

InfoResponse ControlPlane::OnLookup(std::string_view aTarget)
{
  const auto location = m_wire.m_parseLookup(aTarget);
  const auto addresses = m_peerLink.AddressesFor(location.m_zone, location.m_region);
  if (addresses.empty()) {
    return { 503, "text/plain", "no running VM is known\n" };
  }
  return { 200, "application/json", m_wire.m_formatLookup(addresses, m_lookupLifetime) };
}

} // namespace jaylane::gateway
