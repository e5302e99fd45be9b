#pragma once

#include "HttpFetch.h"
#include "InfoServer.h"
#include "SnapshotResponses.h"
#include "StoreEra.h"
#include "StoreProbe.h"
#include "StoreSnapshot.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/gateway/GatewaySettings.h"
#include "jaylane/gateway/StoreDialect.h"
#include "jaylane/policy/StoreFollowing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jaylane::gateway {

/// Revision of the newest change that a VM has seen, by kind of object. VMs announce theirs to each
/// other, so that a VM notices when its connection to the store no longer delivers changes.
struct StoreRevisions
{
  policy::StoreRevision m_configuration;
  policy::StoreRevision m_upstreams;
  policy::StoreRevision m_evacuations;

  bool operator==(const StoreRevisions&) const = default;
};

/// How a call to the store has ended.
enum class StoreCallResult
{
  Succeeded,
  /// The store has answered, but not with objects that this VM can use.
  Unusable,
  /// There was no answer, or the store turned the call away or failed.
  Unanswered,
};

/// Keeps a current copy of the objects of one kind: lists them, then watches for changes since the
/// list's revision. Lists them anew when the store has returned from an older copy. While calls to
/// the store fail, or peers announce a change that the watch has not delivered, it fetches the
/// changes from peers that have them. A VM that relies on others for the watch fetches all changes
/// that way.
class KindWatcher
{
public:
  struct Hooks
  {
    /// A full list, and the removals of objects that it lacks.
    std::function<void(std::vector<StoredObject>)> m_onList;
    /// Changes since the last call of m_onList or m_onChanges.
    std::function<void(std::vector<StoredObject>)> m_onChanges;
    /// A call to the store has ended; called before its objects are reported.
    std::function<void(StoreCallResult aResult)> m_onCallCompleted;
    /// The revision of the newest change has risen.
    std::function<void(policy::StoreRevision aRevision)> m_onRevision;
    /// IsFollowing() may have changed.
    std::function<void()> m_onFollowingChanged;
    /// A watch has turned out to be silent. The other connections to the store may be, too.
    std::function<void()> m_onSilence;
  };

  KindWatcher(boost::asio::io_context& aIo,
              const GatewaySettings& aSettings,
              const StoreDialect& aDialect,
              const base::Clock& aClock,
              base::AsyncLog& aLog,
              StoreEra& aEra,
              ObjectKind aKind,
              Hooks aHooks);

  void Start() { List({}); }

  /// @param aAddresses "ip:port" of peers to fetch snapshots from, the nearest first.
  void SetPeers(std::vector<std::string> aAddresses) { m_peers = std::move(aAddresses); }

  /// A peer has seen a change with the revision.
  /// @param aPeer "ip:port" at which the peer serves snapshots.
  void OnPeerRevision(policy::StoreRevision aRevision, const std::string& aPeer);

  /// The store has begun an era: what the pending watch delivers belongs to the one before.
  void OnStoreRestored();

  /// @param aHasDependents whether other VMs rely on this one for changes.
  void SetRole(policy::StoreRole aRole, bool aHasDependents);

  /// Sets whether this VM is the lead watcher, whose watches are short.
  void SetLead(bool aIsLead);

  /// Starts the pending watch, if there is one, again on a new connection, because the present one
  /// may be silent, unless its response is arriving. Without a watch, the next call uses a new
  /// connection.
  void RestartWatch();

  /// The same unless the pending watch was restarted already.
  void RenewWatch();

  /// @return smoothed time that the store has needed to begin a response.
  std::chrono::milliseconds ResponseDelay() const { return m_responseDelay; }

  /// @return whether the watch was moved to a new connection a short time ago.
  bool IsConnectionNew() const;

  /// @return whether a watch was moved to a new connection and is not answered there either.
  bool IsInDoubt() const;

  /// @return whether this VM watches the store and its last call did not fail.
  bool IsFollowing() const
  {
    return m_hasList && !m_hasFailed && !m_isPaused && m_role != policy::StoreRole::Relying;
  }

  /// @return time for which a peer has announced a change that this VM could not get; 0 if there is
  ///         none.
  std::chrono::milliseconds BehindFor() const;

  /// @return whether a peer has announced a change that this VM lacks.
  bool IsBehind() const { return m_peerRevision > m_snapshot.Revision(); }

  /// @return when a call to the store last succeeded; nothing if none has.
  std::optional<base::MonotonicTime> AnsweredAt() const { return m_answeredAt; }

  /// @return whether this VM has every change up to a revision.
  bool HasSeen(policy::StoreRevision aRevision) const { return m_snapshot.Revision() >= aRevision; }

  /// @param aAfter revision that the requesting peer has.
  /// @param aAcceptsGzip whether the peer understands compressed bodies.
  /// @return the changes after the revision as JSON, or all objects if the revision is 0 or of
  ///         another era; nothing if there is nothing newer or calls to the store fail. Peers that
  ///         ask for the same get the same body until the objects change.
  std::optional<InfoResponse> SnapshotAfter(policy::StoreRevision aAfter, bool aAcceptsGzip);

private:
  void List(const std::string& aAfter);
  /// @param aAfter name that the page begins after; empty for the first page.
  void OnListed(const FetchResponse& aResponse, const std::string& aAfter);
  std::chrono::milliseconds FirstWatchDelay() const;
  /// Time within which a peer must have begun to respond, and limit of pauses after that.
  std::chrono::milliseconds PeerTimeout() const;
  /// Limits of a response of the store that has begun to arrive.
  /// @param aPause limit between received bytes.
  TransferLimits StoreTransfer(std::chrono::milliseconds aPause) const;
  TransferLimits PeerTransfer() const;
  std::chrono::milliseconds BehindCheckInterval() const;
  /// Time after which the store responds to a watch of the lead watcher without changes.
  std::chrono::milliseconds LeadWatchTime() const;
  /// Time after which the store responds to the next watch without changes.
  std::chrono::milliseconds WatchTime();
  /// Time after the end of a watch within which the store must have responded.
  std::chrono::milliseconds ResponseMargin() const;
  std::chrono::milliseconds LeadMargin() const;
  /// @param aDelay time that the store has needed for a response.
  void MeasureResponseDelay(std::chrono::milliseconds aDelay);
  std::chrono::milliseconds NextBackoff();
  /// Delays the first watch until it is known whether other VMs watch.
  void ScheduleFirstWatch();
  /// Watches the store, or pauses if this VM relies on others.
  void Watch();
  /// @param aWait time after which the store responds without changes.
  void StartWatch(std::chrono::milliseconds aWait);
  std::chrono::milliseconds CoalesceDelay() const;
  void OnWatched(const FetchResponse& aResponse);
  void ReportRevision();
  /// The store has answered a call: corrects the announcement of a peer that is ahead of the store.
  /// @param aRevision revision of the response.
  void CheckPeerRevision(policy::StoreRevision aRevision);
  /// @return whether a peer has announced a change that the pending watch has not delivered.
  bool IsWatchBehind() const { return m_peerRevision > m_watchRevision; }
  /// Forgets the announced changes that this VM has by now, or that do not exist.
  void TrimAnnounced();
  /// Checks after a while whether the watch is still behind a peer: fetches a peer's snapshot then,
  /// and reconnects to the store after several checks. While a response to the watch is arriving,
  /// the connection stays, and peers are asked from the last of these checks on.
  /// @param aWatch number of the watch; a later watch ends the checks.
  /// @param aChecks number of checks of this watch so far.
  void ScheduleBehindCheck(std::uint32_t aWatch, std::uint32_t aChecks);
  /// @param aResponse the response that can't be used, if there was one.
  void OnFailure(const FetchResponse& aResponse);
  void FetchFromNextPeer();
  /// Does nothing while another response of a peer is arriving.
  void FetchFromPeer(const std::string& aPeer);
  void OnPeerResponse(const std::string& aPeer, const FetchResponse& aResponse);
  /// Replaces the snapshot by a full list and reports it.
  /// @param aSource "list" or "peer".
  void AdoptList(std::vector<StoredObject> aObjects,
                 policy::StoreRevision aRevision,
                 const char* aSource);
  /// @return whether the response had newer changes.
  bool AdoptPeerResponse(const std::string& aPeer, const std::string& aBody);
  /// While this VM relies on others: fetches from the next peer until it is no longer behind, and
  /// from the store if the peers do not have the change.
  void ContinueCatchUp();
  void OnSuccess();
  /// @return time since the last watch started.
  std::chrono::milliseconds WatchAge() const;
  void ScheduleAfter(std::chrono::milliseconds aPause, std::function<void()> aNext);
  void LogUnreadable(std::uint32_t aCount);
  /// @param aSource "list", "watch" or "peer".
  void LogChange(const char* aSource);

  boost::asio::io_context& m_io;
  const StoreDialect& m_dialect;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  StoreEra& m_era;
  ObjectKind m_kind;
  std::chrono::milliseconds m_drainTime;
  /// Time within which a change must be in force.
  std::chrono::milliseconds m_changeTime;
  Hooks m_hooks;
  std::string m_storeAddress;
  std::shared_ptr<HttpFetch> m_fetch;
  boost::asio::steady_timer m_timer;
  /// Objects of the pages read so far, and the revision of the first page. A change between two
  /// pages may be missing, so the list as a whole is only as recent as its first page.
  std::vector<StoredObject> m_listedObjects;
  policy::StoreRevision m_listRevision;
  /// Revision of the snapshot when the list started.
  policy::StoreRevision m_revisionAtList;
  StoreSnapshot m_snapshot;
  /// Made from m_snapshot, and dropped when it changes.
  SnapshotResponses m_responses;
  policy::StoreRevision m_reportedRevision;
  /// Newest revision that a peer has announced, and that peer.
  policy::StoreRevision m_peerRevision;
  std::string m_newestPeer;
  /// m_peerRevision when the last call to the store started.
  policy::StoreRevision m_peerRevisionAtCall;
  /// When a peer first announced a revision, for those that this VM still lacks.
  std::map<policy::StoreRevision, base::MonotonicTime> m_announced;
  /// Number of the last watch request, and whether its response is pending.
  std::uint32_t m_watchNumber = 0;
  bool m_isWatching = false;
  base::MonotonicTime m_watchStarted;
  /// Revision that the last watch started from.
  policy::StoreRevision m_watchRevision;
  /// Time after which the store responds to the last watch without changes.
  std::chrono::milliseconds m_watchTime{ 0 };
  /// Smoothed time that the store needs to begin a response.
  std::chrono::milliseconds m_responseDelay{ 0 };
  /// The pending watch was restarted because the one before it was silent.
  bool m_isOverdue = false;
  /// When a watch was last moved to a new connection.
  std::optional<base::MonotonicTime> m_restartedAt;
  /// The pending watch was moved to a new connection, and no call has succeeded since.
  bool m_isRenewed = false;
  bool m_isLead = false;
  bool m_isBehindCheckPending = false;
  boost::asio::steady_timer m_behindTimer;
  std::minstd_rand m_random;
  policy::StoreRole m_role = policy::StoreRole::Elected;
  bool m_hasDependents = false;
  /// No watch is pending or planned, because this VM relies on others.
  bool m_isPaused = false;
  bool m_isFirstWatchPending = false;
  bool m_hasList = false;
  bool m_hasFailed = false;
  std::uint32_t m_failures = 0;
  std::optional<base::MonotonicTime> m_answeredAt;
  std::vector<std::string> m_peers;
  std::size_t m_nextPeer = 0;
  std::shared_ptr<HttpFetch> m_peerFetch;
  std::string m_peerFetchAddress;
  bool m_isPeerFetchPending = false;
  base::MonotonicTime m_peerFetchStarted;
  std::uint32_t m_peerFetchFailures = 0;
  std::chrono::milliseconds m_backoff{ 0 };
  std::uint32_t m_unreadableCount = 0;
};

/// Follows the platform's store, registers this VM in it, and serves snapshots to peers. Runs on an
/// event loop of its user, whose thread calls the hooks.
class StoreSync
{
public:
  struct Hooks
  {
    KindWatcher::Hooks m_configuration;
    KindWatcher::Hooks m_upstreams;
    KindWatcher::Hooks m_evacuations;
    /// All entry VMs that ever registered.
    std::function<void(std::vector<StoredObject>)> m_onMembers;
    /// Connections of this VM to the store have turned out to be silent, or were before an outage
    /// that has ended. Those of other VMs may be, too.
    std::function<void()> m_onSilence;
    /// This VM has started or stopped to watch all kinds successfully.
    std::function<void(bool aIsFollowing)> m_onFollowing;
    /// The store no longer answers this VM, or does again. Called before the objects of the first
    /// answer are reported.
    StoreProbe::OnChanged m_onStoreReachable;
    /// The store has returned from an older copy. Called before objects of the new era are
    /// reported.
    StoreEra::OnRestored m_onRestored;
  };

  /// @param aMember value under which this VM registers in the store.
  StoreSync(boost::asio::io_context& aIo,
            const GatewaySettings& aSettings,
            const StoreDialect& aDialect,
            const base::Clock& aClock,
            base::AsyncLog& aLog,
            Json::Value aMember,
            Hooks aHooks);

  /// Makes the first calls to the store.
  void Start();

  /// Listens for snapshot requests of peers. May be called again after an error.
  /// @return an error as of ListenOn().
  base::Status ListenForPeers() { return m_snapshotServer.Listen(m_settings.m_peerAddress); }

  /// Sets the peers to fetch snapshots from. May be called on any thread.
  void SetPeers(std::vector<std::string> aAddresses);

  /// Reports the revisions that a peer has announced. May be called on any thread.
  /// @param aPeer "ip:port" at which the peer serves snapshots.
  void OnPeerRevisions(const StoreRevisions& aRevisions, std::string aPeer);

  /// @return whether this VM has every change up to the revisions. To be called on the loop's
  /// thread.
  bool HasSeen(const StoreRevisions& aRevisions) const;

  /// @return time for which peers have announced a change of upstreams that this VM could not get.
  ///         To be called on the loop's thread.
  std::chrono::milliseconds UpstreamsBehindFor() const { return m_upstreams.BehindFor(); }

  /// @return when the store last answered a call for the configuration; nothing if it never did. To
  ///   be called on the loop's thread, like the next two.
  std::optional<base::MonotonicTime> ConfigurationAnsweredAt() const
  {
    return m_configuration.AnsweredAt();
  }
  /// @return whether this VM has every change of the configuration up to a revision.
  bool HasSeenConfiguration(policy::StoreRevision aRevision) const
  {
    return m_configuration.HasSeen(aRevision);
  }
  /// @return whether a peer has announced a configuration that this VM lacks.
  bool IsConfigurationBehind() const { return m_configuration.IsBehind(); }
  /// @return time for which this VM has known that it lacks a configuration; 0 if it does not.
  std::chrono::milliseconds ConfigurationBehindFor() const { return m_configuration.BehindFor(); }

  /// The era of the store, for other calls to it. To be used on the loop's thread.
  StoreEra& Era() { return m_era; }

  /// Sets how this VM learns of changes. May be called on any thread.
  /// @param aHasDependents whether other VMs rely on this one for changes.
  void SetRole(policy::StoreRole aRole, bool aHasDependents);

  /// Sets whether this VM is the lead watcher. To be called on the loop's thread.
  void SetLead(bool aIsLead);

  /// @return whether the store has answered the last calls of this VM. To be called on the loop's
  ///         thread.
  bool IsAnswered() const;

  /// Moves pending watches to new connections, because the present ones may be silent. To be called
  /// on the loop's thread.
  void RenewWatches();

  /// Another VM found that the store does not answer it: finds out whether it answers this VM. To
  /// be called on the loop's thread.
  void CheckStore() { m_probe.Check(); }

private:
  InfoResponse OnSnapshotRequest(const InfoRequest& aRequest);
  void ReportFollowing();
  /// @return time that the store has needed lately to respond.
  std::chrono::milliseconds ResponseDelay() const;
  void OnStoreReachable();
  void OnRestored(std::uint64_t aEra);
  /// A watch of this VM has turned out to be silent: doubts the others.
  void OnSilence();
  void Register();
  /// @param aDelay time until the next list.
  void ListMembers(std::chrono::milliseconds aDelay);
  void OnMembers(const FetchResponse& aResponse, std::chrono::milliseconds aDelay);
  void ScheduleMemberList(std::chrono::milliseconds aDelay);
  /// Random, so that VMs do not look and register at the same moment.
  std::chrono::milliseconds RegistrationCheckDelay();

  const GatewaySettings& m_settings;
  const StoreDialect& m_dialect;
  base::AsyncLog& m_log;
  Json::Value m_member;
  boost::asio::io_context& m_io;
  StoreProbe m_probe;
  Hooks m_hooks;
  StoreEra m_era;
  KindWatcher m_configuration;
  KindWatcher m_upstreams;
  KindWatcher m_evacuations;
  InfoServer m_snapshotServer;
  bool m_isFollowing = false;
  std::shared_ptr<HttpFetch> m_fetch;
  boost::asio::steady_timer m_timer;
  std::minstd_rand m_random;
  bool m_isRegistered = false;
  /// The store has returned from an older copy, which may lack this VM's own object.
  bool m_mayBeUnregistered = false;
};

} // namespace jaylane::gateway
