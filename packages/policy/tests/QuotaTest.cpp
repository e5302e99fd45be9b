#include "jaylane/policy/QuotaBroker.h"
#include "jaylane/policy/QuotaClient.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <variant>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kStep{ 5 };

/// Entry VMs of three regions that exchange datagrams with delays of 1 ms within a region and 20 ms
/// between regions, of which 1% are lost. Requests arrive at random times.
class QuotaFleet
{
public:
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

  QuotaFleet(std::size_t aVms, std::vector<TeamQuota> aQuotas, Demand aDemand, unsigned aSeed = 1)
    : m_quotas(std::move(aQuotas))
    , m_demand(std::move(aDemand))
    , m_random(aSeed)
  {
    m_clock.Advance(100s);
    m_vms.resize(aVms);
    for (std::size_t i = 0; i < aVms; ++i) {
      Start(i);
    }
    for (const TeamQuota& quota : m_quotas) {
      m_results[quota.m_team].m_level = quota.m_burst;
    }
  }

  void RunFor(milliseconds aTime)
  {
    for (auto elapsed = 0ms; elapsed < aTime; elapsed += kStep) {
      Step();
    }
  }
  /// Counts requests from now on; the excess is that of the whole run.
  void Measure()
  {
    m_measuredFrom = Seconds();
    for (auto& [team, result] : m_results) {
      result.m_requests = result.m_admitted = 0;
    }
    m_bytes.assign(m_vms.size(), 0);
  }
  const Result& Of(const std::string& aTeam) { return m_results[aTeam]; }
  /// Part of the quota that was used since Measure().
  double Used(const TeamQuota& aQuota)
  {
    return m_results[aQuota.m_team].m_admitted /
           (aQuota.m_ratePerSecond * (Seconds() - m_measuredFrom));
  }
  double Seconds() const
  {
    return std::chrono::duration<double>(m_clock.Monotonic().time_since_epoch()).count() - 100;
  }
  void Start(std::size_t aVm)
  {
    const auto instance = static_cast<std::uint32_t>(m_random() | 1U);
    const auto now = m_clock.Monotonic();
    m_vms[aVm] = { std::make_unique<QuotaClient>(NameOf(aVm), instance, now),
                   std::make_unique<QuotaBroker>(instance, now),
                   {},
                   {} };
    Configure(aVm);
  }
  void Kill(std::size_t aVm) { m_vms[aVm] = {}; }
  void SetQuotas(std::vector<TeamQuota> aQuotas)
  {
    m_quotas = std::move(aQuotas);
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      Configure(i);
    }
  }
  /// The VM does nothing for a time; messages to it wait.
  void Pause(std::size_t aVm, milliseconds aTime)
  {
    m_vms[aVm].m_pausedUntil = m_clock.Monotonic() + aTime;
  }
  /// VMs of different parts do not hear each other.
  void SetParts(std::function<int(std::size_t aVm)> aPartOf) { m_partOf = std::move(aPartOf); }
  /// Bytes that the busiest VM sent in a second since Measure().
  double MaxBytesPerSecond() const
  {
    return static_cast<double>(std::ranges::max(m_bytes)) / (Seconds() - m_measuredFrom);
  }
  double MeanBytesPerSecond() const
  {
    double sum = 0;
    for (const auto bytes : m_bytes) {
      sum += static_cast<double>(bytes);
    }
    return sum / static_cast<double>(m_bytes.size()) / (Seconds() - m_measuredFrom);
  }

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
    base::MonotonicTime m_pausedUntil;
  };
  struct Message
  {
    std::size_t m_from;
    std::size_t m_to;
    std::variant<QuotaReport, QuotaGrant> m_content;
  };

  static std::string NameOf(std::size_t aVm) { return "vm-" + std::to_string(aVm); }

  void Configure(std::size_t aVm)
  {
    Vm& vm = m_vms[aVm];
    if (!vm.m_client) {
      return;
    }
    const auto now = m_clock.Monotonic();
    vm.m_client->SetQuotas(m_quotas, now);
    vm.m_broker->SetQuotas(m_quotas, now);
    vm.m_broker->SetKnownVms(static_cast<std::uint32_t>(m_vms.size()), now);
  }
  /// About the size of the messages of gateway::QuotaLink.
  static std::size_t SizeOf(const Message& aMessage)
  {
    constexpr std::size_t kEnvelope = 125;
    constexpr std::size_t kEntry = 14;
    return kEnvelope +
           kEntry * std::visit([](const auto& aContent) { return aContent.m_teams.size(); },
                               aMessage.m_content);
  }
  void Send(Message aMessage)
  {
    const bool isLocal = aMessage.m_from == aMessage.m_to;
    m_bytes.resize(m_vms.size());
    m_bytes[aMessage.m_from] += isLocal ? 0 : SizeOf(aMessage);
    if (m_partOf(aMessage.m_from) != m_partOf(aMessage.m_to) ||
        (!isLocal && m_random() % 100 == 0)) {
      return;
    }
    const auto delay = isLocal ? 0ms : aMessage.m_from % 3 == aMessage.m_to % 3 ? 1ms : 20ms;
    m_messages.emplace(m_clock.Monotonic() + delay, std::move(aMessage));
  }
  void Deliver(const Message& aMessage)
  {
    Vm& vm = m_vms[aMessage.m_to];
    const auto now = m_clock.Monotonic();
    if (!vm.m_client) {
      return;
    }
    if (now < vm.m_pausedUntil) {
      m_messages.emplace(vm.m_pausedUntil, aMessage);
      return;
    }
    if (const auto* report = std::get_if<QuotaReport>(&aMessage.m_content)) {
      vm.m_broker->SetRedirect(vm.m_client->MajorityBroker(now));
      Send({ aMessage.m_to, aMessage.m_from, vm.m_broker->OnReport(*report, now) });
    } else {
      vm.m_client->OnGrant(std::get<QuotaGrant>(aMessage.m_content), now);
      DecideWaiting(vm);
    }
  }
  void DecideWaiting(Vm& aVm)
  {
    const auto now = m_clock.Monotonic();
    std::erase_if(aVm.m_waiting, [&](const Waiting& aWaiting) {
      const auto admission = aVm.m_client->Retry(aWaiting.m_team, now);
      if (admission.m_decision == QuotaClient::Decision::Wait) {
        if (now >= aWaiting.m_until) {
          aVm.m_client->GiveUp(aWaiting.m_team);
        }
        return now >= aWaiting.m_until;
      }
      Count(aWaiting.m_team, admission.m_decision);
      return true;
    });
  }
  void Count(const std::string& aTeam, QuotaClient::Decision aDecision)
  {
    if (aDecision == QuotaClient::Decision::Admitted) {
      Result& result = m_results[aTeam];
      ++result.m_admitted;
      result.m_level -= 1;
      result.m_excess = std::max(result.m_excess, -result.m_level);
    }
  }
  void Step()
  {
    m_clock.Advance(kStep);
    ++m_steps;
    const auto now = m_clock.Monotonic();
    for (const TeamQuota& quota : m_quotas) {
      Result& result = m_results[quota.m_team];
      const double refill = quota.m_ratePerSecond * std::chrono::duration<double>(kStep).count();
      result.m_level = std::min(result.m_level + refill, quota.m_burst);
    }
    while (!m_messages.empty() && m_messages.begin()->first <= now) {
      const Message message = std::move(m_messages.begin()->second);
      m_messages.erase(m_messages.begin());
      Deliver(message);
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      if (m_vms[i].m_client && now >= m_vms[i].m_pausedUntil) {
        StepVm(i);
      }
    }
  }
  void StepVm(std::size_t aVm)
  {
    Vm& vm = m_vms[aVm];
    const auto now = m_clock.Monotonic();
    for (const TeamQuota& quota : m_quotas) {
      const double mean = m_demand(quota.m_team, aVm, Seconds()) * 0.005;
      auto requests = mean > 0 ? std::poisson_distribution<int>{ mean }(m_random) : 0;
      for (; requests > 0; --requests) {
        ++m_results[quota.m_team].m_requests;
        const auto admission = vm.m_client->Admit(quota.m_team, now);
        Count(quota.m_team, admission.m_decision);
        if (admission.m_decision == QuotaClient::Decision::Wait) {
          vm.m_waiting.push_back({ quota.m_team, now + QuotaClient::kMaxWait });
        }
      }
    }
    DecideWaiting(vm);
    if (m_steps % 40 == 0) {
      std::vector<QuotaClient::Candidate> candidates;
      for (std::size_t i = 0; i < m_vms.size(); ++i) {
        const bool isHeard = m_vms[i].m_client && m_partOf(i) == m_partOf(aVm);
        candidates.push_back({ NameOf(i), isHeard ? std::optional{ now } : std::nullopt });
      }
      vm.m_client->SetFleet(candidates, static_cast<std::uint32_t>(m_vms.size()));
    }
    for (const auto& outgoing : vm.m_client->TakeReports(now)) {
      Send(
        { aVm, static_cast<std::size_t>(std::stoi(outgoing.m_to.substr(3))), outgoing.m_report });
    }
  }

  base::ManualClock m_clock;
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

/// Time from the start until the VMs have committed themselves, in a fleet of 30.
constexpr milliseconds kWarmup{ 6000 };
const TeamQuota kTeam{ "team", 100, 100 };
const TeamQuota kSmallTeam{ "small", 8, 8 };

/// @return demand of 1.5 times the quota, divided by the function.
QuotaFleet::Demand Divided(std::function<double(std::size_t aVm, double aSeconds)> aPart)
{
  return [part = std::move(aPart)](const std::string&, std::size_t aVm, double aSeconds) {
    return 150 * part(aVm, aSeconds);
  };
}

const auto kEven = Divided([](std::size_t, double) { return 1.0 / 30; });

// Guards against quotas that are divided evenly although the demand is not: 0.9 must be usable.
TEST(QuotaTest, MostOfTheQuotaIsUsedWhereverTheDemandIs)
{
  const std::map<std::string, QuotaFleet::Demand> demands{
    { "one VM", Divided([](std::size_t aVm, double) { return aVm == 7 ? 1 : 0; }) },
    { "moving each 3 s", Divided([](std::size_t aVm, double aSeconds) {
        return static_cast<std::size_t>(aSeconds / 3) * 7 % 30 == aVm ? 1 : 0;
      }) },
    { "even", kEven }
  };
  for (const auto& [name, demand] : demands) {
    QuotaFleet fleet(30, { kTeam }, demand);
    fleet.RunFor(kWarmup);
    fleet.Measure();
    fleet.RunFor(30s);
    EXPECT_GE(fleet.Used(kTeam), 0.9) << name;
    EXPECT_LE(fleet.Of("team").m_excess, 0) << name;
    RecordProperty("used, " + name, std::to_string(fleet.Used(kTeam)));
  }
}

// Guards against credits that are doubled, or lost for long, when VMs are killed, among them the
// broker, and started again.
TEST(QuotaTest, AThirdOfTheVmsIsKilled)
{
  for (unsigned seed = 1; seed <= 3; ++seed) {
    QuotaFleet fleet(30, { kTeam }, kEven, seed);
    fleet.RunFor(kWarmup);
    fleet.Measure();
    for (std::size_t i = 1; i <= 10; ++i) {
      fleet.Kill(i);
    }
    fleet.RunFor(20s);
    EXPECT_GE(fleet.Used(kTeam), 0.9) << "seed " << seed;
    RecordProperty("used, a third killed", std::to_string(fleet.Used(kTeam)));
    fleet.Kill(0); // The broker.
    fleet.RunFor(10s);
    for (std::size_t i = 0; i <= 10; ++i) {
      fleet.Start(i);
    }
    fleet.RunFor(10s);
    fleet.Measure();
    fleet.RunFor(10s);
    EXPECT_GE(fleet.Used(kTeam), 0.9) << "seed " << seed;
    EXPECT_LE(fleet.Of("team").m_excess, 0) << "seed " << seed;
  }
}

// Guards against VMs that use the quota twice while they cannot reach each other, and against a
// part that stays without any credit.
TEST(QuotaTest, DividedVmsStayWithinTheQuotaTogether)
{
  for (unsigned seed = 1; seed <= 3; ++seed) {
    QuotaFleet fleet(30, { kTeam }, kEven, seed);
    fleet.RunFor(kWarmup);
    for (const std::size_t part : { 10, 15, 20 }) {
      fleet.SetParts([part](std::size_t aVm) { return aVm < part ? 0 : 1; });
      fleet.RunFor(15s);
      fleet.SetParts([](std::size_t) { return 0; });
      fleet.RunFor(4s);
      fleet.SetParts([](std::size_t aVm) { return static_cast<int>(aVm); });
      fleet.Measure();
      fleet.RunFor(10s);
      EXPECT_GT(fleet.Of("team").m_admitted, 0U) << "the reserve of VMs that are alone";
      fleet.SetParts([](std::size_t) { return 0; });
      fleet.RunFor(12s);
      fleet.Measure();
      fleet.RunFor(5s);
      EXPECT_GE(fleet.Used(kTeam), 0.9) << "part " << part;
    }
    EXPECT_LE(fleet.Of("team").m_excess, 0) << "seed " << seed;
  }
}

// Guards against a broker that was paused and then counts commitments of reports that have waited
// for it, while the VMs have turned to another one.
TEST(QuotaTest, APausedBrokerGrantsNothingOnOldReports)
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(30, { kTeam }, kEven, seed);
    fleet.RunFor(kWarmup);
    for (int i = 0; i < 3; ++i) {
      for (std::size_t vm = 0; vm < 3; ++vm) {
        fleet.Pause(vm, 6s + 137ms * i);
      }
      fleet.RunFor(15s);
    }
    EXPECT_LE(fleet.Of("team").m_excess, 0) << "seed " << seed;
  }
}

// Guards against small teams that are rejected below their quota because each VM has too small a
// part of it, and where demand appears on a VM that had none.
TEST(QuotaTest, SmallTeamsGetWhatTheyAreAllowed)
{
  const std::map<std::string, std::function<double(std::size_t, double)>> demands{
    { "5/s on 30 VMs", [](std::size_t, double) { return 5.0 / 30; } },
    { "first requests",
      [](std::size_t aVm, double aSeconds) {
        return static_cast<std::size_t>(aSeconds) * 11 % 30 == aVm ? 5.0 : 0;
      } }
  };
  for (const auto& [name, demand] : demands) {
    QuotaFleet fleet(
      30, { kTeam, kSmallTeam }, [&](const std::string& aTeam, std::size_t aVm, double aNow) {
        return aTeam == "small" ? demand(aVm, aNow) : 5;
      });
    fleet.RunFor(kWarmup);
    fleet.Measure();
    fleet.RunFor(60s);
    EXPECT_GE(fleet.Of("small").AdmittedShare(), 0.95) << name << ", beside a team over its quota";
    EXPECT_LE(fleet.Of("small").m_excess, 0) << name;
    RecordProperty("admitted, " + name, std::to_string(fleet.Of("small").AdmittedShare()));
  }
}

// Guards against a team that suddenly sends 7 times its usual rate and gets more than its quota, or
// less than it.
TEST(QuotaTest, AHotTeamGetsItsQuotaAndNoMore)
{
  QuotaFleet fleet(30, { kTeam }, [](const std::string&, std::size_t, double aSeconds) {
    return aSeconds < 10 ? 62.5 / 30 : 7 * 62.5 / 30;
  });
  fleet.RunFor(10s);
  fleet.Measure();
  fleet.RunFor(6s);
  EXPECT_GE(fleet.Used(kTeam), 0.9);
  EXPECT_LE(fleet.Of("team").m_excess, 0);
}

// Guards against a lower quota that binds only after the credits of the higher one are used up.
TEST(QuotaTest, ALowerQuotaBindsAfterOneWindow)
{
  QuotaFleet fleet(30, { kTeam }, kEven);
  fleet.RunFor(kWarmup);
  fleet.SetQuotas({ { "team", 10, 10 } });
  fleet.RunFor(5s);
  fleet.Measure();
  fleet.RunFor(10s);
  EXPECT_LE(fleet.Of("team").m_admitted, 10 * 10 + 10U);
  EXPECT_GE(fleet.Used({ "team", 10, 10 }), 0.9);
}

// Guards against credit that is doubled by returning it after the broker was told of its use, and
// against messages without any quota.
TEST(QuotaTest, CreditsAreReturnedOnceAndUnlimitedTeamsNeedNone)
{
  base::ManualClock clock;
  clock.Advance(100s);
  QuotaClient client("a", 1, clock.Monotonic());
  client.SetFleet({ { "b", std::nullopt } }, 2);
  EXPECT_EQ(client.Admit("other", clock.Monotonic()).m_decision, QuotaClient::Decision::Admitted);
  EXPECT_TRUE(client.TakeReports(clock.Monotonic()).empty());
  client.SetQuotas({ kTeam }, clock.Monotonic());
  EXPECT_EQ(client.Admit("team", clock.Monotonic()).m_decision, QuotaClient::Decision::Wait);
  ASSERT_FALSE(client.TakeReports(clock.Monotonic()).empty());
  QuotaGrant grant{ 1, 1, 9, 5ms, true, {}, { { "team", 1, 0ms } } };
  EXPECT_TRUE(client.OnGrant(grant, clock.Monotonic()));
  EXPECT_FALSE(client.OnGrant(grant, clock.Monotonic())) << "a datagram may arrive twice";
  auto admission = client.Retry("team", clock.Monotonic());
  ASSERT_EQ(admission.m_decision, QuotaClient::Decision::Admitted);
  client.Return(admission.m_credit, clock.Monotonic());
  EXPECT_EQ(client.HeldCredits(), 1U);
  admission = client.Admit("team", clock.Monotonic());
  clock.Advance(600ms);
  ASSERT_FALSE(client.TakeReports(clock.Monotonic()).empty());
  client.Return(admission.m_credit, clock.Monotonic());
  EXPECT_EQ(client.HeldCredits(), 0U);
}

// Guards against peer traffic that grows beyond the bound with the number of VMs.
TEST(QuotaTest, MessagesOfManyVmsAndTeams)
{
  for (const std::size_t vms : { 87, 300 }) {
    std::vector<TeamQuota> quotas;
    std::map<std::string, double> rates;
    for (int rank = 1; rank <= 86; ++rank) {
      const std::string name = "team-" + std::to_string(rank);
      rates[name] = 590 * std::pow(rank, -1.2);
      quotas.push_back({ name, 1.6 * rates[name], 1.6 * rates[name] });
    }
    QuotaFleet fleet(vms, quotas, [&](const std::string& aTeam, std::size_t, double) {
      return rates.at(aTeam) / static_cast<double>(vms);
    });
    fleet.RunFor(12s);
    fleet.Measure();
    fleet.RunFor(3s);
    std::uint64_t requests = 0;
    std::uint64_t admitted = 0;
    for (const TeamQuota& quota : quotas) {
      requests += fleet.Of(quota.m_team).m_requests;
      admitted += fleet.Of(quota.m_team).m_admitted;
      EXPECT_LE(fleet.Of(quota.m_team).m_excess, 0) << quota.m_team;
    }
    EXPECT_GE(static_cast<double>(admitted) / requests, 0.95) << vms << " VMs";
    std::printf("%zu VMs: mean %.0f B/s, broker %.0f B/s, admitted %.4f\n",
                vms,
                fleet.MeanBytesPerSecond(),
                fleet.MaxBytesPerSecond(),
                static_cast<double>(admitted) / requests);
  }
}

} // namespace
} // namespace jaylane::policy
