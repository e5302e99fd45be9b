#pragma once

#include "HttpFetch.h"
#include "InfoServer.h"
#include "StoreSnapshot.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/gateway/GatewaySettings.h"
#include "jaylane/gateway/StoreDialect.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace jaylane::gateway {

/// Revisions of the newest change that a VM has seen, by kind. VMs tell each other, so that one
/// whose connection to the store went silent notices.
struct StoreRevisions
{
  std::uint64_t m_configuration = 0;
  std::uint64_t m_upstreams = 0;
  std::uint64_t m_evacuations = 0;

  bool operator==(const StoreRevisions&) const = default;
};

/// Keeps up with one kind of object: lists it, then watches it from the list's revision on. While
/// the store does not serve this VM, or peers know of a change that its watch does not tell, it
/// adopts newer snapshots of peers that the store serves.
class KindWatcher
{
public:
  struct Hooks
  {
    /// A full list.
    std::function<void(std::vector<StoredObject>)> m_onList;
    /// Changes since the list.
    std::function<void(std::vector<StoredObject>)> m_onChanges;
    /// The first success after a failure, before its objects.
    std::function<void()> m_onRecovered;
    std::function<void(bool aSucceeded)> m_onCall;
    /// Revision of the newest change, when it rises.
    std::function<void(std::uint64_t aRevision)> m_onRevision;
  };

  KindWatcher(boost::asio::io_context& aIo,
              const GatewaySettings& aSettings,
              const StoreDialect& aDialect,
              base::AsyncLog& aLog,
              ObjectKind aKind,
              Hooks aHooks);

  void Start() { List({}); }

  /// @param aAddresses "ip:port" of peers that may be asked for snapshots, the best first.
  void SetPeers(std::vector<std::string> aAddresses) { m_peers = std::move(aAddresses); }

  /// A peer has seen a change of the revision.
  void OnPeerRevision(std::uint64_t aRevision);

  /// @param aAfter revision that the asking peer has.
  /// @return the snapshot as JSON, or nothing unless it is newer and the store serves this VM.
  std::optional<std::string> SnapshotAfter(std::uint64_t aAfter) const;

private:
  void List(const std::string& aAfter);
  void OnListed(const FetchResponse& aResponse);
  void Watch();
  void OnWatched(const FetchResponse& aResponse);
  void TellRevision();
  bool IsBehind() const { return m_peerRevision > m_snapshot.Revision(); }
  void CheckBehind(std::uint32_t aWatch, std::uint32_t aChecks);
  void Retry();
  void AskPeer();
  void OnPeerSnapshot(const std::string& aPeer, const FetchResponse& aResponse);
  void OnSuccess();
  void After(std::chrono::milliseconds aPause, std::function<void()> aNext);
  void LogUnreadable(std::uint32_t aCount);

  boost::asio::io_context& m_io;
  const StoreDialect& m_dialect;
  base::AsyncLog& m_log;
  ObjectKind m_kind;
  std::chrono::milliseconds m_gather;
  Hooks m_hooks;
  std::string m_storeAddress;
  std::shared_ptr<HttpFetch> m_fetch;
  boost::asio::steady_timer m_timer;
  std::vector<StoredObject> m_listed;
  StoreSnapshot m_snapshot;
  std::uint64_t m_toldRevision = 0;
  std::uint64_t m_peerRevision = 0;
  /// Number of the last watch, and whether it is still open.
  std::uint32_t m_watches = 0;
  bool m_isWatching = false;
  bool m_isCheckingBehind = false;
  boost::asio::steady_timer m_behindTimer;
  std::minstd_rand m_random;
  bool m_hasFailed = false;
  std::uint32_t m_failures = 0;
  std::vector<std::string> m_peers;
  std::size_t m_nextPeer = 0;
  std::shared_ptr<HttpFetch> m_peerFetch;
  std::chrono::milliseconds m_backoff{ 0 };
  std::uint32_t m_unreadable = 0;
};

/// The thread that talks to the platform's store. Results are handed to the hooks, which pass
/// them on to the request thread.
class StoreSync
{
public:
  struct Hooks
  {
    KindWatcher::Hooks m_configuration;
    KindWatcher::Hooks m_upstreams;
    KindWatcher::Hooks m_evacuations;
    /// Names and values of all entry VMs that ever registered.
    std::function<void(std::vector<StoredObject>)> m_onMembers;
  };

  /// @param aMember value that announces this VM to the others.
  StoreSync(const GatewaySettings& aSettings,
            const StoreDialect& aDialect,
            base::AsyncLog& aLog,
            Json::Value aMember,
            Hooks aHooks);
  ~StoreSync();

  /// @return whether peers can ask this VM for snapshots.
  const base::Status& PeerPort() const { return m_peerPort; }

  /// Names peers that may be asked for snapshots. May be called on any thread.
  void SetPeers(std::vector<std::string> aAddresses);

  /// Tells what a peer has seen of the store. May be called on any thread.
  void OnPeerRevisions(const StoreRevisions& aRevisions);

private:
  InfoResponse OnSnapshotRequest(std::string_view aTarget) const;
  void Register();
  void ListMembers(std::chrono::milliseconds aDelay, Freshness aFreshness);

  const GatewaySettings& m_settings;
  const StoreDialect& m_dialect;
  Json::Value m_member;
  Hooks m_hooks;
  boost::asio::io_context m_io;
  KindWatcher m_configuration;
  KindWatcher m_upstreams;
  KindWatcher m_evacuations;
  InfoServer m_snapshots;
  base::Status m_peerPort;
  std::shared_ptr<HttpFetch> m_fetch;
  boost::asio::steady_timer m_timer;
  std::thread m_thread;
};

} // namespace jaylane::gateway
