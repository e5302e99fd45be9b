#include "Deployment.h"

#include "jaylane/testing/WaitFor.h"

namespace jaylane::testing {
namespace {

constexpr const char* kKilledVm = "r0-a-entry-0";
constexpr std::size_t kCallers = 3;

void StartMixedCallers(Scenario& aScenario, std::chrono::milliseconds aDuration)
{
  for (unsigned i = 0; i < kCallers; ++i) {
    CallerOptions caller = MakeCallerOptions("r0", 11 * i + 1);
    caller.m_rate = 40;
    caller.m_duration = aDuration;
    caller.m_reads = 3;
    caller.m_orders = 4;
    caller.m_uploads = 1;
    caller.m_uploadBytes = 300'000;
    caller.m_resendShare = 0.5;
    aScenario.StartCaller(caller);
  }
}

bool HasShareUnits(const Scenario& aScenario)
{
  return ShareUnitCount(
           aScenario, "r0-a", aScenario.Deployment().FindVm(kKilledVm)->m_incarnation) > 0;
}

/// Guards against orders that are executed twice, or whose outcome is reported wrongly, when the VM
/// that holds their keys is killed, and against other VMs that use the killed VM's slots too early
/// (G2, G3, G4, G5).
TEST(Kill, OrdersRunAtMostOnceAroundAKill)
{
  TestDeploymentOptions options;
  options.m_entryVmsPerZone = 3;
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  const auto steeredCaller = FindSteeredCaller(*scenario, kKilledVm, "r0");
  ASSERT_TRUE(steeredCaller);
  const std::string key = steeredCaller->m_scope + ".before-kill";
  EXPECT_EQ(SendOrder(*scenario, kKilledVm, key).m_status, 200);

  StartMixedCallers(*scenario, std::chrono::seconds{ 6 });
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 60));
  const std::string before = deployment.FindVm(kKilledVm)->m_incarnation;
  deployment.FindProcess(kKilledVm)->Kill();
  // The other VMs still list the killed VM for a moment and cannot forward the order to it. As the
  // order was executed, they must not report it as not run.
  for (const std::string& vm : scenario->EntryVms()) {
    if (vm != kKilledVm) {
      const SingleResponse response = SendOrder(*scenario, vm, key);
      EXPECT_EQ(response.m_outcome, "unknown") << vm << ": " << response.m_error;
    }
  }
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 60)) << "the other VMs stopped serving";
  ASSERT_TRUE(deployment.RestartEntry(kKilledVm));
  EXPECT_NE(deployment.FindVm(kKilledVm)->m_incarnation, before);
  EXPECT_TRUE(WaitFor([&] { return scenario->IsServing(kKilledVm); }, kTimeout));
  EXPECT_TRUE(WaitFor([&] { return HasShareUnits(*scenario); }, kTimeout))
    << "the new incarnation received no share units";
  for (const std::string& vm : scenario->EntryVms()) {
    const SingleResponse response = SendOrder(*scenario, vm, key);
    EXPECT_EQ(response.m_outcome, "unknown") << vm << ": " << response.m_error;
  }

  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 300u);
  EXPECT_GT(outcomes.at("resend-completed"), 50u);
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
