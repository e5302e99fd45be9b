#pragma once

#include "jaylane/policy/QuotaBroker.h"
#include "jaylane/policy/QuotaClient.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace jaylane::policy::sim {

/// Entry VMs of three regions that exchange datagrams with delays of 1 ms within a region and 20 ms
/// between regions, of which 1% are lost. Requests arrive at random times.
class QuotaFleet
{
public:
  /// @return requests per second.
  using Demand = std::function<double(const std::string& aTeam, std::size_t aVm, double aSeconds)>;

  struct Result
  {
    std::uint64_t m_requests = 0;
    std::uint64_t m_admitted = 0;
    /// Bucket with the quota's rate and burst. The lowest level below 0 is the excess.
    double m_level = 0;
    double m_excess = 0;

    double AdmittedShare() const { return static_cast<double>(m_admitted) / m_requests; }
  };

  QuotaFleet(std::size_t aVms, std::vector<TeamQuota> aQuotas, Demand aDemand, unsigned aSeed = 1);

  void RunFor(std::chrono::milliseconds aTime);
  /// Counts requests and bytes from now on; the excess is that of the whole run.
  void Measure();
  const Result& Of(const std::string& aTeam) { return m_results[aTeam]; }
  /// @return part of the quota that was used since Measure().
  double Used(const TeamQuota& aQuota);
  /// @return bytes per second that each VM has sent since Measure(), without headers of IP and UDP.
  std::vector<double> BytesPerSecond() const;

  void Start(std::size_t aVm);
  void Kill(std::size_t aVm) { m_vms[aVm] = {}; }
  void SetQuotas(std::vector<TeamQuota> aQuotas);
  /// VMs of different parts do not hear each other.
  void SetParts(std::function<int(std::size_t aVm)> aPartOf) { m_partOf = std::move(aPartOf); }

private:
  struct Waiting
  {
    std::string m_team;
    base::MonotonicTime m_until;
  };
  struct Vm
  {
    std::unique_ptr<QuotaClient> m_client;
    std::unique_ptr<QuotaBroker> m_broker;
    std::vector<Waiting> m_waiting;
  };
  struct Message
  {
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    std::variant<QuotaReport, QuotaGrant> m_content;
  };

  static std::size_t SizeOf(const Message& aMessage);
  /// @return time since the start.
  double Seconds() const;
  void Configure(std::size_t aVm);
  void Send(Message aMessage);
  void Deliver(const Message& aMessage);
  void DecideWaiting(Vm& aVm);
  void Count(const std::string& aTeam, QuotaClient::Decision aDecision);
  void Step();
  void SendRequests(std::size_t aVm);
  void SetCandidates(std::size_t aVm);

  base::ManualClock m_clock;
  base::MonotonicTime m_started = m_clock.Monotonic();
  std::vector<TeamQuota> m_quotas;
  Demand m_demand;
  std::minstd_rand m_random;
  std::vector<Vm> m_vms;
  std::multimap<base::MonotonicTime, Message> m_messages;
  std::map<std::string, Result> m_results;
  std::function<int(std::size_t)> m_partOf = [](std::size_t) { return 0; };
  std::vector<std::size_t> m_bytes;
  double m_measuredFrom = 0;
  std::uint64_t m_steps = 0;
};

} // namespace jaylane::policy::sim
