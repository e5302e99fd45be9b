#pragma once

#include "ConfigState.h"
#include "Directory.h"
#include "LoadMeter.h"
#include "RequestQuarantine.h"
#include "ShareTableManager.h"
#include "SlotLeaseManager.h"
#include "SynchronizedExecutionLedger.h"
#include "VmContext.h"
#include "jaylane/base/PeriodicThread.h"
#include "jaylane/peer/Membership.h"
#include "jaylane/peer/PeerClient.h"
#include "jaylane/peer/PeerServer.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace jaylane::entry {

/// Exchanges state with other entry VMs: liveness, settings, share tables, quarantines, slot
/// leases, and at a planned stop the execution scopes. Thread safe.
class PeerService
{
public:
  /// Parts whose state is exchanged; all must outlive the service.
  struct Dependencies
  {
    ConfigState& m_config;
    Directory& m_directory;
    RequestQuarantine& m_quarantine;
    SynchronizedExecutionLedger& m_ledger;
    ShareTableManager& m_shareTable;
    SlotLeaseManager& m_slotLeases;
    LoadMeter& m_loadMeter;
  };

  PeerService(const VmContext& aContext, Dependencies aDependencies);
  ~PeerService();

  /// Binds the peer port and starts the exchanges.
  base::Status Start();

  /// Ends the exchanges started by this VM; calls of peers are still answered.
  void StopExchanges();

  const base::SocketAddress& Address() const { return m_server->Address(); }

  /// Takes the entry VMs of the platform's list.
  void OnDirectory(const DirectoryView& aView);

  /// @return current scope of a VM; empty if it is not known.
  std::string ScopeOf(const std::string& aIncarnation);

  /// @return incarnation of the VM that took over an incarnation's scopes; empty if none is known.
  std::string SuccessorOf(const std::string& aIncarnation);

  /// @return load reports of the other VMs of this zone.
  std::vector<std::string> ZoneLoads();

  /// Tells peers that this VM leaves.
  void BeginLeave() { m_leaving = true; }

  /// Hands this VM's scopes to one peer of the zone.
  /// @return whether the peer has accepted them.
  bool HandOver();

  /// @return {"members","unreachable","bytes"}.
  Json::Value ToJson();

private:
  void RunExchangeRound();
  void ExchangeWith(const peer::MemberInfo& aPeer);
  void ProbeSuspects();
  /// @return members that said they leave; the platform's list may show it later.
  std::set<std::string> LeavingMembers();
  bool IsReachable(const peer::MemberInfo& aSuspect);
  /// @param aPeerGeneration, aPeerShares what the peer has; newer settings and shares are added.
  peer::ExchangeMessage MakeMessage(const std::string& aPeerZone,
                                    std::uint64_t aPeerGeneration,
                                    platform::Version aPeerShares);
  void Receive(const peer::ExchangeMessage& aMessage);
  peer::ExchangeMessage OnExchange(const peer::ExchangeMessage& aMessage);
  peer::ProbeResponse OnProbe(const peer::ProbeRequest& aRequest);
  peer::HandoverResponse OnHandover(const peer::HandoverRequest& aRequest);
  std::optional<peer::MemberInfo> PickSuccessor();
  peer::MemberInfo Self() const;

  const VmContext& m_context;
  const Dependencies m_deps;
  peer::PeerClient m_client;
  std::atomic<bool> m_leaving{ false };

  std::mutex m_mutex;
  std::optional<peer::Membership> m_membership;
  std::vector<std::string> m_inheritedIncarnations;
  /// A peer with newer settings, to be asked in the next round.
  std::optional<peer::MemberInfo> m_peerWithNewerSettings;
  std::mt19937_64 m_random{ std::random_device{}() };

  std::unique_ptr<peer::PeerServer> m_server;
  std::unique_ptr<base::PeriodicThread> m_thread;
};

} // namespace jaylane::entry
