#include "Deployment.h"

namespace jaylane::testing {
namespace {

constexpr const char* kFaultyUpstream = "orders-svc-r0-a-0";

/// Guards against a truncated response, or the response to another attempt, that a caller receives
/// as complete or as its own, against orders that are executed again after a faulty upstream failed
/// to respond to them, and against wrong load reports that overload upstreams (G2, G3, G4, G5).
TEST(Faulty, ResponsesStayWholeAndOwn)
{
  TestDeploymentOptions options;
  options.m_upstreamsPerZone = 3;
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  for (unsigned i = 0; i < 2; ++i) {
    CallerOptions caller = MakeCallerOptions("r0", i);
    caller.m_rate = 60;
    caller.m_orders = 1;
    caller.m_resendShare = 0.3;
    caller.m_responseBytes = 100'000;
    caller.m_duration = std::chrono::seconds{ 5 };
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 60));
  ASSERT_TRUE(deployment.ControlUpstream(
    kFaultyUpstream, R"({"close_next":4,"truncate_next":4,"wrong_attempt_next":12})"));
  ASSERT_TRUE(deployment.ControlUpstream("orders-svc-r0-a-1", R"({"load_error":50})"));
  ASSERT_TRUE(
    deployment.ControlUpstream("orders-svc-r0-a-2", R"({"load_error":-50,"load_lag_ms":3000})"));
  EXPECT_TRUE(WaitForExecutedRequests(*scenario, 100));
  const auto& summaries = scenario->JoinCallers();
  const auto outcomes = SumOutcomes(summaries);
  EXPECT_GT(outcomes.at("completed"), 450u);
  EXPECT_GT(outcomes.at("unknown"), 0u) << "the upstream injected no fault";
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
