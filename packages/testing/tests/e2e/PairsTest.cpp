#include "Deployment.h"

#include "jaylane/testing/WaitFor.h"

#include <thread>

namespace jaylane::testing {
namespace {

constexpr const char* kVictim = "r0-a-entry-0";
constexpr const char* kLeaver = "orders-svc-r0-a-0";
constexpr std::chrono::seconds kPause{ 4 };

void StartCallers(Scenario& aScenario, unsigned aCallers, std::chrono::milliseconds aDuration)
{
  for (unsigned i = 0; i < aCallers; ++i) {
    CallerOptions caller = CallerOf("r0", i);
    caller.m_rate = 25;
    caller.m_orders = 2;
    caller.m_resendShare = 0.5;
    caller.m_duration = aDuration;
    aScenario.StartCaller(caller);
  }
}

/// Guards against a second run of orders whose VM dies while nothing can be agreed through the
/// store, and against a zone that stops then (G2, G4, G5).
TEST(Pairs, StoreOutageAndKill)
{
  SmallPlan plan;
  plan.m_entryVmsPerZone = 3;
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  StartCallers(*scenario, 3, std::chrono::seconds{ 4 });
  ASSERT_TRUE(WaitForWork(*scenario, 50));
  ASSERT_TRUE(scenario->Deployment().ControlPlatform(R"({"outage":true})"));
  scenario->Deployment().FindProcess(kVictim)->Kill();
  EXPECT_TRUE(WaitForWork(*scenario, 50)) << "the others do not go on";
  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 150u);
  ExpectClean(*scenario);
}

/// Guards against share units that are used by two VMs, or orders that run twice, when a VM is
/// paused while the list that others decide by is old (G2, G5).
TEST(Pairs, PauseAndListLag)
{
  const auto scenario = StartSmall(SmallPlan());
  ASSERT_TRUE(scenario);
  ASSERT_TRUE(scenario->Deployment().ControlPlatform(R"({"vm_list_lag_ms":2000})"));
  StartCallers(*scenario, 2, std::chrono::seconds{ 6 });
  ASSERT_TRUE(WaitForWork(*scenario, 40));
  Process& process = *scenario->Deployment().FindProcess(kVictim);
  process.Pause();
  std::this_thread::sleep_for(kPause);
  process.Resume();
  EXPECT_TRUE(WaitFor([&] { return scenario->IsServing(kVictim); }, kTimeout));
  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 100u);
  ExpectClean(*scenario);
}

/// Guards against a leaving upstream that gets new work because the zone's VMs cannot read the
/// platform's list (G6).
TEST(Pairs, ZoneCutAndLeavingUpstream)
{
  SmallPlan plan;
  plan.m_links = true;
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  StartCallers(*scenario, 2, std::chrono::seconds{ 6 });
  ASSERT_TRUE(WaitForWork(*scenario, 40));
  scenario->Deployment().Links().ToPlatform("r0-a").SetConditions({ true, {}, 0 });
  ASSERT_TRUE(scenario->Deployment().ControlUpstream(kLeaver, R"({"leaving":true})"));
  ASSERT_TRUE(scenario->Deployment().SetState(kLeaver, platform::VmState::Leaving));
  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 200u);
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
