#include "Deployment.h"

#include "jaylane/testing/WaitFor.h"

#include <thread>

namespace jaylane::testing {
namespace {

constexpr const char* kFailingVm = "r0-a-entry-0";
constexpr const char* kLeavingUpstream = "orders-svc-r0-a-0";
constexpr std::chrono::seconds kPauseDuration{ 4 };

void StartCallers(Scenario& aScenario, unsigned aCallers, std::chrono::milliseconds aDuration)
{
  for (unsigned i = 0; i < aCallers; ++i) {
    CallerOptions caller = MakeCallerOptions("r0", i);
    caller.m_rate = 25;
    caller.m_orders = 2;
    caller.m_resendShare = 0.5;
    caller.m_duration = aDuration;
    aScenario.StartCaller(caller);
  }
}

/// Guards against orders that are executed twice, and against a zone that stops serving, when an
/// entry VM is killed while the other VMs cannot coordinate through the store (G2, G4, G5).
TEST(Pairs, StoreOutageAndKill)
{
  TestDeploymentOptions options;
  options.m_entryVmsPerZone = 3;
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  StartCallers(*scenario, 3, std::chrono::seconds{ 4 });
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 50));
  ASSERT_TRUE(scenario->Deployment().ControlPlatform(R"({"outage":true})"));
  scenario->Deployment().FindProcess(kFailingVm)->Kill();
  EXPECT_TRUE(WaitForExecutedRequests(*scenario, 50)) << "the other VMs stopped serving";
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 150u);
  ExpectNoViolations(*scenario);
}

/// Guards against share units that two VMs use at the same time, or orders that are executed twice,
/// when a VM is paused while the VM list that the others rely on is out of date (G2, G5).
TEST(Pairs, PauseAndListLag)
{
  const auto scenario = StartTestDeployment(TestDeploymentOptions());
  ASSERT_TRUE(scenario);
  ASSERT_TRUE(scenario->Deployment().ControlPlatform(R"({"vm_list_lag_ms":2000})"));
  StartCallers(*scenario, 2, std::chrono::seconds{ 6 });
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 40));
  Process& process = *scenario->Deployment().FindProcess(kFailingVm);
  process.Pause();
  std::this_thread::sleep_for(kPauseDuration);
  process.Resume();
  EXPECT_TRUE(WaitFor([&] { return scenario->IsServing(kFailingVm); }, kTimeout));
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 100u);
  ExpectNoViolations(*scenario);
}

/// Guards against new requests to a leaving upstream when the entry VMs of its zone cannot read the
/// platform's VM list (G6).
TEST(Pairs, ZoneCutAndLeavingUpstream)
{
  TestDeploymentOptions options;
  options.m_links = true;
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  StartCallers(*scenario, 2, std::chrono::seconds{ 6 });
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 40));
  scenario->Deployment().Links().ToPlatform("r0-a").SetConditions({ true, {}, 0 });
  ASSERT_TRUE(scenario->Deployment().ControlUpstream(kLeavingUpstream, R"({"leaving":true})"));
  ASSERT_TRUE(scenario->Deployment().SetState(kLeavingUpstream, platform::VmState::Leaving));
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 200u);
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
