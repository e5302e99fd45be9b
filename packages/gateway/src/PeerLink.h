#pragma once

#include "LookupLog.h"
#include "StoreSync.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/gateway/GatewaySettings.h"
#include "jaylane/policy/DemandShare.h"
#include "jaylane/policy/EntrySelection.h"
#include "jaylane/policy/LeadWatcher.h"
#include "jaylane/policy/LoadObservation.h"
#include "jaylane/policy/LookupScope.h"
#include "jaylane/policy/QuarantineList.h"
#include "jaylane/policy/QuotaClient.h"
#include "jaylane/policy/StoreFollowing.h"
#include "jaylane/policy/UpstreamLimits.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <json/value.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jaylane::gateway {

/// Exchanges announcements with the other entry VMs over UDP: that a VM runs, the address where
/// callers reach it, whether it is stopping, which store revisions it has seen, and which requests
/// crash upstreams.
///
/// An announcement goes to some VMs of the own zone in turn, and to a few random VMs of the rest of
/// the region and of other regions, so that the traffic of one VM does not grow with the number of
/// VMs. It is a JSON-RPC notification.
class PeerLink
{
public:
  /// Strikes in one announcement; more would not fit into a datagram.
  static constexpr std::size_t kMaxStrikesPerMessage = 24;

  struct Hooks
  {
    /// Returns up to kMaxStrikesPerMessage strikes (see policy::QuarantineList) to announce.
    std::function<std::vector<policy::Strike>()> m_strikes;
    /// Receives the strikes that a peer announced.
    std::function<void(const std::vector<policy::Strike>&)> m_onStrikes;
    /// Called after a new VM was added to KnownVmNames().
    std::function<void()> m_onNewPeer;
    /// Receives the store revisions that a peer has seen.
    /// @param aPeer "ip:port" at which the peer serves snapshots.
    std::function<void(const StoreRevisions&, const std::string& aPeer)> m_onRevisions;
    /// A VM of the own region announced that it watches the store successfully and has seen these
    /// revisions.
    std::function<void(const StoreRevisions&)> m_onFollower;
    /// A VM announced that the store does not answer its calls.
    std::function<void()> m_onStoreUnreachable;
    /// Returns the heartbeat of the lead watcher to announce.
    std::function<std::optional<policy::LeadWatcher::Heartbeat>()> m_leadHeartbeat;
    /// Receives a heartbeat of the lead watcher that a peer announced.
    std::function<void(const policy::LeadWatcher::Heartbeat&)> m_onLeadHeartbeat;
    /// The lead watcher of a rank has announced that it no longer leads.
    std::function<void(std::uint32_t aRank)> m_onLeadResigned;
    /// Selects VMs that watch the store among those of a zone. Returns their names.
    std::function<std::vector<std::string>(std::vector<policy::StoreFollowing::Vm> aZoneVms)>
      m_electedAmong;
    /// Returns limits of upstreams to announce, in turn.
    std::function<std::vector<policy::LimitObservation>()> m_limits;
    /// Receives the limits that a peer announced.
    std::function<void(const std::vector<policy::LimitObservation>&)> m_onLimits;
    /// Returns the demand of a zone to announce; asked while there are limits.
    std::function<std::optional<policy::ZoneDemand>()> m_zoneDemand;
    /// Receives the demand of a zone that a peer announced.
    std::function<void(const policy::ZoneDemand&)> m_onZoneDemand;
    /// Returns up to aCount loads of upstreams to announce, in turn.
    std::function<std::vector<policy::LoadObservation>(std::size_t aCount)> m_loads =
      [](std::size_t) { return std::vector<policy::LoadObservation>{}; };
    /// Receives the loads that a peer announced; empty if they cannot be read.
    std::function<void(std::optional<std::vector<policy::LoadObservation>>)> m_onLoads =
      [](const auto&) {};
    /// Loads were announced to one peer.
    std::function<void(std::size_t aCount)> m_onLoadsTold = [](std::size_t) {};
    /// A lookup was answered with VMs of this kind.
    std::function<void(policy::LookupScope::Kind)> m_onLookup = [](policy::LookupScope::Kind) {};
    /// Receives a message that is no announcement, and a function that sends a datagram to its
    /// sender; see QuotaLink.
    std::function<void(const std::string& aMethod,
                       const Json::Value& aParams,
                       const std::function<void(const std::string&)>& aReply)>
      m_onMessage = {};
  };

  struct Peer
  {
    std::string m_name;
    std::string m_zone;
    std::string m_region;
    std::string m_callerAddress;
    boost::asio::ip::udp::endpoint m_endpoint;
    base::MonotonicTime m_lastHeard;
    bool m_hasBeenHeard = false;
    bool m_leaving = false;
    /// Whether it can serve requests; VMs of older versions do not announce it.
    bool m_isReady = true;
    double m_cores = 0;
    double m_requestsPerSecond = 0;
  };

  PeerLink(boost::asio::io_context& aIo,
           const GatewaySettings& aSettings,
           const base::Clock& aClock,
           base::AsyncLog& aLog,
           Hooks aHooks);

  /// Binds the peer address and starts to send announcements. May be called again after an error.
  /// @return an error as of ListenError().
  base::Status Start();

  /// Adds VMs that are registered in the store.
  /// @param aMembers values as Describe() returns them.
  void AddMembers(const std::vector<Json::Value>& aMembers);

  /// @param aRevisions store revisions that this VM has seen; sent with the next announcements.
  void SetRevisions(const StoreRevisions& aRevisions) { m_revisions = aRevisions; }

  /// @param aIsFollowing whether this VM watches the store successfully.
  void SetFollowing(bool aIsFollowing) { m_isFollowing = aIsFollowing; }

  /// Sets whether the store answers the calls of this VM. A failure is announced soon.
  void SetStoreUnreachable(bool aIsUnreachable);

  /// Announces to the whole zone at once, for example that a change was seen on which other VMs
  /// wait.
  void AnnounceToZone();

  /// Announces at once to VMs of all other zones that watch the store, which pass the news on.
  void AnnounceToOtherZones();

  /// Announces at once, to the zone and to VMs of other zones, that this VM no longer leads.
  /// @param aRank its rank as a lead watcher.
  void AnnounceLeadResigned(std::uint32_t aRank);

  /// @return the running VMs in this VM's zone, without this VM.
  std::vector<policy::StoreFollowing::Vm> RunningZoneVms() const;

  /// Announces before the next regular announcement, but some time after the last one.
  void AnnounceSoon();

  /// Announces at once that this VM is stopping.
  void AnnounceLeaving();

  /// @param aIsReady whether this VM can serve requests.
  void SetLoad(bool aIsReady, double aRequestsPerSecond)
  {
    m_isReady = aIsReady;
    m_requestsPerSecond = aRequestsPerSecond;
  }

  /// @param aZone zone of the caller.
  /// @param aRegion region of the caller.
  /// @return caller addresses of the VMs that policy::LookupScope chooses. In this VM's zone, as
  ///         many as policy::EntrySelection selects. This VM counts as running until it stops.
  std::vector<std::string> AddressesFor(const std::string& aZone, const std::string& aRegion);

  /// @return peer addresses of a few random running VMs of the own zone, those that watch the store
  ///   first, because they have its changes first; followed by a few of other zones.
  std::vector<std::string> RunningPeers();

  /// @return requests per second of all running VMs in this VM's zone.
  double ZoneRequestsPerSecond() const;

  /// @return number of known VMs of each zone, running or not, this one included.
  std::map<std::string, std::size_t> KnownZoneVms() const;

  /// @return the latest time at or after which VMs of most known zones were heard. A zone without
  ///   another VM than this one counts as heard.
  std::optional<base::MonotonicTime> MostZonesHeardAt() const;

  /// Sends a datagram to a VM; does nothing if it is not known.
  void SendToPeer(const std::string& aName, const std::string& aMessage);

  /// @return VMs that may be the quota broker: those with the most cores first, and equal ones in
  ///   the same order at all VMs. Those that are leaving are not among them.
  std::vector<policy::QuotaClient::Candidate> BrokerCandidates() const;

  /// @return names of this VM and of all VMs known since the start, running or not.
  std::set<std::string> KnownVmNames() const;

  /// @return name, location and addresses of this VM, as announced and registered in the store.
  static Json::Value Describe(const GatewaySettings& aSettings);

private:
  void Receive();
  void OnDatagram(std::size_t aBytes);
  /// Adds a VM, or updates it from its own announcement.
  void UpdatePeer(const Json::Value& aDescription,
                  const boost::asio::ip::udp::endpoint& aEndpoint,
                  bool aIsAnnouncement);
  void ScheduleAnnouncements(std::chrono::milliseconds aDelay);
  void SendAnnouncements();
  Json::Value MakeAnnouncement(std::size_t aMaxLimits);
  std::string BuildAnnouncement(std::size_t aMaxLimits);
  /// Adds the limits whose turn it is, and the demand by which they are divided.
  void AddLimits(Json::Value& aParams, std::size_t aMaxLimits);
  void ReadLimits(const Json::Value& aParams);
  void ReadLoads(const Json::Value& aParams);
  /// Sends an announcement to recipients, and with it to some of them the loads that fit into the
  /// bytes which this VM may announce since its last announcement.
  void SendWithLoads(Json::Value aAnnouncement, std::vector<const Peer*> aRecipients);
  void ReadLeadHeartbeat(const Json::Value& aParams);
  void SendTo(const std::string& aMessage, const boost::asio::ip::udp::endpoint& aEndpoint);
  bool IsRunning(const Peer& aPeer) const;
  /// What is known of this VM or another one.
  struct Entry
  {
    std::string m_callerAddress;
    double m_cores = 0;
    double m_requestsPerSecond = 0;
  };
  /// @return all known VMs, this one included.
  std::vector<policy::LookupScope::Vm> KnownVms() const;
  /// @return what is known of a known VM.
  Entry EntryOf(const std::string& aName) const;
  /// @return those of these VMs, of this VM's zone, that the selection has.
  std::vector<std::string> Selected(const std::vector<std::string>& aZoneVms);
  /// @return all known VMs of the own zone, in the order of their names.
  std::vector<const Peer*> ZonePeers() const;
  /// @return the VMs of the own zone whose turn it is.
  std::vector<const Peer*> NextZonePeers();
  /// @return time without an announcement after which a VM counts as not running.
  std::chrono::milliseconds TimeoutOf(const Peer& aPeer) const;

  const GatewaySettings& m_settings;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  Hooks m_hooks;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::steady_timer m_timer;
  std::map<std::string, Peer> m_peers;
  std::vector<boost::asio::ip::udp::endpoint> m_seeds;
  std::array<char, 8192> m_receiveBuffer{};
  boost::asio::ip::udp::endpoint m_sender;
  std::minstd_rand m_random;
  std::uint32_t m_announcements = 0;
  base::MonotonicTime m_announcedAt;
  /// Position of the next recipient among ZonePeers(). Starts anywhere, so that a VM does not hear
  /// all VMs of the zone at once and then none for a whole turn.
  std::size_t m_nextZonePeer;
  /// Counts the limits that were announced.
  std::size_t m_nextLimit = 0;
  std::size_t m_zonePeerCount = 0;
  bool m_isFollowing = false;
  bool m_isStoreUnreachable = false;
  /// Set while the end of this VM's time as the lead watcher is announced.
  std::optional<std::uint32_t> m_resignedRank;
  bool m_leaving = false;
  bool m_isReady = false;
  double m_requestsPerSecond = 0;
  policy::EntrySelection m_entrySelection{ {} };
  policy::LookupScope m_lookupScope;
  base::MonotonicTime m_startedAt;
  LookupLog m_lookupLog;
  StoreRevisions m_revisions;
};

} // namespace jaylane::gateway
