#pragma once

#include "StoreSync.h"
#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/gateway/GatewaySettings.h"
#include "jaylane/policy/QuarantineList.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <json/value.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jaylane::gateway {

/// What VMs tell each other in datagrams: that they run, where callers reach them, whether they
/// are stopping, and which requests crash upstreams.
///
/// A message goes to the VMs of the own region and to a few others at random, so that its cost
/// does not grow with the fleet. Messages are JSON-RPC notifications.
class PeerLink
{
public:
  struct Hooks
  {
    /// Strikes of this VM to tell others.
    std::function<std::vector<policy::Strike>()> m_strikes;
    std::function<void(const std::vector<policy::Strike>&)> m_onStrikes;
    /// Names of VMs heard of for the first time.
    std::function<void()> m_onNewPeer;
    /// What a peer has seen of the store.
    std::function<void(const StoreRevisions&)> m_onRevisions;
  };

  struct Peer
  {
    std::string m_name;
    std::string m_zone;
    std::string m_region;
    std::string m_callerAddress;
    boost::asio::ip::udp::endpoint m_endpoint;
    base::MonotonicTime m_heard;
    bool m_hasBeenHeard = false;
    bool m_leaving = false;
  };

  PeerLink(boost::asio::io_context& aIo,
           const GatewaySettings& aSettings,
           const base::Clock& aClock,
           base::AsyncLog& aLog,
           Hooks aHooks);

  base::Status Start();

  /// Adds VMs from the store's list.
  void AddMembers(const std::vector<Json::Value>& aMembers);

  /// @param aRevisions what this VM has seen of the store; told with the next messages.
  void SetRevisions(const StoreRevisions& aRevisions) { m_revisions = aRevisions; }

  /// Tells the region that this VM is stopping.
  void AnnounceLeaving();

  /// @return caller addresses of running VMs for a caller: those of its zone, else of its
  ///         region, else of this VM's zone. Includes this VM where it fits, unless it is leaving.
  std::vector<std::string> AddressesFor(const std::string& aZone, const std::string& aRegion) const;

  /// @return peer addresses of running VMs, a few of the own region first, then a few others.
  std::vector<std::string> RunningPeers() const;

  /// @return names of all VMs ever heard of.
  std::set<std::string> Names() const;

  /// @return the value that announces this VM, for the store and for messages.
  static Json::Value Describe(const GatewaySettings& aSettings);

private:
  void Receive();
  void OnMessage(std::size_t aBytes);
  void Learn(const Json::Value& aDescription,
             const boost::asio::ip::udp::endpoint& aEndpoint,
             bool aIsDirect);
  void ScheduleSend();
  void SendRound();
  std::string Message() const;
  void SendTo(const std::string& aMessage, const boost::asio::ip::udp::endpoint& aEndpoint);
  bool IsRunning(const Peer& aPeer) const;

  const GatewaySettings& m_settings;
  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  Hooks m_hooks;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::steady_timer m_timer;
  std::map<std::string, Peer> m_peers;
  std::vector<boost::asio::ip::udp::endpoint> m_seeds;
  std::array<char, 8192> m_received{};
  boost::asio::ip::udp::endpoint m_sender;
  std::minstd_rand m_random;
  std::uint32_t m_rounds = 0;
  bool m_leaving = false;
  StoreRevisions m_revisions;
};

} // namespace jaylane::gateway
