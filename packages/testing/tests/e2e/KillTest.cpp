#include "Deployment.h"

#include "jaylane/testing/WaitFor.h"

namespace jaylane::testing {
namespace {

constexpr const char* kVictim = "r0-a-entry-0";
constexpr std::size_t kCallers = 3;

void StartMixedCallers(Scenario& aScenario, std::chrono::milliseconds aDuration)
{
  for (unsigned i = 0; i < kCallers; ++i) {
    CallerOptions caller = CallerOf("r0", 11 * i + 1);
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

bool HasUnits(const Scenario& aScenario)
{
  return UnitsOf(aScenario, "r0-a", aScenario.Deployment().FindVm(kVictim)->m_incarnation) > 0;
}

/// Guards against orders that run twice or are wrongly reported when the VM that remembers their
/// keys is gone, and against slots of a dead VM that others use too early (G2, G3, G4, G5).
TEST(Kill, OrdersRunAtMostOnceAroundAKill)
{
  SmallPlan plan;
  plan.m_entryVmsPerZone = 3;
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  const auto target = TargetOf(*scenario, kVictim, "r0");
  ASSERT_TRUE(target);
  const std::string key = target->m_scope + ".before-kill";
  EXPECT_EQ(SendOrder(*scenario, kVictim, key).m_status, 200);

  StartMixedCallers(*scenario, std::chrono::seconds{ 6 });
  ASSERT_TRUE(WaitForWork(*scenario, 60));
  const std::string before = deployment.FindVm(kVictim)->m_incarnation;
  deployment.FindProcess(kVictim)->Kill();
  // The others still list the VM for a moment; the request that they cannot forward to it has run.
  for (const std::string& vm : scenario->EntryVms()) {
    if (vm != kVictim) {
      const SingleReply reply = SendOrder(*scenario, vm, key);
      EXPECT_EQ(reply.m_outcome, "unknown") << vm << ": " << reply.m_error;
    }
  }
  ASSERT_TRUE(WaitForWork(*scenario, 60)) << "the others do not go on";
  ASSERT_TRUE(deployment.RestartEntry(kVictim));
  EXPECT_NE(deployment.FindVm(kVictim)->m_incarnation, before);
  EXPECT_TRUE(WaitFor([&] { return scenario->IsServing(kVictim); }, kTimeout));
  EXPECT_TRUE(WaitFor([&] { return HasUnits(*scenario); }, kTimeout))
    << "the new incarnation received no share units";
  for (const std::string& vm : scenario->EntryVms()) {
    const SingleReply reply = SendOrder(*scenario, vm, key);
    EXPECT_EQ(reply.m_outcome, "unknown") << vm << ": " << reply.m_error;
  }

  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 300u);
  EXPECT_GT(outcomes.at("resend-completed"), 50u);
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
