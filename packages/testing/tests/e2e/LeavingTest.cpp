#include "Deployment.h"

namespace jaylane::testing {
namespace {

constexpr const char* kLeavingUpstream = "orders-svc-r0-a-0";
constexpr std::size_t kCallers = 2;

std::unique_ptr<Scenario> StartWithCallers()
{
  TestDeploymentOptions options;
  options.m_upstreamsPerZone = 3;
  auto scenario = StartTestDeployment(options);
  for (unsigned i = 0; scenario && i < kCallers; ++i) {
    CallerOptions caller = MakeCallerOptions("r0", 5 * i + 1);
    caller.m_rate = 60;
    caller.m_orders = 1;
    caller.m_duration = std::chrono::seconds{ 6 };
    scenario->StartCaller(caller);
  }
  return scenario;
}

/// Checks with the history that the upstream receives no new requests later than 2 s after the
/// leaving signal. The callers must send for longer than that, or the check could not fail.
void ExpectNoRequestsAfterLeaving(Scenario& aScenario)
{
  EXPECT_GT(ExecutedRequests(aScenario, kLeavingUpstream), 0u);
  const auto outcomes = SumOutcomes(aScenario.JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 500u);
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  ExpectNoViolations(aScenario);
}

/// Guards against entry VMs that keep using a leaving upstream because its /health still reports
/// it as active, although the platform's VM list says that it leaves (G6).
TEST(Leaving, SignalledByTheListOnly)
{
  const auto scenario = StartWithCallers();
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  ASSERT_TRUE(deployment.ControlPlatform(R"({"vm_list_lag_ms":1000})"));
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 100));
  // "leaving" only records the time of the signal in the upstream's record file, as "health" keeps
  // /health at "active".
  ASSERT_TRUE(
    deployment.ControlUpstream(kLeavingUpstream, R"({"leaving":true,"health":"active"})"));
  ASSERT_TRUE(deployment.SetState(kLeavingUpstream, platform::VmState::Leaving));
  ExpectNoRequestsAfterLeaving(*scenario);
}

/// Guards against entry VMs that ignore a leaving signal in /health and wait for the platform's VM
/// list, which here lags for longer than the callers send (G6).
TEST(Leaving, SignalledByHealthOnly)
{
  const auto scenario = StartWithCallers();
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 100));
  ASSERT_TRUE(deployment.ControlPlatform(R"({"vm_list_lag_ms":60000})"));
  ASSERT_TRUE(deployment.ControlUpstream(kLeavingUpstream, R"({"leaving":true})"));
  ASSERT_TRUE(deployment.SetState(kLeavingUpstream, platform::VmState::Leaving));
  ExpectNoRequestsAfterLeaving(*scenario);
}

} // namespace
} // namespace jaylane::testing
