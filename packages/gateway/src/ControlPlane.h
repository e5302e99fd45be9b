#pragma once

#include "InfoServer.h"
#include "ListenRetry.h"
#include "LoopMonitor.h"
#include "PeerLink.h"
#include "QuarantineStore.h"
#include "QuotaLink.h"
#include "StoreSync.h"
#include "jaylane/gateway/WireFormat.h"
#include "jaylane/policy/ConfirmedView.h"
#include "jaylane/policy/LeadWatcher.h"
#include "jaylane/policy/LoadObservations.h"
#include "jaylane/policy/StallHistory.h"
#include "jaylane/policy/StoreFollowing.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jaylane::gateway {

/// Keeps this VM informed: follows the store, exchanges announcements with the other VMs, and
/// answers lookups and readiness checks.
///
/// Runs on a thread of its own, the control thread, so that a VM still learns of changes in time
/// while its request thread has more work than processor time.
class ControlPlane
{
public:
  /// Called on the control thread.
  struct Hooks
  {
    std::function<void(std::vector<StoredObject>)> m_onConfigurations;
    std::function<void(std::vector<StoredObject>)> m_onUpstreamList;
    std::function<void(std::vector<StoredObject>)> m_onUpstreamChanges;
    std::function<void(std::vector<StoredObject>)> m_onEvacuationList;
    std::function<void(std::vector<StoredObject>)> m_onEvacuationChanges;
    /// Receives the names of all VMs known since the start, this one included.
    std::function<void(std::set<std::string>)> m_onMembers;
    std::function<void(std::vector<policy::Strike>)> m_onStrikes;
    /// Receives limits of upstreams that other VMs have seen.
    std::function<void(std::vector<policy::LimitObservation>)> m_onLimits;
    /// Receives loads of upstreams that another VM has seen; empty if they cannot be read.
    std::function<void(std::optional<std::vector<policy::LoadObservation>>)> m_onLoads;
    /// Loads of upstreams were sent to other VMs.
    std::function<void(std::size_t aCount)> m_onLoadsTold;
    /// Receives the numbers of lookups since the last call, by where the VMs are that they
    /// returned. Called a few times a second at most, however many lookups there are.
    std::function<void(std::map<policy::LookupScope::Kind, std::uint64_t>)> m_onLookups =
      [](const auto&) {};
    /// The store no longer answers this VM, or does again.
    std::function<void(bool aIsReachable)> m_onStoreReachable;
    /// The store has returned from an older copy. Called before objects of the new era are
    /// reported.
    std::function<void(std::uint64_t aEra)> m_onStoreRestored;
    /// The revisions that this VM has seen belong to other eras than before.
    std::function<void(const StoreRevisions&)> m_onErasChanged;
    std::function<void(bool aSucceeded)> m_onStoreCall;
    QuarantineStore::OnRead m_onQuarantines;
    /// Receives a grant of the quota broker.
    std::function<void(policy::QuotaGrant)> m_onQuotaGrant;
    /// Receives the VMs that may be the quota broker and the number of known VMs, see
    /// policy::QuotaClient::SetFleet(). Called about once a second while there are quotas.
    std::function<void(std::vector<policy::QuotaClient::Candidate>, std::uint32_t aKnownVms)>
      m_onQuotaFleet;
    /// An address stayed unavailable for too long.
    ListenRetry::OnFailed m_onListenFailed;
  };

  /// State of the request thread that is announced to other VMs.
  struct RequestState
  {
    bool m_isReady = false;
    double m_requestsPerSecond = 0;
    std::vector<policy::Strike> m_strikes;
    std::vector<policy::LimitObservation> m_limits;
    bool m_hasQuarantines = false;
    /// Loads seen since the last report.
    std::vector<policy::LoadObservation> m_newLoads;
  };

  /// @param aInstance differs between processes of this VM; see policy::QuotaBroker.
  ControlPlane(const GatewaySettings& aSettings,
               const StoreDialect& aDialect,
               const WireFormat& aWire,
               const base::Clock& aClock,
               base::AsyncLog& aLog,
               Hooks aHooks,
               std::uint32_t aInstance = 0);
  ~ControlPlane();

  /// Listens and starts the thread. An address that is in use or not up is tried again; what does
  /// not need it runs meanwhile.
  /// @return an error if an address can never be listened on.
  base::Status Start();

  /// Ends the thread. No hook is called afterwards.
  void Stop();

  /// Reports the state of the request thread. May be called on any thread.
  void SetRequestState(RequestState aState);

  /// Writes the records to the store. May be called on any thread.
  void WriteQuarantines(std::vector<policy::QuarantineRecord> aRecords);

  /// Changes the time for which callers may use the response to a lookup. May be called on any
  /// thread.
  void SetLookupLifetime(std::chrono::milliseconds aLifetime);

  /// Announces the state of the request thread before the next regular announcement. May be called
  /// on any thread.
  void AnnounceSoon();

  /// Announces that this VM is stopping, and leaves lookups. May be called on any thread.
  void AnnounceLeaving();

  /// Sets the quotas of the teams; without any, no messages about them are sent. May be called on
  /// any thread.
  void SetQuotas(std::vector<policy::TeamQuota> aQuotas);

  /// Sends reports to quota brokers, see QuotaLink::Send(). May be called on any thread.
  void SendQuotaReports(std::vector<policy::QuotaClient::Outgoing> aReports,
                        const std::string& aMajorityBroker);

  /// Messages to other VMs as a quota broker. May be used on any thread.
  const QuotaLink& Quotas() const { return m_quotaLink; }

  /// @return whether other VMs have announced a change of upstreams that this VM could not get for
  ///         so long that it may not send requests on its view. May be called on any thread.
  bool IsViewOutdated() const { return m_isViewOutdated; }

  /// @return whether this VM can be sure that its configuration is the newest, apart from changes
  ///   that need not be in force yet. May be called on any thread.
  bool IsConfigurationConfirmed() const { return m_isConfigurationConfirmed; }

  /// @return until when this VM may act on its configuration where an outdated one does harm, see
  ///   policy::ConfirmedView; the start of the clock without evidence. May be called on any thread.
  base::MonotonicTime ConfigurationUsableUntil() const { return m_configurationUsableUntil; }

  /// @return part of all requests that arrives at this VM; 0 until it is known. May be called on
  ///   any thread.
  double DemandShare() const { return m_share; }

private:
  KindWatcher::Hooks MakeWatcherHooks(std::function<void(std::vector<StoredObject>)> aOnList,
                                      std::function<void(std::vector<StoredObject>)> aOnChanges,
                                      policy::StoreRevision StoreRevisions::*aKind);
  StoreSync::Hooks MakeStoreHooks();
  PeerLink::Hooks MakePeerHooks();
  base::Status Listen();
  void SetRevision(policy::StoreRevision StoreRevisions::*aKind, policy::StoreRevision aRevision);
  /// Another VM announced that it watches the store successfully and has seen these revisions.
  void OnFollower(const StoreRevisions& aRevisions);
  /// Updates the role, the age of the view and what is announced.
  void UpdateState();
  void Tick();
  /// Reports that the view is confirmed if it has all that the last follower had seen.
  void ConfirmView();
  void UpdateRole();
  void UpdateLead();
  /// Announces this VM as one to rely on unless it is behind with its work.
  void UpdateFollowing();
  void UpdateViewAge();
  /// Updates whether the configuration is known to be the newest.
  void UpdateConfigurationView();
  void UpdateDemand();
  void UpdateQuotaFleet();
  /// @return whether this VM can serve requests.
  bool IsReady() const;
  InfoResponse OnReady() const;
  InfoResponse OnLookup(std::string_view aTarget);

  const GatewaySettings m_settings;
  const WireFormat& m_wire;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  Hooks m_hooks;
  boost::asio::io_context m_io{ 1 };
  LoopMonitor m_loopMonitor;
  PeerLink m_peerLink;
  QuotaLink m_quotaLink;
  bool m_hasQuotas = false;
  /// Whether the VMs that are registered in the store have been read.
  bool m_hasMembers = false;
  StoreSync m_storeSync;
  QuarantineStore m_quarantineStore;
  policy::StoreFollowing m_storeFollowing;
  policy::StoreRole m_role = policy::StoreRole::Elected;
  policy::LeadWatcher m_leadWatcher;
  bool m_isLead = false;
  InfoServer m_readyServer;
  InfoServer m_lookupServer;
  ListenRetry m_peerRetry;
  ListenRetry m_snapshotRetry;
  ListenRetry m_readyRetry;
  ListenRetry m_lookupRetry;
  boost::asio::steady_timer m_tickTimer;
  std::uint32_t m_tickCount = 0;
  RequestState m_requestState;
  policy::LoadObservations m_loadObservations;
  std::chrono::milliseconds m_lookupLifetime;
  bool m_isLeaving = false;
  /// Newest store revisions that this VM has seen.
  StoreRevisions m_revisions;
  /// Last announcement of a VM that watches the store.
  StoreRevisions m_followerRevisions;
  std::optional<base::MonotonicTime> m_followerHeardAt;
  /// Whether this VM itself watches the store successfully.
  bool m_isFollowing = false;
  std::atomic<bool> m_isViewOutdated{ false };
  policy::ConfirmedView m_configurationView;
  policy::StallHistory m_stalls;
  std::atomic<bool> m_isConfigurationConfirmed{ false };
  std::atomic<base::MonotonicTime> m_configurationUsableUntil{ base::MonotonicTime{} };
  policy::DemandShare m_demandShare;
  /// Lookups that were not reported yet.
  std::map<policy::LookupScope::Kind, std::uint64_t> m_newLookups;
  std::atomic<double> m_share{ 0 };
  std::thread m_thread;
};

} // namespace jaylane::gateway
