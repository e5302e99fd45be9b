#include "jaylane/gateway/Gateway.h"

#include "CallerServer.h"
#include "ControlPlane.h"
#include "GatewayContext.h"
#include "HandledSignals.h"
#include "HttpFetch.h"
#include "InfoServer.h"
#include "ListenRetry.h"
#include "LoopMonitor.h"
#include "PendingConfigurations.h"
#include "QuotaGate.h"
#include "RunLoop.h"
#include "SocketOptions.h"
#include "jaylane/base/ContainErrors.h"
#include "jaylane/gateway/GatewayError.h"
#include "jaylane/policy/EvacuatedZones.h"
#include "jaylane/policy/StopSequence.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstring>
#include <random>
#include <set>
#include <utility>

namespace jaylane::gateway {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Interval at which expiring state is updated. An upstream is reconsidered at most this long after
/// its cold period or its registry entry expires.
constexpr milliseconds kTickInterval{ 200 };
/// Ticks between checks of the idle connections and of the settings file.
constexpr std::uint32_t kMaintenanceTicks = 5;
/// Time limit of a health probe, connecting included.
constexpr milliseconds kProbeTimeout{ 500 };
/// Largest response to a health probe.
constexpr std::uint64_t kMaxProbeBytes = 64 * 1024;
/// Weight of the last second in the announced request rate.
constexpr double kLoadAlpha = 0.5;

/// @return a number that differs between processes, other than 0.
std::uint32_t MakeInstance()
{
  return std::random_device{}() | 1U;
}

} // namespace

class Gateway::Impl
{
public:
  explicit Impl(Dependencies aDependencies);
  ~Impl();
  base::Status Run();

private:
  /// Listens, or tries to for a bounded time while addresses are in use or not up.
  /// @return an error if an address can never be listened on.
  base::Status Listen();
  /// Listens for callers and starts everything else. A VM that takes no requests must not appear in
  /// lookups, so that the control plane starts only then.
  base::Status StartServing();
  /// An address that this VM needs cannot be listened on: ends the process.
  void OnListenFailed(const base::Error& aError);
  ControlPlane::Hooks MakeControlHooks();
  /// Adds the hooks that tell whether the store answers, and of its eras.
  void AddStoreHooks(ControlPlane::Hooks& aHooks);
  void OnConfiguration(const StoredObject& aObject);
  /// Applies the configurations that the control thread has learned of.
  void ApplyConfigurations();
  /// Applies them, and tells the control plane what follows from them.
  void OnConfigurations();
  /// @return whether requests that only some regions may run can be sent.
  bool MayServeRestricted() const;
  /// A new, changed or removed registration of an upstream.
  struct UpstreamChange
  {
    std::string m_id;
    policy::StoreRevision m_revision;
    /// Empty if the registration was removed or cannot be used.
    std::optional<policy::Upstream> m_upstream;
    bool m_isRejected = false;

    bool IsLeaving() const { return !m_upstream || m_upstream->m_draining; }
  };
  /// Marks the upstreams that leave, and applies the changes on the request thread.
  void PostUpstreams(const std::vector<StoredObject>& aObjects,
                     void (Impl::*aHandler)(std::vector<UpstreamChange>));
  void OnUpstreamList(std::vector<UpstreamChange> aChanges);
  void OnUpstreamChanges(std::vector<UpstreamChange> aChanges);
  void OnEvacuationList(const std::vector<StoredObject>& aObjects);
  void OnEvacuationChanges(const std::vector<StoredObject>& aObjects);
  std::optional<policy::Upstream> DecodeUpstream(const StoredObject& aObject);
  void UpdateRequestRate();
  /// @param aLoads empty if they could not be read.
  void OnPeerLoads(const std::optional<std::vector<policy::LoadObservation>>& aLoads);
  /// Reports the state that the control plane announces.
  void ReportState();
  /// Hands what should outlive the end of all VMs to the control plane.
  void RecordQuarantines();
  /// Tells other VMs of crashes that they should know at once.
  void AnnounceNews();
  void Tick();
  /// Updates expiring state, probes upstreams and looks for new settings.
  void UpdateState();
  void ProbeDueUpstreams();
  void Probe(const Steering::ProbeTarget& aTarget);
  void AwaitSignal();
  void OnSignal(int aSignal);
  void Reload();
  void Stop();
  void ContinueStop();
  /// Logs a step of the shutdown when it is reached for the first time.
  void LogStopStep(policy::StopSequence::Step aStep);

  Dependencies m_dependencies;
  const std::uint32_t m_instance = MakeInstance();
  asio::io_context m_io{ 1 };
  Steering m_steering;
  UpstreamConnectionPool m_pool;
  GatewayMetrics m_metrics;
  BodyMemoryBudget m_bodyBudget;
  QuotaGate m_quotaGate;
  PendingConfigurations m_pendingConfigurations;
  GatewayContext m_context;
  CallerServer m_callerServer;
  InfoServer m_metricsServer;
  ListenRetry m_callerRetry;
  ListenRetry m_metricsRetry;
  LoopMonitor m_loopMonitor;
  asio::signal_set m_signals;
  asio::steady_timer m_tickTimer;
  asio::steady_timer m_stopTimer;
  std::uint32_t m_tickCount = 0;
  /// GatewayMetrics::m_received at the last call of UpdateRequestRate(), and the requests per
  /// second.
  std::uint64_t m_receivedBefore = 0;
  double m_requestsPerSecond = 0;
  /// SIGHUP was received. Reading the settings waits for the next tick: the signal set hands out
  /// queued signals in the order of their numbers, so that SIGHUPs which take long keep a SIGTERM
  /// waiting.
  bool m_isReloadDue = false;
  policy::EvacuatedZones m_evacuatedZones{ {} };
  /// Set while the process shuts down.
  std::optional<policy::StopSequence> m_stop;
  std::optional<policy::StopSequence::Step> m_loggedStopStep;
  /// Whether callers can connect.
  bool m_isServing = false;
  /// Why the process ends, unless it was told to.
  std::optional<base::Error> m_listenError;
  ControlPlane m_controlPlane;
};

Gateway::Impl::Impl(Dependencies aDependencies)
  : m_dependencies(std::move(aDependencies))
  , m_steering(m_dependencies.m_settings, m_dependencies.m_clock, m_dependencies.m_log)
  , m_pool(m_dependencies.m_clock)
  , m_bodyBudget(m_dependencies.m_settings.m_bodyMemoryBytes)
  , m_quotaGate(m_io,
                m_dependencies.m_settings.m_name,
                m_instance,
                m_dependencies.m_clock,
                m_dependencies.m_log,
                m_metrics,
                [this](std::vector<policy::QuotaClient::Outgoing> aReports,
                       const std::string& aMajorityBroker) {
                  m_controlPlane.SendQuotaReports(std::move(aReports), aMajorityBroker);
                })
  , m_context{ m_io,
               m_dependencies.m_settings,
               m_dependencies.m_wire,
               m_dependencies.m_clock,
               m_dependencies.m_log,
               m_steering,
               m_pool,
               m_metrics,
               m_bodyBudget }
  , m_callerServer(m_context)
  , m_metricsServer(
      m_io,
      [this](const InfoRequest&) {
        m_metrics.m_bodyBytes = m_bodyBudget.Used();
        m_metrics.m_bodyEvictions = m_bodyBudget.Evictions();
        return InfoResponse{ 200, "text/plain", m_metrics.ToText() };
      },
      InfoServer::MaxConnections(m_dependencies.m_settings.m_maxDescriptors))
  , m_callerRetry(m_io, m_dependencies.m_clock, m_dependencies.m_log, "callers", {})
  , m_metricsRetry(m_io, m_dependencies.m_clock, m_dependencies.m_log, "metrics", {})
  , m_loopMonitor(m_io, m_dependencies.m_clock, m_dependencies.m_log, "request")
  , m_signals(m_io)
  , m_tickTimer(m_io)
  , m_stopTimer(m_io)
  , m_controlPlane(m_dependencies.m_settings,
                   m_dependencies.m_dialect,
                   m_dependencies.m_wire,
                   m_dependencies.m_clock,
                   m_dependencies.m_log,
                   MakeControlHooks(),
                   m_instance)
{
  for (const int signal : kHandledSignals) {
    m_signals.add(signal);
  }
  // Signals that come before Run() wait in the signal set.
  UnblockHandledSignals();
  m_steering.AwaitQuarantines();
  m_context.m_quotas = &m_quotaGate;
  m_context.m_isViewOutdated = [this] { return m_controlPlane.IsViewOutdated(); };
  m_context.m_isConfigurationConfirmed = [this] {
    return m_controlPlane.IsConfigurationConfirmed();
  };
  m_context.m_applyConfigurations = [this] { ApplyConfigurations(); };
  m_context.m_mayServeRestricted = [this] { return MayServeRestricted(); };
  m_steering.SetOnProbeDue([this] { asio::post(m_io, [this] { ProbeDueUpstreams(); }); });
}

Gateway::Impl::~Impl()
{
  // The signal set resets its signals to their default actions, which would end the process.
  BlockHandledSignals();
}

base::Status Gateway::Impl::Listen()
{
  const GatewaySettings& settings = m_dependencies.m_settings;
  for (const std::string* address : { &settings.m_callerAddress,
                                      &settings.m_readyAddress,
                                      &settings.m_lookupAddress,
                                      &settings.m_metricsAddress,
                                      &settings.m_peerAddress }) {
    if (!address->empty() && !ParseEndpoint(*address)) {
      return base::Error{ make_error_code(GatewayErrc::ListenFailed),
                          "\"" + *address + "\" is not an address and port" };
    }
  }
  auto status = m_callerRetry.Start([this] { return StartServing(); },
                                    [this](const base::Error& aError) { OnListenFailed(aError); });
  if (!status || settings.m_metricsAddress.empty()) {
    return status;
  }
  return m_metricsRetry.Start(
    [this] { return m_metricsServer.Listen(m_dependencies.m_settings.m_metricsAddress); },
    [this](const base::Error& aError) {
      // Requests do not need the metrics.
      m_dependencies.m_log.Write(
        base::LogRecord("metrics_not_served").Add("reason", aError.Message()));
    });
}

base::Status Gateway::Impl::StartServing()
{
  if (auto status = m_callerServer.Listen(); !status) {
    return status;
  }
  m_isServing = true;
  m_loopMonitor.Start();
  Tick();
  return m_controlPlane.Start();
}

void Gateway::Impl::OnListenFailed(const base::Error& aError)
{
  m_dependencies.m_log.Write(base::LogRecord("listen_failed").Add("reason", aError.Message()));
  m_listenError = aError;
  if (!m_isServing) {
    m_io.stop();
  } else if (m_context.m_phase == LifecyclePhase::Serving) {
    Stop();
  }
}

base::Status Gateway::Impl::Run()
{
  m_dependencies.m_log.Write(base::LogRecord("start")
                               .Add("zone", m_dependencies.m_settings.m_zone)
                               .Add("caller_address", m_dependencies.m_settings.m_callerAddress)
                               .Add("store", m_dependencies.m_settings.m_storeAddress));
  AwaitSignal();
  if (auto status = Listen(); !status) {
    return status;
  }
  RunLoop(m_io, m_dependencies.m_log, "request");
  m_controlPlane.Stop();
  m_dependencies.m_log.Write(base::LogRecord("stop").Add("in_flight", m_metrics.m_inFlight));
  if (m_listenError) {
    return *m_listenError;
  }
  return base::Success{};
}

void Gateway::Impl::AddStoreHooks(ControlPlane::Hooks& aHooks)
{
  aHooks.m_onStoreReachable = [this](bool aIsReachable) {
    asio::post(m_io, [this, aIsReachable] { m_steering.OnStoreReachable(aIsReachable); });
  };
  aHooks.m_onStoreRestored = [this](std::uint64_t aEra) {
    asio::post(m_io, [this, aEra] {
      ++m_metrics.m_storeRestores;
      m_steering.OnStoreRestored(aEra);
      m_evacuatedZones.OnStoreRestored(m_dependencies.m_clock.Monotonic());
    });
  };
  aHooks.m_onErasChanged = [this](const StoreRevisions& aRevisions) {
    asio::post(m_io, [this, aRevisions] {
      m_metrics.m_storeEras = { { "configuration", aRevisions.m_configuration.Era() },
                                { "upstreams", aRevisions.m_upstreams.Era() },
                                { "evacuations", aRevisions.m_evacuations.Era() } };
    });
  };
}

ControlPlane::Hooks Gateway::Impl::MakeControlHooks()
{
  // The hooks run on the control thread and post their arguments to the request thread.
  const auto posted = [this](void (Impl::*aHandler)(const std::vector<StoredObject>&)) {
    return [this, aHandler](std::vector<StoredObject> aObjects) {
      asio::post(m_io,
                 [this, aHandler, objects = std::move(aObjects)] { (this->*aHandler)(objects); });
    };
  };
  ControlPlane::Hooks hooks;
  hooks.m_onConfigurations = [this](const std::vector<StoredObject>& aObjects) {
    m_pendingConfigurations.Add(aObjects);
    asio::post(m_io, [this] { OnConfigurations(); });
  };
  hooks.m_onUpstreamList = [this](const std::vector<StoredObject>& aObjects) {
    PostUpstreams(aObjects, &Impl::OnUpstreamList);
  };
  hooks.m_onUpstreamChanges = [this](const std::vector<StoredObject>& aObjects) {
    PostUpstreams(aObjects, &Impl::OnUpstreamChanges);
  };
  hooks.m_onEvacuationList = posted(&Impl::OnEvacuationList);
  hooks.m_onEvacuationChanges = posted(&Impl::OnEvacuationChanges);
  hooks.m_onMembers = [this](std::set<std::string> aNames) {
    asio::post(m_io, [this, names = std::move(aNames)]() mutable {
      m_steering.SetMembers(std::move(names));
    });
  };
  hooks.m_onStrikes = [this](std::vector<policy::Strike> aStrikes) {
    asio::post(m_io, [this, strikes = std::move(aStrikes)] {
      m_steering.OnPeerStrikes(strikes);
      AnnounceNews();
    });
  };
  hooks.m_onLimits = [this](std::vector<policy::LimitObservation> aLimits) {
    asio::post(m_io, [this, limits = std::move(aLimits)] { m_steering.OnPeerLimits(limits); });
  };
  hooks.m_onQuotaGrant = [this](policy::QuotaGrant aGrant) {
    asio::post(m_io, [this, grant = std::move(aGrant)] {
      base::ContainErrors(m_dependencies.m_log, "quota_grant", [&] { m_quotaGate.OnGrant(grant); });
    });
  };
  hooks.m_onQuotaFleet = [this](std::vector<policy::QuotaClient::Candidate> aCandidates,
                                std::uint32_t aKnownVms) {
    asio::post(m_io, [this, candidates = std::move(aCandidates), aKnownVms]() mutable {
      m_quotaGate.SetFleet(std::move(candidates), aKnownVms);
    });
  };
  hooks.m_onLoads = [this](std::optional<std::vector<policy::LoadObservation>> aLoads) {
    asio::post(m_io, [this, loads = std::move(aLoads)] { OnPeerLoads(loads); });
  };
  hooks.m_onLookups = [this](std::map<policy::LookupScope::Kind, std::uint64_t> aCounts) {
    asio::post(m_io, [this, counts = std::move(aCounts)] {
      for (const auto& [kind, count] : counts) {
        m_metrics.m_lookups[kind] += count;
      }
    });
  };
  hooks.m_onLoadsTold = [this](std::size_t aCount) {
    asio::post(m_io, [this, aCount] { m_metrics.m_observationsTold += aCount; });
  };
  AddStoreHooks(hooks);
  hooks.m_onQuarantines = [this](QuarantineStore::Contents aContents) {
    asio::post(m_io, [this, contents = std::move(aContents)] {
      m_steering.OnStoredQuarantines(contents);
      ReportState();
    });
  };
  hooks.m_onListenFailed = [this](const base::Error& aError) {
    asio::post(m_io, [this, aError] { OnListenFailed(aError); });
  };
  hooks.m_onStoreCall = [this](bool aSucceeded) {
    asio::post(m_io, [this, aSucceeded] {
      ++(aSucceeded ? m_metrics.m_storeBatches : m_metrics.m_storeFailures);
    });
  };
  return hooks;
}

void Gateway::Impl::UpdateRequestRate()
{
  const std::chrono::duration<double> interval = kTickInterval * kMaintenanceTicks;
  const double rate =
    static_cast<double>(m_metrics.m_received - m_receivedBefore) / interval.count();
  m_receivedBefore = m_metrics.m_received;
  m_requestsPerSecond += kLoadAlpha * (rate - m_requestsPerSecond);
}

void Gateway::Impl::OnPeerLoads(const std::optional<std::vector<policy::LoadObservation>>& aLoads)
{
  if (!aLoads) {
    ++m_metrics.m_observationsReceived;
    ++m_metrics.m_observationsIgnored;
    return;
  }
  m_metrics.m_observationsReceived += aLoads->size();
  m_metrics.m_observationsIgnored += aLoads->size() - m_steering.OnPeerLoads(*aLoads);
}

void Gateway::Impl::ReportState()
{
  m_metrics.m_spillShares = m_steering.SpillShares();
  m_controlPlane.SetRequestState(
    { m_context.m_phase == LifecyclePhase::Serving && m_steering.IsReady(),
      m_requestsPerSecond,
      m_steering.Containment().List().StrikesToAnnounce(PeerLink::kMaxStrikesPerMessage,
                                                        m_dependencies.m_clock.Monotonic()),
      m_steering.RecentLimits(),
      m_steering.Containment().List().HasQuarantined(m_dependencies.m_clock.Monotonic()),
      m_steering.TakeLoads() });
}

void Gateway::Impl::RecordQuarantines()
{
  if (auto records = m_steering.TakeQuarantineRecords(); !records.empty()) {
    m_controlPlane.WriteQuarantines(std::move(records));
  }
}

void Gateway::Impl::AnnounceNews()
{
  RecordQuarantines();
  if (m_steering.Containment().TakeNews()) {
    ReportState();
    m_controlPlane.AnnounceSoon();
  }
}

void Gateway::Impl::OnConfiguration(const StoredObject& aObject)
{
  auto configuration = m_dependencies.m_dialect.DecodeConfiguration(aObject);
  if (configuration) {
    m_steering.ApplyConfiguration(std::move(*configuration));
  } else {
    m_dependencies.m_log.Write(base::LogRecord("configuration_rejected")
                                 .Add("object", aObject.m_name)
                                 .Add("reason", configuration.GetError().Message()));
  }
}

void Gateway::Impl::ApplyConfigurations()
{
  for (const StoredObject& object : m_pendingConfigurations.TakeAll()) {
    if (!object.m_deleted) {
      base::ContainErrors(m_dependencies.m_log, "configuration", [&] { OnConfiguration(object); });
    }
  }
}

bool Gateway::Impl::MayServeRestricted() const
{
  // In this order: the control thread adds a configuration before it extends the time.
  const base::MonotonicTime until = m_controlPlane.ConfigurationUsableUntil();
  return m_dependencies.m_clock.Monotonic() <= until && m_pendingConfigurations.IsEmpty();
}

void Gateway::Impl::OnConfigurations()
{
  ApplyConfigurations();
  if (const auto routes = m_steering.Routes()) {
    if (auto quotas = m_quotaGate.SetConfiguration(routes->Config())) {
      m_dependencies.m_log.Write(base::LogRecord("quotas").Add("teams", quotas->size()));
      m_controlPlane.SetQuotas(std::move(*quotas));
    }
  }
  ReportState();
}

std::optional<policy::Upstream> Gateway::Impl::DecodeUpstream(const StoredObject& aObject)
{
  auto upstream = m_dependencies.m_dialect.DecodeUpstream(aObject);
  if (upstream && !IsHostAddress(upstream->m_address)) {
    upstream = base::Error{ make_error_code(base::BaseErrc::InvalidValue),
                            "address is not a host and port" };
  }
  if (!upstream) {
    m_dependencies.m_log.Write(base::LogRecord("upstream_entry_rejected")
                                 .Add("upstream", aObject.m_name)
                                 .Add("reason", upstream.GetError().Message()));
    return std::nullopt;
  }
  const auto region = m_dependencies.m_settings.m_zones.find(upstream->m_zone);
  if (region != m_dependencies.m_settings.m_zones.end()) {
    upstream->m_region = region->second;
  }
  return std::move(*upstream);
}

void Gateway::Impl::PostUpstreams(const std::vector<StoredObject>& aObjects,
                                  void (Impl::*aHandler)(std::vector<UpstreamChange>))
{
  std::vector<UpstreamChange> changes;
  std::vector<std::string> leaving;
  for (const StoredObject& object : aObjects) {
    changes.push_back({ object.m_name, object.m_revision, std::nullopt, false });
    if (!object.m_deleted) {
      base::ContainErrors(m_dependencies.m_log, "upstream_entry", [&] {
        changes.back().m_upstream = DecodeUpstream(object);
      });
    }
    changes.back().m_isRejected = !object.m_deleted && !changes.back().m_upstream;
    if (changes.back().IsLeaving()) {
      leaving.push_back(object.m_name);
    }
  }
  m_steering.Pending().Add(leaving);
  asio::post(m_io, [this, aHandler, changes = std::move(changes), leaving]() mutable {
    m_metrics.m_rejectedEntries += std::ranges::count_if(changes, &UpstreamChange::m_isRejected);
    base::ContainErrors(
      m_dependencies.m_log, "upstream_changes", [&] { (this->*aHandler)(std::move(changes)); });
    m_steering.Pending().Remove(leaving);
  });
}

void Gateway::Impl::OnUpstreamList(std::vector<UpstreamChange> aChanges)
{
  std::vector<policy::Upstream> upstreams;
  for (UpstreamChange& change : aChanges) {
    if (change.m_upstream) {
      upstreams.push_back(std::move(*change.m_upstream));
    }
  }
  m_steering.ReplaceUpstreams(std::move(upstreams));
  ReportState();
}

void Gateway::Impl::OnUpstreamChanges(std::vector<UpstreamChange> aChanges)
{
  for (UpstreamChange& change : aChanges) {
    if (change.m_upstream) {
      m_steering.PutUpstream(std::move(*change.m_upstream));
    } else {
      m_steering.RemoveUpstream(change.m_id, change.m_revision);
    }
  }
  m_steering.Tick();
}

void Gateway::Impl::OnEvacuationList(const std::vector<StoredObject>& aObjects)
{
  std::set<std::string> zones;
  for (const StoredObject& object : aObjects) {
    if (!object.m_deleted) {
      zones.insert(object.m_name);
    }
  }
  m_evacuatedZones.Replace(zones, m_dependencies.m_clock.Monotonic());
  m_steering.SetEvacuations(m_evacuatedZones.Zones());
}

void Gateway::Impl::OnEvacuationChanges(const std::vector<StoredObject>& aObjects)
{
  for (const StoredObject& object : aObjects) {
    if (object.m_deleted) {
      m_evacuatedZones.Remove(object.m_name);
    } else {
      m_evacuatedZones.Put(object.m_name);
    }
  }
  m_steering.SetEvacuations(m_evacuatedZones.Zones());
}

void Gateway::Impl::Tick()
{
  base::ContainErrors(m_dependencies.m_log, "tick", [this] { UpdateState(); });
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void Gateway::Impl::UpdateState()
{
  m_steering.SetDemandShare(m_controlPlane.DemandShare());
  if (m_evacuatedZones.RemoveExpired(m_dependencies.m_clock.Monotonic())) {
    m_steering.SetEvacuations(m_evacuatedZones.Zones());
  }
  m_steering.Tick();
  RecordQuarantines();
  ProbeDueUpstreams();
  ReportState();
  m_metrics.m_quotaGrants = m_controlPlane.Quotas().SentGrants();
  m_metrics.m_quotaGrantedShare = m_controlPlane.Quotas().GrantedShare();
  if (++m_tickCount % kMaintenanceTicks == 0) {
    UpdateRequestRate();
    m_pool.CloseUnusable(m_steering.UpstreamIds());
    m_isReloadDue = m_dependencies.m_hasNewSettings() || m_isReloadDue;
  }
  if (std::exchange(m_isReloadDue, false)) {
    Reload();
  }
}

void Gateway::Impl::ProbeDueUpstreams()
{
  for (const Steering::ProbeTarget& target : m_steering.TakeDueProbes()) {
    Probe(target);
  }
}

void Gateway::Impl::Probe(const Steering::ProbeTarget& aTarget)
{
  if (aTarget.m_healthPath.empty()) {
    m_steering.OnProbeEnded(aTarget.m_upstream.m_id, false); // The upstream cannot be probed.
    AnnounceNews();
    return;
  }
  const auto fetch = std::make_shared<HttpFetch>(m_io, aTarget.m_upstream.m_address);
  fetch->Start({ "GET", aTarget.m_healthPath, {}, kProbeTimeout, kMaxProbeBytes },
               [this, upstream = aTarget.m_upstream](const FetchResponse& aResponse) {
                 const std::string& id = upstream.m_id;
                 const auto health =
                   m_dependencies.m_wire.m_parseHealth(aResponse.m_status, aResponse.m_fields);
                 // A failed health check still shows that the upstream is alive; a response of
                 // another upstream shows that it has ended.
                 const bool isAlive =
                   aResponse.m_status != 0 && (!health || health->m_upstream == id);
                 m_steering.OnProbeEnded(id, isAlive);
                 AnnounceNews();
                 if (isAlive && aResponse.m_fields.count(m_dependencies.m_wire.m_leaving) > 0) {
                   m_steering.OnLeaving(id);
                 }
                 if (isAlive) {
                   m_steering.OnResponsive(id);
                 }
                 if (health && health->m_upstream == id) {
                   m_steering.OnIdentityConfirmed(upstream);
                   m_steering.OnProbeSucceeded(id, health->m_coldRemaining);
                 } else if (health) {
                   m_steering.OnAddressReused(upstream);
                   m_pool.Drop(id);
                 }
               });
}

void Gateway::Impl::AwaitSignal()
{
  m_signals.async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    AwaitSignal(); // First, so that no error below leaves later signals unread.
    OnSignal(aSignal);
  });
}

void Gateway::Impl::OnSignal(int aSignal)
{
  m_dependencies.m_log.Write(
    base::LogRecord("signal").Add("number", aSignal).Add("name", ::sigabbrev_np(aSignal)));
  if (aSignal == SIGHUP) {
    m_isReloadDue = true;
  } else if (!m_isServing) {
    m_io.stop(); // Still waiting for the address: there are no requests to finish.
  } else if (m_context.m_phase == LifecyclePhase::Serving) {
    Stop();
  }
}

void Gateway::Impl::Reload()
{
  const auto settings = m_dependencies.m_reload();
  base::LogRecord record("reload");
  if (settings) {
    record.Add("outcome", "accepted");
    // All other settings, such as addresses and the VM's zone, apply only after a restart.
    m_dependencies.m_settings.m_stopGrace = settings.Value().m_stopGrace;
    m_dependencies.m_settings.m_lookupLifetime = settings.Value().m_lookupLifetime;
    m_controlPlane.SetLookupLifetime(settings.Value().m_lookupLifetime);
    m_dependencies.m_settings.m_retryShare = settings.Value().m_retryShare;
    m_dependencies.m_settings.m_retrySlack = settings.Value().m_retrySlack;
    m_dependencies.m_settings.m_coldFactor = settings.Value().m_coldFactor;
    m_dependencies.m_settings.m_coldSlack = settings.Value().m_coldSlack;
  } else {
    record.Add("outcome", "rejected").Add("reason", settings.GetError().Message());
  }
  m_dependencies.m_log.Write(record);
}

void Gateway::Impl::Stop()
{
  m_dependencies.m_log.Write(base::LogRecord("stopping").Add("in_flight", m_metrics.m_inFlight));
  m_context.m_phase = LifecyclePhase::Draining;
  m_stop.emplace(m_dependencies.m_settings.m_stopGrace, m_dependencies.m_clock.Monotonic());
  m_context.m_exitAt = m_stop->ExitAt();
  m_controlPlane.AnnounceLeaving();
  ContinueStop();
}

void Gateway::Impl::ContinueStop()
{
  using Step = policy::StopSequence::Step;
  const Step step = m_stop->StepAt(m_dependencies.m_clock.Monotonic());
  LogStopStep(step);
  if (step != Step::Drain) {
    m_callerServer.StopAccepting();
    m_context.m_phase = LifecyclePhase::Closing;
  }
  if (step == Step::CloseIdle) {
    m_callerServer.CloseIdle();
  }
  const bool isDone =
    m_context.m_phase == LifecyclePhase::Closing && m_callerServer.ConnectionCount() == 0;
  if (isDone || step == Step::Exit) {
    LogStopStep(Step::Exit);
    m_io.stop();
    return;
  }
  m_stopTimer.expires_after(kTickInterval / 2);
  m_stopTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      ContinueStop();
    }
  });
}

void Gateway::Impl::LogStopStep(policy::StopSequence::Step aStep)
{
  if (m_loggedStopStep == aStep) {
    return;
  }
  m_loggedStopStep = aStep;
  m_dependencies.m_log.Write(
    base::LogRecord("stop_step")
      .Add("step", policy::ToString(aStep))
      .Add("after_ms", m_dependencies.m_clock.Monotonic() - m_stop->StartedAt())
      .Add("connections", m_callerServer.ConnectionCount())
      .Add("in_flight", m_metrics.m_inFlight));
}

Gateway::Gateway(Dependencies aDependencies)
  : m_impl(std::make_unique<Impl>(std::move(aDependencies)))
{
}

Gateway::~Gateway() = default;

base::Status Gateway::Run()
{
  return m_impl->Run();
}

} // namespace jaylane::gateway
