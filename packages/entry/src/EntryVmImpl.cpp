#include "EntryVmImpl.h"

#include "UpstreamProber.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <thread>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 10 };
constexpr std::chrono::milliseconds kPlanInterval{ 250 };
constexpr std::chrono::milliseconds kShareInterval{ 250 };
constexpr std::chrono::milliseconds kLoadInterval{ LoadMeter::kInterval };
constexpr std::chrono::seconds kClaimCleanUpInterval{ 10 };
// Resolution of the configured probe intervals.
constexpr std::chrono::milliseconds kProbeTickInterval{ 100 };
// Poll interval of conditions that a graceful shutdown waits for.
constexpr std::chrono::milliseconds kStopPollInterval{ 20 };
// If the store is unavailable for this long, the VM stops without donating its units; others
// reclaim them. Longer than the leases of its slots, which borrowers request for 10 s each.
constexpr std::chrono::seconds kMaxShareTransferWait{ 12 };
// Two rounds of exchanges, after which peers know that this VM leaves and no longer name it in
// lookup responses.
constexpr std::chrono::seconds kLeaveAnnouncementTime{ 2 };

policy::Incarnation MakeIncarnation()
{
  std::random_device random;
  const auto word = [&random] { return (std::uint64_t{ random() } << 32) | random(); };
  return { word(), word() };
}

std::string ToText(const policy::Incarnation& aIncarnation)
{
  return fmt::format("{:016x}{:016x}", aIncarnation.m_high, aIncarnation.m_low);
}

VmContext MakeContext(const settings::VmSettings& aSettings,
                      const base::Clock& aClock,
                      const base::Log& aLog,
                      base::HybridClock& aHybridClock,
                      base::EventLog& aEvents)
{
  const auto incarnation = MakeIncarnation();
  return { aSettings,
           aClock,
           aLog,
           aHybridClock,
           aEvents,
           incarnation,
           ToText(incarnation),
           { aSettings.m_region, aSettings.m_zone } };
}

bool IsDrained(const Config& aConfig, const std::string& aUpstream)
{
  const auto& drains = aConfig.m_document.m_tree.Drains();
  return std::any_of(drains.begin(), drains.end(), [&](const settings::Drain& aDrain) {
    return aDrain.m_scope == settings::DrainScope::Upstream && aDrain.m_target == aUpstream;
  });
}

policy::ExecutionLedger MakeLedger(const VmContext& aContext)
{
  auto ledger =
    policy::ExecutionLedger::Make({}, aContext.m_incarnation, aContext.m_clock.Monotonic());
  assert(ledger);
  return std::move(*ledger);
}

base::SocketAddress ToAddress(const settings::HostPort& aAddress)
{
  const auto host = base::SocketAddress::ParseHost(aAddress.m_host);
  return { host ? *host : 0, aAddress.m_port };
}

} // namespace

EntryVm::Impl::Impl(const settings::VmSettings& aSettings, const base::Clock& aClock)
  : m_settings(aSettings)
  , m_log(aSettings.m_id, aClock, aSettings.m_logLevel)
  , m_hybridClock(aClock)
  , m_events(aSettings.m_id, m_hybridClock, aSettings.m_eventLogCapacity)
  , m_context(MakeContext(m_settings, aClock, m_log, m_hybridClock, m_events))
  , m_pauseDetector(aClock, {})
  , m_store(aSettings.m_storeUrls)
  , m_config(m_context)
  , m_directory(m_context)
  , m_steering(m_context)
  , m_slotPool(m_context, {})
  , m_quarantine(m_context, {})
  , m_ledger(m_context, MakeLedger(m_context))
  , m_failoverLimiters(m_context)
  , m_loadMeter(m_context)
  , m_linkLimiter(m_context)
  , m_shareTable(m_context, m_store, m_directory, m_slotPool)
  , m_slotLeases(m_context, m_slotPool, m_directory)
  , m_peerService(m_context,
                  { m_config,
                    m_directory,
                    m_quarantine,
                    m_ledger,
                    m_shareTable,
                    m_slotLeases,
                    m_loadMeter,
                    m_slotPool })
  , m_loadExchange(m_context,
                   m_store,
                   m_directory,
                   m_loadMeter,
                   [this] { return m_peerService.ZoneLoads(); })
  , m_shiftController(m_context, m_store, m_config, m_directory, m_steering, m_loadExchange)
  , m_storeSync(m_context, m_store)
  , m_transport(std::make_unique<proxy::UpstreamTransport>(
      proxy::UpstreamTransport::Options{ aSettings.m_upstreamThreads },
      aClock))
  , m_claims(std::make_unique<ClaimQueue>(m_context, m_store))
  , m_lookupService(
      m_context,
      m_config,
      m_directory,
      m_steering,
      [this](const std::string& aIncarnation) { return m_peerService.ScopeOf(aIncarnation); })
  , m_router(m_context,
             { m_config,
               m_directory,
               m_steering,
               m_ledger,
               *m_claims,
               m_quarantine,
               m_failoverLimiters,
               m_loadMeter,
               m_linkLimiter,
               m_metrics,
               *m_transport,
               [this](const std::string& aService) { return FindDispatcher(aService); },
               [this](const std::string& aIncarnation) {
                 return m_peerService.SuccessorOf(aIncarnation);
               } })
  , m_lifecycle(m_context)
{
}

EntryVm::Impl::~Impl()
{
  m_slotLeases.SetGrantHook(nullptr);
  m_peerService.StopExchanges();
  m_periodicTasks.clear();
  m_storeSync.Stop();
  m_adminServer.reset();
  // Their threads call the router and the dispatchers when requests end, so they are destroyed
  // before those.
  m_callerServer.reset();
  m_claims.reset();
  m_transport.reset();
}

base::Status EntryVm::Impl::Start()
{
  proxy::CallerServer::Options options;
  options.m_bind = ToAddress(m_settings.m_callerAddress);
  options.m_threads = m_settings.m_callerThreads;
  auto callers = proxy::CallerServer::Make(
    options,
    [this] { return m_pauseDetector.EarliestArrivalTime(); },
    [this](const proxy::LookupRequest& aRequest) { return m_lookupService.Handle(aRequest); },
    [this](std::shared_ptr<proxy::Exchange> aExchange) { m_router.Handle(std::move(aExchange)); });
  if (!callers) {
    return callers.GetError();
  }
  m_callerServer = std::move(*callers);
  auto admin = AdminServer::Make(
    m_context,
    m_store,
    m_config,
    { [this] { return Status(); },
      [this] { return Metrics(); },
      [this](const settings::SettingsDocument& aDocument) { return Forecast(aDocument); } });
  if (!admin) {
    return admin.GetError();
  }
  m_adminServer = std::move(*admin);
  auto peers = m_peerService.Start();
  if (!peers) {
    return peers;
  }
  m_config.SetChangeHook([this](const Config& aConfig) { OnConfig(aConfig); });
  m_slotLeases.SetGrantHook([this] { Tick(); });
  StartSync();
  StartPeriodicTasks();
  return base::Success{};
}

void EntryVm::Impl::StartSync()
{
  m_storeSync.Watch(
    "settings/", [this](const platform::StoreObject& aObject) { m_config.Apply(aObject.m_value); });
  m_storeSync.Watch("table/", [this](const platform::StoreObject& aObject) {
    const auto service = aObject.m_key.substr(std::string_view("table/").size());
    m_steering.Receive(service, aObject.m_value, aObject.m_version);
    m_lifecycle.Fire("table-loaded");
  });
  m_storeSync.Watch(m_shareTable.Key(), [this](const platform::StoreObject& aObject) {
    if (aObject.m_key == m_shareTable.Key()) {
      m_shareTable.Receive(aObject.m_value, aObject.m_version);
      m_peerService.UpdateVmStates();
    }
  });
  m_storeSync.PollVms([this](const platform::VmList& aList, base::MonotonicTime aRequestedAt) {
    OnVmList(aList, aRequestedAt);
  });
}

void EntryVm::Impl::StartPeriodicTasks()
{
  const auto add = [this](std::chrono::milliseconds aInterval, std::function<void()> aRun) {
    m_periodicTasks.push_back(std::make_unique<base::PeriodicThread>(aInterval, std::move(aRun)));
  };
  add(kTickInterval, [this] {
    m_pauseDetector.Tick();
    Tick();
  });
  add(kPlanInterval, [this] { m_shiftController.Run(); });
  add(kLoadInterval, [this] { m_loadExchange.Publish(); });
  add(kShareInterval, [this] {
    m_shareTable.Run();
    m_peerService.UpdateVmStates();
  });
  add(kClaimCleanUpInterval, [this] { m_claims->CleanUp(); });
  add(kProbeTickInterval, [this] { ProbeUpstreams(); });
}

void EntryVm::Impl::Tick()
{
  for (const auto& [service, dispatcher] : Dispatchers()) {
    dispatcher->Tick();
  }
}

void EntryVm::Impl::ApplyLimits(const Config& aConfig)
{
  // Attempts of a VM that has crashed end by their deadline, and slots under a lease may be in use
  // until the lease ends; units reclaimed from the VM stay unused until then. Bulk services are
  // excluded: an upload makes no progress without its sender, and their timeouts of minutes would
  // keep capacity unused after each restart.
  std::chrono::milliseconds longestRequest{ 0 };
  std::chrono::milliseconds lease{ 0 };
  std::chrono::milliseconds quarantine{ 0 };
  platform::ClaimOptions claims;
  claims.m_lifetime = std::chrono::milliseconds{ 0 };
  for (const auto& [name, service] : aConfig.m_services) {
    const settings::EffectiveSettings& effective = service.m_effective;
    if (!service.m_service.m_bulk) {
      longestRequest = std::max(longestRequest, effective.m_requestTimeout);
    }
    lease = std::max(lease, effective.m_leaseDuration);
    quarantine = std::max<std::chrono::milliseconds>(quarantine, effective.m_quarantineTime);
    claims.m_lifetime =
      std::max<std::chrono::milliseconds>(claims.m_lifetime, effective.m_claimLifetime);
    claims.m_writesPerSecond = effective.m_claimRatePerSecond;
  }
  m_slotPool.WithLock(
    [&](policy::SlotPool& aPool) { aPool.SetQuarantine(longestRequest + lease); });
  m_slotLeases.SetLeaseDuration(lease);
  m_quarantine.SetLifetime(quarantine);
  m_claims->Configure(claims);
}

void EntryVm::Impl::OnConfig(const Config& aConfig)
{
  // Generations arrive concurrently from the store, from peers and from edits. The check keeps an
  // older one from replacing a newer one.
  std::lock_guard lock(m_configMutex);
  const std::uint64_t generation = aConfig.m_document.m_generation;
  if (generation > m_generationInEffect) {
    ApplyConfig(aConfig);
    m_generationInEffect = generation;
  }
}

void EntryVm::Impl::ApplyConfig(const Config& aConfig)
{
  ApplyLimits(aConfig);
  m_failoverLimiters.Apply(aConfig);
  {
    std::lock_guard lock(m_mutex);
    for (const auto& [name, service] : aConfig.m_services) {
      const auto known = m_dispatchers.find(name);
      if (known != m_dispatchers.end()) {
        known->second->ApplySettings(service.m_effective);
      } else {
        m_dispatchers.emplace(name,
                              std::make_shared<ServiceDispatcher>(m_context,
                                                                  name,
                                                                  service.m_effective,
                                                                  m_slotPool,
                                                                  m_slotLeases,
                                                                  m_quarantine,
                                                                  *m_transport));
      }
    }
  }
  ApplyUpstreams();
  m_lifecycle.Fire("settings-loaded");
}

void EntryVm::Impl::OnVmList(const platform::VmList& aList, base::MonotonicTime aRequestedAt)
{
  m_directory.Apply(aList, aRequestedAt);
  m_shareTable.ObserveList(*m_directory.Current());
  m_peerService.OnDirectory(*m_directory.Current());
  ApplyUpstreams();
}

void EntryVm::Impl::ApplyUpstreams()
{
  const auto view = m_directory.Current();
  std::map<std::string, std::vector<UpstreamRef>> byService;
  std::vector<UpstreamRef> own;
  const auto config = m_config.Current();
  if (config) {
    m_linkLimiter.Apply(*config, *view);
  }
  for (UpstreamRef upstream : view->m_upstreams) {
    if (upstream.m_site == m_context.m_site) {
      upstream.m_leaving = upstream.m_leaving || (config && IsDrained(*config, upstream.m_id));
      byService[upstream.m_service].push_back(upstream);
      own.push_back(upstream);
    }
  }
  m_slotPool.SetUpstreams(own);
  for (const auto& [service, dispatcher] : Dispatchers()) {
    dispatcher->ApplyUpstreams(byService[service]);
  }
}

void EntryVm::Impl::ProbeUpstreams()
{
  const auto config = m_config.Current();
  const auto view = m_directory.Current();
  std::vector<ProbeTarget> targets;
  for (const UpstreamRef& upstream : view->m_upstreams) {
    const auto* service = config ? config->FindService(upstream.m_service) : nullptr;
    if (!service || upstream.m_site != m_context.m_site) {
      continue;
    }
    const settings::EffectiveSettings& effective = service->m_effective;
    auto& probedAt = m_probedAt[upstream.m_id];
    const auto now = m_context.m_clock.Monotonic();
    if (now - probedAt >= effective.m_probeInterval) {
      probedAt = now;
      targets.push_back(
        { upstream, effective.m_healthPath, effective.m_loadPath, effective.m_probeTimeout });
    }
  }
  const auto reports = ProbeAll(targets);
  for (std::size_t i = 0; i < reports.size(); ++i) {
    const auto dispatcher = FindDispatcher(targets[i].m_upstream.m_service);
    if (dispatcher) {
      dispatcher->ApplyProbe(reports[i].m_upstream,
                             reports[i].m_incarnation,
                             reports[i].m_result,
                             reports[i].m_reportedInFlight);
    }
  }
}

std::shared_ptr<ServiceDispatcher> EntryVm::Impl::FindDispatcher(const std::string& aService) const
{
  std::lock_guard lock(m_mutex);
  const auto found = m_dispatchers.find(aService);
  return found == m_dispatchers.end() ? nullptr : found->second;
}

EntryVm::Impl::DispatcherMap EntryVm::Impl::Dispatchers() const
{
  std::lock_guard lock(m_mutex);
  return m_dispatchers;
}

EntryAddresses EntryVm::Impl::Addresses() const
{
  return { m_callerServer->Address(), m_peerService.Address(), m_adminServer->Address() };
}

std::chrono::milliseconds EntryVm::Impl::LongestLookupLifetime() const
{
  std::chrono::milliseconds longest{ 0 };
  const auto config = m_config.Current();
  if (config) {
    for (const auto& [name, service] : config->m_services) {
      longest = std::max(longest, service.m_effective.m_lookupLifetime);
    }
  }
  return longest;
}

void EntryVm::Impl::WaitForRequests() const
{
  while (m_callerServer->InFlight() > 0) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
}

void EntryVm::Impl::TransferShareUnits()
{
  m_shareTable.BeginLeave();
  const auto until = m_context.m_clock.Monotonic() + kMaxShareTransferWait;
  while (!m_shareTable.HasLeft() && m_context.m_clock.Monotonic() < until) {
    std::this_thread::sleep_for(kStopPollInterval);
  }
}

void EntryVm::Impl::Stop()
{
  if (!m_lifecycle.Fire("stop")) {
    return;
  }
  m_lookupService.ExcludeSelf();
  m_peerService.BeginLeave();
  std::this_thread::sleep_for(kLeaveAnnouncementTime + LongestLookupLifetime());
  m_lifecycle.Fire("lookups-expired");
  m_callerServer->Quiesce();
  WaitForRequests();
  m_lifecycle.Fire("requests-done");
  m_peerService.HandOver();
  TransferShareUnits();
  m_lifecycle.Fire("handed-over");
}

} // namespace jaylane::entry
