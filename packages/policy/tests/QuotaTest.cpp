#include "../bench/QuotaModel.h"

#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using sim::QuotaFleet;
using std::chrono::milliseconds;

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

// Guards against rejecting all requests of teams for seconds after a loss of power of all VMs,
// whose earlier commitments have ended with them. The demand is below the quota; each VM is back
// after about a second.
TEST(QuotaTest, AFleetThatRestartsServesSoon)
{
  const auto demand = [](const std::string&, std::size_t, double) { return 2.0; };
  for (unsigned seed = 1; seed <= 5; ++seed) {
    QuotaFleet fleet(30, { kTeam }, demand, seed);
    fleet.RunFor(kWarmup);
    for (std::size_t i = 0; i < 30; ++i) {
      fleet.Kill(i);
    }
    fleet.RunFor(1s);
    for (std::size_t i = 0; i < 30; ++i) {
      fleet.Start(i);
    }
    fleet.RunFor(1s);
    fleet.Measure();
    fleet.RunFor(5s);
    EXPECT_GE(fleet.Of("team").AdmittedShare(), 0.95) << "seed " << seed;
    EXPECT_LE(fleet.Of("team").m_excess, 0) << "seed " << seed;
  }
}

// Guards against VMs that use the quota twice while they cannot reach each other, and against a
// part that stays without any credit.
TEST(QuotaTest, DividedVmsStayWithinTheQuotaTogether)
{
  // Large enough for the reserve of one VM to hold a request.
  const TeamQuota team{ "team", 400, 400 };
  const auto demand = [](const std::string&, std::size_t, double) { return 20.0; };
  for (unsigned seed = 1; seed <= 3; ++seed) {
    QuotaFleet fleet(30, { team }, demand, seed);
    fleet.RunFor(kWarmup);
    for (const std::size_t part : { 10, 15, 20 }) {
      fleet.SetParts([part](std::size_t aVm) { return aVm < part ? 0 : 1; });
      fleet.RunFor(15s);
      fleet.SetParts([](std::size_t) { return 0; });
      fleet.RunFor(4s);
      fleet.SetParts([](std::size_t aVm) { return static_cast<int>(aVm); });
      fleet.RunFor(10s);
      fleet.Measure();
      fleet.RunFor(10s);
      EXPECT_GE(fleet.Used(team), 0.1) << "the reserve of VMs that are alone";
      fleet.SetParts([](std::size_t) { return 0; });
      fleet.RunFor(12s);
      fleet.Measure();
      fleet.RunFor(5s);
      EXPECT_GE(fleet.Used(team), 0.9) << "part " << part;
    }
    EXPECT_LE(fleet.Of("team").m_excess, 0) << "seed " << seed;
  }
}

// Guards against credits that exist twice at the moments at which VMs are cut off, killed, started
// and found again. Buckets fill up and credits are held while demand is low, and are used at once
// when it rises.
TEST(QuotaTest, RandomFailuresNeverDoubleCredits)
{
  constexpr std::size_t kVms = 13;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    QuotaFleet fleet(
      kVms,
      { kTeam },
      [](const std::string&, std::size_t, double aSeconds) {
        return (std::fmod(aSeconds, 3.7) < 2 ? 60 : 1000) / double{ kVms };
      },
      seed);
    std::minstd_rand random(seed);
    fleet.RunFor(5s);
    for (int event = 0; event < 20; ++event) {
      const std::size_t vm = random() % kVms;
      const std::size_t size = random() % kVms;
      switch (random() % 4) {
        case 0:
          fleet.Kill(vm);
          break;
        case 1:
          fleet.Start(vm);
          break;
        case 2:
          fleet.SetParts([vm, size](std::size_t aVm) { return (aVm + vm) % kVms < size ? 1 : 0; });
          break;
        default:
          fleet.SetParts([](std::size_t) { return 0; });
      }
      fleet.RunFor(milliseconds{ 500 + random() % 4000 });
    }
    EXPECT_LE(fleet.Of("team").m_excess, 0) << "seed " << seed;
  }
}

// Guards against a broker that was paused, or is new, and counts commitments of reports that were
// sent long ago or to an earlier process, while the VMs have turned to another broker.
TEST(QuotaTest, OldReportsCommitNobody)
{
  constexpr std::uint32_t kInstance = 9;
  base::ManualClock clock;
  clock.Advance(100s);
  QuotaBroker broker(kInstance, clock.Monotonic());
  broker.SetKnownVms(3, clock.Monotonic());
  broker.SetQuotas({ kTeam }, clock.Monotonic());
  clock.Advance(2s);
  std::uint32_t number = 0;
  const auto report = [&](std::uint32_t aInstance, milliseconds aEcho, bool aIsNew = false) {
    ++number;
    for (const char* vm : { "a", "b" }) {
      broker.OnReport({ vm, 1, number, 0, 3, 2450ms, aInstance, aEcho, {}, aIsNew },
                      clock.Monotonic());
    }
    return broker.GrantedShare(clock.Monotonic());
  };
  EXPECT_EQ(report(kInstance + 1, 2s), 0);
  EXPECT_GE(report(kInstance, 2s), 0.9);
  clock.Advance(6s);
  EXPECT_EQ(broker.GrantedShare(clock.Monotonic()), 0);
  EXPECT_EQ(report(kInstance, 2100ms), 0) << "it has waited while the broker was paused";
  EXPECT_EQ(report(kInstance, 8s, true), 0) << "earlier processes may be committed elsewhere";
  EXPECT_GE(report(kInstance, 8s), 0.9);
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

// Guards against a part of the quotas that two brokers, or a broker and the VM itself, use at the
// same time.
TEST(QuotaTest, AVmGivesItsPartToOneBrokerAtATime)
{
  base::ManualClock clock;
  const auto started = clock.Monotonic();
  QuotaClient client("a", 1, started);
  client.SetQuotas({ { "team", 1000, 1000 } }, clock.Monotonic());
  client.SetFleet({ { "b", std::nullopt }, { "c", std::nullopt } }, 2);
  std::string committedTo;
  std::map<std::string, base::MonotonicTime> lastCommitment;
  for (; clock.Monotonic() < started + 12s; clock.Advance(25ms)) {
    const auto now = clock.Monotonic();
    // The first broker ends after 6 s.
    const std::string broker = now < started + 6s ? "b" : "c";
    for (const auto& [to, report] : client.TakeReports(now)) {
      if (report.m_commitment > 0ms) {
        EXPECT_EQ(report.m_isNewProcess, now - started < 2450ms)
          << "an earlier process may be committed";
        lastCommitment[to] = now;
        committedTo = to;
      }
      if (to == broker) {
        client.OnGrant({ 1, report.m_number, 9, 1ms, true, {}, {} }, now);
      }
    }
    if (lastCommitment.contains("b") && committedTo == "c") {
      EXPECT_GE(now - lastCommitment["b"], 2450ms);
    }
    const bool isCommitted = !committedTo.empty() && now - lastCommitment[committedTo] < 2450ms;
    EXPECT_FALSE(isCommitted && client.IsAlone(now));
  }
  EXPECT_EQ(committedTo, "c");
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

} // namespace
} // namespace jaylane::policy
