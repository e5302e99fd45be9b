#pragma once

#include "PendingRemovals.h"
#include "QuarantineStore.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/gateway/GatewaySettings.h"
#include "jaylane/policy/CrashContainment.h"
#include "jaylane/policy/LoadObservations.h"
#include "jaylane/policy/RegionReachability.h"
#include "jaylane/policy/RequestedPauses.h"
#include "jaylane/policy/RetryBudget.h"
#include "jaylane/policy/RoundTripTimes.h"
#include "jaylane/policy/RouteTable.h"
#include "jaylane/policy/ServiceBalancer.h"
#include "jaylane/policy/UpstreamIdentity.h"
#include "jaylane/policy/UpstreamLimits.h"
#include "jaylane/policy/UpstreamRegistry.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace jaylane::gateway {

/// Steering state of this VM: the configuration, the registered upstreams, evacuated zones, the
/// entry VMs, and the balancer and retry budget of each service. Used by the request thread only.
class Steering
{
public:
  Steering(const GatewaySettings& aSettings, const base::Clock& aClock, base::AsyncLog& aLog);

  /// Applies a configuration unless it is older than the active one.
  /// @return whether the configuration was applied.
  bool ApplyConfiguration(policy::Configuration aConfiguration);

  void ReplaceUpstreams(std::vector<policy::Upstream> aUpstreams);
  void PutUpstream(policy::Upstream aUpstream);
  void RemoveUpstream(const std::string& aId, policy::StoreRevision aRevision);
  /// @param aZones evacuated zones; their upstreams get no requests.
  void SetEvacuations(std::set<std::string> aZones);
  /// @param aNames entry VMs that may send requests to upstreams; this VM is added if missing.
  void SetMembers(std::set<std::string> aNames);
  /// The store no longer answers this VM, or does again.
  void OnStoreReachable(bool aIsReachable);
  /// The store has returned from an older copy.
  void OnStoreRestored(std::uint64_t aEra);

  /// Expires registry entries, and updates the balancers if anything has changed. Called a few
  /// times per second.
  void Tick();

  /// A connection to an upstream failed. It gets no requests until OnProbeSucceeded().
  void OnUnreachable(const std::string& aId);
  /// An upstream has sent nothing although a response is overdue. Its next probe is due at once.
  void OnUnresponsive(const std::string& aService, const std::string& aId);
  /// An upstream sent a response or answered a probe, so it is no longer unresponsive.
  void OnResponsive(const std::string& aId);
  /// A connection to an upstream was established.
  /// @param aTime time that it took, about a network round trip.
  void OnConnected(const std::string& aId, std::chrono::nanoseconds aTime);
  /// A request's connection ended before the response was complete: the upstream crashed, or it
  /// lost the response. A health probe tells these apart; the request counts as the cause of a
  /// crash only if the probe fails.
  /// @param aWasSuspect whether the request was sent as a suspect, see policy::CrashContainment.
  void OnSuspectedCrash(const std::string& aId,
                        const policy::RequestFingerprint& aRequest,
                        bool aWasSuspect = false);
  /// A health probe has ended.
  /// @param aIsAlive whether the upstream answered it.
  void OnProbeEnded(const std::string& aId, bool aIsAlive);
  /// A health probe succeeded; the upstream may get requests again.
  /// @param aColdRemaining time for which the upstream is still cold.
  void OnProbeSucceeded(const std::string& aId, std::chrono::milliseconds aColdRemaining);
  /// A response of an upstream says that it leaves. This incarnation gets no more requests,
  /// whatever its registration says.
  void OnLeaving(const std::string& aId);
  /// A response of an upstream names a limit on its requests, or none.
  /// @param aPerSecond requests per second that it takes from all VMs together; empty: no limit.
  void OnLimit(const std::string& aId, std::optional<double> aPerSecond);
  /// Another VM has seen responses that name limits, or none any more.
  void OnPeerLimits(const std::vector<policy::LimitObservation>& aObservations);
  /// @return limits seen recently, which other VMs may not know.
  std::vector<policy::LimitObservation> RecentLimits();
  /// A response of an upstream reports its load.
  /// @param aKey hash of the affinity key that it served; empty if none.
  void OnLoad(const std::string& aId,
              std::optional<std::uint64_t> aKey,
              const policy::LoadReport& aReport);
  /// A response of an upstream has a load report that cannot be read. Logged once per upstream.
  void OnUnreadableLoad(const std::string& aId);
  /// @return what OnLoad() has reported since the last call, for other VMs.
  std::vector<policy::LoadObservation> TakeLoads();
  /// Other VMs have seen loads of upstreams.
  /// @return number of the observations that were used.
  std::size_t OnPeerLoads(const std::vector<policy::LoadObservation>& aObservations);
  /// @return ServiceBalancer::SpillShare() by service.
  std::map<std::string, double> SpillShares() const;
  /// @param aShare part of all requests that arrives at this VM; its part of each limit. 0 if it is
  ///   not known.
  void SetDemandShare(double aShare);
  /// An upstream rejected a request and wants none from this VM for a time.
  void OnPauseRequested(const std::string& aId, std::chrono::milliseconds aPause);
  /// @return shortest time until an upstream of the service that asked for a pause may get requests
  ///         again; 0 if none has asked.
  std::chrono::milliseconds ShortestPause(const std::string& aService) const;
  /// The address of an upstream is now used by another upstream. The incarnation gets no more
  /// requests there, whatever its registration says.
  /// @param aUpstream the upstream that was expected there; ignored if its id is registered as
  ///   another incarnation or elsewhere meanwhile.
  void OnAddressReused(const policy::UpstreamIdentity& aUpstream);

  /// An upstream has named its id at its address, so that other entries which state this address
  /// are wrong or outdated.
  void OnIdentityConfirmed(const policy::UpstreamIdentity& aUpstream);

  struct ProbeTarget
  {
    policy::UpstreamIdentity m_upstream;
    std::string m_healthPath;
  };
  /// Schedules the next probe of each upstream that it returns.
  /// @return unreachable, unresponsive, possibly crashed and superseded upstreams whose probe is
  ///   due.
  std::vector<ProbeTarget> TakeDueProbes();

  /// Removals that were posted to the request thread and wait there. May be used on any thread.
  PendingRemovals& Pending() { return m_pendingRemovals; }
  /// @return whether the upstream may receive a request that is sent now.
  bool MayReceive(const std::string& aId) const;
  /// @param aChosen the entry by which the upstream was chosen.
  /// @return the same; false if the upstream is registered as another incarnation or elsewhere now.
  bool MayReceive(const policy::Upstream& aChosen) const;

  /// @return path of the health check by which the upstream must name its id on a new connection
  ///         before it gets a request that only some regions may run; empty if it need not, or if
  ///         it has no health check. Another upstream may run at its address unnoticed while its
  ///         entry may be outdated.
  std::string ConfirmationPath(const policy::Upstream& aUpstream) const;

  /// @return the active routes, or null before the first configuration.
  std::shared_ptr<policy::RouteTable> Routes() const { return m_routes; }
  policy::ServiceBalancer& Balancer(const std::string& aService);
  policy::RetryBudget& RetryBudget(const std::string& aService);
  policy::CrashContainment& Containment() { return m_containment; }
  /// Adds the strikes that a peer announced.
  void OnPeerStrikes(const std::vector<policy::Strike>& aStrikes);
  /// @param aHook called when a probe has become due that must not wait for the next tick.
  void SetOnProbeDue(std::function<void()> aHook) { m_onProbeDue = std::move(aHook); }

  /// No request is served until the quarantine records of the store are known. Once all else is
  /// known, that is awaited for a short time only.
  void AwaitQuarantines() { m_awaitsQuarantines = true; }
  /// The quarantine records of the store were read.
  void OnStoredQuarantines(const QuarantineStore::Contents& aContents);
  /// @return what should be recorded in the store, each once.
  std::vector<policy::QuarantineRecord> TakeQuarantineRecords();

  /// @return whether requests can be served: a configuration and a list of upstreams are known, and
  ///         quarantines that are awaited.
  bool IsReady() const { return m_routes && m_hasUpstreams && !m_awaitsQuarantines; }
  std::size_t MemberCount() const { return m_members.size(); }
  std::unordered_set<std::string> UpstreamIds() const;

private:
  struct ProbeState
  {
    base::MonotonicTime m_nextProbe;
    std::chrono::milliseconds m_interval{ 0 };
    /// Service whose balancer skips the upstream; set for unresponsive upstreams only.
    std::string m_service;
  };
  using ProbedUpstreams = std::unordered_map<std::string, ProbeState>;

  void LogRegionChanges(const policy::Configuration& aPrevious,
                        const policy::Configuration& aNext) const;
  void UpdateBalancers();
  /// @return whether the upstream may get new requests at all, apart from its connections.
  bool IsInService(const policy::Upstream& aUpstream) const;
  bool IsLeaving(const policy::Upstream& aUpstream) const;
  bool IsReplaced(const policy::Upstream& aUpstream) const;
  void UpdateSuperseded(base::MonotonicTime aNow);
  /// Forgets incarnations of m_leaving or m_replaced that were registered long ago.
  void ForgetEnded(auto& aIncarnations, base::MonotonicTime aNow);
  void Observe(const policy::LimitObservation& aObservation);
  /// Sets this VM's part of an upstream's limit.
  void ApplyLimit(const std::string& aId);
  void ApplyLimits();
  /// @return region of a registered upstream; empty if it is not registered.
  std::string RegionOf(const std::string& aId) const;
  void OnRegionFailure(const std::string& aId);
  void OnRegionResponse(const std::string& aId);
  struct LostRequest
  {
    policy::RequestFingerprint m_fingerprint;
    bool m_wasSuspect = false;
  };
  /// Stops waiting for quarantines that cannot be read in time.
  void LimitQuarantineWait();
  void RecordCrash(const std::string& aId, const LostRequest& aRequest);
  void AddCrashProbes(std::vector<ProbeTarget>& aDue);
  void AddDueProbes(ProbedUpstreams& aUpstreams, std::vector<ProbeTarget>& aDue);
  std::string HealthPath(const policy::Upstream& aUpstream) const;
  base::MonotonicTime ColdUntil(const policy::UpstreamRegistry::Record& aRecord) const;
  std::chrono::milliseconds ColdRequestInterval(const policy::Upstream& aUpstream) const;
  std::uint32_t MaxInFlight(const policy::Upstream& aUpstream) const;
  policy::NetworkDistance DistanceTo(const policy::Upstream& aUpstream) const;
  std::chrono::milliseconds Warmup(const std::string& aService) const;

  const GatewaySettings& m_settings;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  std::shared_ptr<policy::RouteTable> m_routes;
  policy::UpstreamRegistry m_registry;
  bool m_hasUpstreams = false;
  PendingRemovals m_pendingRemovals;
  /// The balancers do not reflect the last changes yet.
  bool m_hasChanges = false;
  policy::RegionReachability m_regions;
  policy::RoundTripTimes m_roundTrips;
  std::set<std::string> m_evacuatedZones;
  /// End of the last evacuation by zone. Upstreams may have been restarted during it and be cold.
  std::unordered_map<std::string, base::MonotonicTime> m_evacuationEnds;
  std::set<std::string> m_members;
  ProbedUpstreams m_unreachable;
  /// Unlike unreachable upstreams, these stay candidates of their balancer, so that it keeps their
  /// statistics.
  ProbedUpstreams m_unresponsive;
  /// Upstreams whose address a later entry states, see policy::SupersededUpstreams().
  ProbedUpstreams m_superseded;
  /// Requests whose connections to an upstream ended before the response was complete, kept until a
  /// probe tells whether it crashed.
  struct SuspectedCrash
  {
    std::vector<LostRequest> m_requests;
    bool m_isProbed = false;
  };
  std::unordered_map<std::string, SuspectedCrash> m_suspectedCrashes;
  /// End of the cold period that a probe reported, by upstream.
  std::unordered_map<std::string, base::MonotonicTime> m_probedColdUntil;
  /// An incarnation of an upstream that said that it leaves.
  struct LeavingIncarnation
  {
    std::int64_t m_startedAtMs = 0;
    /// Last time at which it was registered.
    base::MonotonicTime m_lastRegistered;
  };

  std::unordered_map<std::string, LeavingIncarnation> m_leaving;
  policy::RequestedPauses m_pauses;
  policy::UpstreamLimits m_limits;
  std::optional<double> m_demandShare;
  /// Loads that TakeLoads() returns next.
  std::vector<policy::LoadObservation> m_loads;
  /// Upstreams whose unreadable load report was logged.
  std::set<std::string> m_unreadableLoads;
  /// An incarnation of an upstream whose address is now used by another upstream.
  struct ReplacedIncarnation
  {
    policy::UpstreamIdentity m_identity;
    base::MonotonicTime m_lastRegistered;
  };
  std::unordered_map<std::string, ReplacedIncarnation> m_replaced;
  std::unordered_map<std::string, policy::ServiceBalancer> m_balancers;
  std::unordered_map<std::string, policy::RetryBudget> m_retries;
  policy::CrashContainment m_containment;
  policy::QuarantineJournal m_quarantineJournal{ {} };
  bool m_awaitsQuarantines = false;
  /// When all but the quarantines was known.
  std::optional<base::MonotonicTime> m_quarantinesAwaitedSince;
  std::function<void()> m_onProbeDue;
};

} // namespace jaylane::gateway
