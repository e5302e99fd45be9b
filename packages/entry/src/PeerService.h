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
/// leases, and during a graceful shutdown the execution scopes. Thread safe.
class PeerService
{
public:
  /// Components whose state is exchanged; all must outlive the service.
  struct Dependencies
  {
    ConfigState& m_config;
    Directory& m_directory;
    RequestQuarantine& m_quarantine;
    SynchronizedExecutionLedger& m_ledger;
    ShareTableManager& m_shareTable;
    SlotLeaseManager& m_slotLeases;
    LoadMeter& m_loadMeter;
    const ZoneSlotPool& m_slotPool;
  };

  PeerService(const VmContext& aContext, Dependencies aDependencies);
  ~PeerService();

  /// Binds the peer address and starts the exchanges.
  /// @return an error if the address could not be bound.
  base::Status Start();

  /// Stops starting exchanges; calls of peers are still served.
  void StopExchanges();

  const base::SocketAddress& Address() const { return m_server->Address(); }

  /// Updates the members from the platform's list.
  void OnDirectory(const DirectoryView& aView);

  /// Tells the directory which listed VMs can be used. To be called when the units of this VM may
  /// have changed.
  void UpdateVmStates();

  /// @return current execution scope of a VM; empty if it is not known.
  std::string ScopeOf(const std::string& aIncarnation);

  /// @return incarnation of the VM that took over an incarnation's execution scopes; empty if none
  ///   is known.
  std::string SuccessorOf(const std::string& aIncarnation);

  /// @return load reports of the other VMs of this zone, as JSON texts.
  std::vector<std::string> ZoneLoads();

  /// Tells peers that this VM leaves.
  void BeginLeave() { m_leaving = true; }

  /// Transfers this VM's execution scopes to one peer of the zone.
  /// @return whether the peer has accepted them.
  bool HandOver();

  /// @return {"members","unreachable","bytes"}.
  Json::Value ToJson();

private:
  /// Exchanges state with a few random members and probes those without news.
  void RunExchangeRound();
  void ExchangeWith(const peer::MemberInfo& aPeer);
  void ProbeSuspects();
  /// Probes a member directly, then through other members.
  bool IsReachable(const peer::MemberInfo& aSuspect);
  /// @param aPeerGeneration generation of the peer's settings; newer ones are included.
  /// @param aPeerShares version of the peer's share table; a newer one is included.
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
  /// Incarnations whose execution scopes this VM has taken over.
  std::vector<std::string> m_inheritedIncarnations;
  /// A peer with newer settings, which takes part in the next round.
  std::optional<peer::MemberInfo> m_peerWithNewerSettings;
  std::mt19937_64 m_random{ std::random_device{}() };

  std::unique_ptr<peer::PeerServer> m_server;
  std::unique_ptr<base::PeriodicThread> m_thread;
};

} // namespace jaylane::entry
