#include "Deployment.h"

namespace jaylane::testing {
namespace {

constexpr const char* kFaulty = "orders-svc-r0-a-0";

/// Guards against responses of a faulty upstream that reach a caller as whole or as its own, a
/// second run of orders that were lost there, and load reports that overload upstreams
/// (G2, G3, G4, G5).
TEST(Faulty, ResponsesStayWholeAndOwn)
{
  SmallPlan plan;
  plan.m_upstreamsPerZone = 3;
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  for (unsigned i = 0; i < 2; ++i) {
    CallerOptions caller = CallerOf("r0", i);
    caller.m_rate = 60;
    caller.m_orders = 1;
    caller.m_resendShare = 0.3;
    caller.m_responseBytes = 100'000;
    caller.m_duration = std::chrono::seconds{ 5 };
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForWork(*scenario, 60));
  ASSERT_TRUE(deployment.ControlUpstream(
    kFaulty, R"({"close_next":4,"truncate_next":4,"wrong_attempt_next":12})"));
  ASSERT_TRUE(deployment.ControlUpstream("orders-svc-r0-a-1", R"({"load_error":50})"));
  ASSERT_TRUE(
    deployment.ControlUpstream("orders-svc-r0-a-2", R"({"load_error":-50,"load_lag_ms":3000})"));
  EXPECT_TRUE(WaitForWork(*scenario, 100));
  const auto& summaries = scenario->JoinCallers();
  const auto outcomes = Outcomes(summaries);
  EXPECT_GT(outcomes.at("completed"), 450u);
  EXPECT_GT(outcomes.at("unknown"), 0u) << "no fault took place";
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
