#include "Deployment.h"

namespace jaylane::testing {
namespace {

constexpr const char* kLeaver = "orders-svc-r0-a-0";
constexpr std::size_t kCallers = 2;

std::unique_ptr<Scenario> StartWithLoad()
{
  SmallPlan plan;
  plan.m_upstreamsPerZone = 3;
  auto scenario = StartSmall(plan);
  for (unsigned i = 0; scenario && i < kCallers; ++i) {
    CallerOptions caller = CallerOf("r0", 5 * i + 1);
    caller.m_rate = 60;
    caller.m_orders = 1;
    caller.m_duration = std::chrono::seconds{ 6 };
    scenario->StartCaller(caller);
  }
  return scenario;
}

/// The rule that new requests end at most 2 s after the signal is checked with the history. The
/// load must go on for longer, or the rule could not be broken.
void ExpectLeft(Scenario& aScenario)
{
  EXPECT_GT(Executed(aScenario, kLeaver), 0u);
  const auto outcomes = Outcomes(aScenario.JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 500u);
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  ExpectClean(aScenario);
}

/// Guards against VMs that trust a wrong /health more than the platform's list (G6).
TEST(Leaving, SignalledByTheListOnly)
{
  const auto scenario = StartWithLoad();
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  ASSERT_TRUE(deployment.ControlPlatform(R"({"vm_list_lag_ms":1000})"));
  ASSERT_TRUE(WaitForWork(*scenario, 100));
  // The switch only marks the time in the upstream's record; its /health stays wrong.
  ASSERT_TRUE(deployment.ControlUpstream(kLeaver, R"({"leaving":true,"health":"active"})"));
  ASSERT_TRUE(deployment.SetState(kLeaver, platform::VmState::Leaving));
  ExpectLeft(*scenario);
}

/// Guards against VMs that wait for the platform's list, which lags for longer than the load
/// lasts (G6).
TEST(Leaving, SignalledByHealthOnly)
{
  const auto scenario = StartWithLoad();
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  ASSERT_TRUE(WaitForWork(*scenario, 100));
  ASSERT_TRUE(deployment.ControlPlatform(R"({"vm_list_lag_ms":60000})"));
  ASSERT_TRUE(deployment.ControlUpstream(kLeaver, R"({"leaving":true})"));
  ASSERT_TRUE(deployment.SetState(kLeaver, platform::VmState::Leaving));
  ExpectLeft(*scenario);
}

} // namespace
} // namespace jaylane::testing
