#pragma once

#include "jaylane/policy/DepartureTracker.h"
#include "jaylane/policy/SharePlans.h"
#include "jaylane/policy/SlotBorrower.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::policy {

/// A protection mechanism that the model disables, to show that the check detects its absence.
enum class Omit
{
  None,
  Drain,           // donates units without waiting for their attempts and leases
  ReadBack,        // uses donated units again after a lost response, without a newer table
  Quarantine,      // uses reclaimed units at once
  LeaseQuarantine, // quarantine covers the longest attempt, but not the longest lease
  RateMargin,      // uses borrowed slots until the lease ends by the borrower's clock
  ListLag,         // takes absence from one VM list as proof that a VM is gone
  DispatchCheck,   // does not check again between Acquire() and dispatch
  AttemptTimeout,  // starts attempts that may outlive the lease
  LenderTime,      // lender counts a shorter lease than the borrower
  ConditionalWrite // writes the share table without a condition on its version
};

/// Simulates the entry VMs of a zone, the store, the VM list and the network, driven by random
/// 32-bit words. Each VM runs the production classes on a clock of its own.
class ShareModel
{
public:
  using Time = std::chrono::nanoseconds;

  /// Number of times that each kind of event took effect.
  struct Counts
  {
    int m_ownAttempts = 0;
    int m_borrowedAttempts = 0;
    int m_donations = 0;
    int m_reclaims = 0;
    int m_conflicts = 0;
    int m_lostResponses = 0;
    int m_growths = 0;
    int m_crashes = 0;
    int m_pauses = 0;
    int m_isolations = 0;
  };

  /// @param aCounts incremented by each event; must outlive this.
  ShareModel(std::uint64_t aSeed, Omit aOmit, Counts& aCounts);
  ~ShareModel();

  /// Advances the time and performs one action of one VM.
  /// @param aWord random number that selects them.
  /// @return false if an upstream has run more attempts at once than it has slots.
  bool Step(std::uint32_t aWord);

private:
  struct Vm;
  struct Message
  {
    std::weak_ptr<Vm> m_to; // empty for the store
    bool m_toStore = false;
    std::function<void()> m_deliver;
  };

  void Start();
  bool Send(const std::shared_ptr<Vm>& aTo, std::function<void()> aDeliver);
  void SendToStore(std::function<void()> aDeliver);
  bool Queue(Message aMessage);
  void Advance(Time aStep);
  void PerformAction(const std::shared_ptr<Vm>& aVm, std::uint32_t aAction);
  void Acquire(Vm& aVm);
  void Dispatch(Vm& aVm);
  void Finish(Vm& aVm);
  void RequestSlots(const std::shared_ptr<Vm>& aVm);
  void SendGrant(std::optional<SlotGrant> aGrant);
  void SendReturns(const std::vector<SlotReturn>& aReturns);
  void ReadTable(const std::shared_ptr<Vm>& aVm);
  void ReadList(const std::shared_ptr<Vm>& aVm);
  void Donate(const std::shared_ptr<Vm>& aVm);
  void Reclaim(const std::shared_ptr<Vm>& aVm);
  void Grow(const std::shared_ptr<Vm>& aVm);
  void Write(const std::shared_ptr<Vm>& aVm, ShareTable aTable, int& aCount);
  void Gossip(Vm& aVm);
  void PauseOrIsolate(Vm& aVm);
  void Crash(const std::shared_ptr<Vm>& aVm);
  std::shared_ptr<Vm> Find(const VmIncarnation& aIncarnation);
  std::uint32_t Random(std::uint32_t aBelow);
  Time Delay();

  const Omit m_omit;
  std::uint64_t m_random;
  Time m_now{ 0 };
  const Time m_listLag;
  const std::uint32_t m_listReadOdds; // one in this many list reads takes place
  const Time m_lease;
  const std::uint32_t m_faultOdds; // one in this many draws is a pause, one an isolation
  const bool m_returnsEarly;
  std::vector<std::shared_ptr<Vm>> m_vms;
  std::multimap<Time, Message> m_messages;
  std::map<Time, std::vector<VmIncarnation>> m_lists; // running VMs from each time on
  std::optional<ShareTable> m_stored;
  std::uint64_t m_version = 0;
  std::vector<std::vector<Time>> m_running; // end of each attempt, per upstream
  int m_started = 0;
  bool m_exceeded = false;
  Counts& m_counts;
};

} // namespace jaylane::policy
