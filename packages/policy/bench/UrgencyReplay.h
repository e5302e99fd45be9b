#pragma once

#include "Simulation.h"
#include "jaylane/policy/HoldQueue.h"
#include "jaylane/policy/ServiceBalancer.h"

#include <deque>
#include <list>
#include <memory>
#include <vector>

namespace jaylane::policy::sim {

/// Replays two request kinds on the same upstreams, as measured on a deployment with 146 upstreams
/// and 87 VMs, at a sixth of its size. The patient kind has a burst of 2.6 times its usual rate.
/// Each VM has a balancer and a hold queue; load reports arrive with the responses.
class UrgencyReplay
{
public:
  struct Options
  {
    double m_urgentPerSecond = 22.5;
    double m_patientPerSecond = 59;
    double m_burstFactor = 2.6;
    /// Priority of the patient kind; 0, that of the urgent kind, replays a VM without priorities.
    std::uint32_t m_patientPriority = 2;
    std::uint64_t m_seed = 1;
  };

  struct Count
  {
    double m_requests = 0;
    double m_onTime = 0;
    double m_rejectedBySender = 0;
    double m_rejectedByUpstream = 0;
    Time m_longestHold{ 0 };

    double Share() const { return m_onTime / std::max(1.0, m_requests); }
  };

  explicit UrgencyReplay(Options aOptions);

  /// @return results of the urgent and of the patient kind.
  std::array<Count, 2> Run();

private:
  struct Request
  {
    std::uint64_t m_id = 0;
    std::size_t m_kind = 0;
    std::size_t m_vm = 0;
    ServiceBalancer::Query m_query;
    Time m_arrivedAt{ 0 };
    Time m_sentAt{ 0 };
  };
  struct Upstream
  {
    std::size_t m_running = 0;
    std::deque<Request> m_waiting;
    std::list<std::uint64_t> m_knownKeys;
  };
  struct Vm
  {
    explicit Vm(const std::vector<ServiceBalancer::Candidate>& aCandidates);

    ServiceBalancer m_balancer{ {}, "r" };
    HoldQueue m_queue{ {} };
    std::map<std::uint64_t, Request> m_held;
  };

  double Rate(std::size_t aKind) const;
  void ScheduleArrival(std::size_t aKind);
  bool TrySend(Request& aRequest);
  void Reject(const Request& aRequest);
  void TryHeld(Vm& aVm);
  void TryHeldRegularly(Vm& aVm);
  void Receive(std::size_t aUpstream, const Request& aRequest);
  void StartWaiting(std::size_t aUpstream);
  void Complete(std::size_t aUpstream, const Request& aRequest);
  Count* CountOf(const Request& aRequest);

  Options m_options;
  Events m_events;
  Random m_random;
  std::uint64_t m_nextId = 0;
  std::vector<Upstream> m_upstreams;
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::array<Count, 2> m_counts;
};

} // namespace jaylane::policy::sim
