#include "Deployment.h"

#include "jaylane/platform/HttpStore.h"
#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <fmt/format.h>
#include <thread>

namespace jaylane::testing {
namespace {

constexpr const char* kCutZone = "r0-a";
constexpr const char* kOtherZone = "r1-a";
constexpr std::chrono::seconds kConvergenceTimeout{ 3 };
constexpr std::chrono::seconds kCutDuration{ 4 };

void SetCut(DeploymentHarness& aDeployment, bool aCut)
{
  const LinkConditions switches{ aCut, {}, 0 };
  aDeployment.Links().Between(kCutZone, kOtherZone).SetConditions(switches);
  aDeployment.Links().Between(kOtherZone, kCutZone).SetConditions(switches);
  aDeployment.Links().ToPlatform(kCutZone).SetConditions(switches);
}

std::uint64_t GenerationOf(const Scenario& aScenario, const std::string& aVm)
{
  const auto status = aScenario.AdminGet(aVm, "/v1/status");
  return status ? (*status)["generation"].asUInt64() : 0;
}

std::uint64_t ExecutedRequestsInCutZone(const Scenario& aScenario)
{
  return ExecutedRequests(aScenario, "orders-svc-r0-a-0") +
         ExecutedRequests(aScenario, "orders-svc-r0-a-1");
}

/// Guards against a zone that, cut off from the other zones and the platform, stops serving or
/// takes over what other VMs own, or that brings back old settings when the links work again (G2,
/// G5, G8).
TEST(Cut, ZoneServesAloneAndConverges)
{
  TestDeploymentOptions options;
  options.m_regions = 2;
  options.m_links = true;
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  for (unsigned i = 0; i < 2; ++i) {
    // Use a client block that is steered to the caller's own zone.
    const auto steeredCaller =
      FindSteeredCaller(*scenario, fmt::format("{}-a-entry-0", RegionName(i)), RegionName(i));
    ASSERT_TRUE(steeredCaller);
    CallerOptions caller = MakeCallerOptions(RegionName(i), i);
    caller.m_callerIp = steeredCaller->m_address;
    // The caller only asks the VMs of its own zone: lookups at the other zone return addresses that
    // lead over the cut links.
    for (const char* number : { "0", "1" }) {
      const std::string vm = fmt::format("{}-a-entry-{}", RegionName(i), number);
      caller.m_entries.push_back(deployment.FindVm(vm)->m_address);
    }
    caller.m_rate = 30;
    caller.m_orders = 1;
    caller.m_duration = std::chrono::seconds{ 9 };
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 60));
  SetCut(deployment, true);
  Json::Value edit;
  edit["id"] = "during-cut";
  edit["path"] = "/";
  edit["key"] = "retry_attempts";
  edit["value"] = 3;
  edit["base_generation"] = 1;
  const auto response = scenario->AdminPost("r1-a-entry-0", "/v1/edits", edit);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->m_status, 200) << response->m_body;
  const std::uint64_t before = ExecutedRequestsInCutZone(*scenario);
  std::this_thread::sleep_for(kCutDuration);
  EXPECT_GT(ExecutedRequestsInCutZone(*scenario), before) << "the cut-off zone stopped serving";
  EXPECT_EQ(GenerationOf(*scenario, "r0-a-entry-0"), 1u);
  SetCut(deployment, false);
  const auto vms = scenario->EntryVms();
  EXPECT_TRUE(WaitFor(
    [&] {
      return std::all_of(vms.begin(), vms.end(), [&](const std::string& aVm) {
        return GenerationOf(*scenario, aVm) == 2;
      });
    },
    kConvergenceTimeout));
  const auto& summaries = scenario->JoinCallers();
  for (const Json::Value& summary : summaries) {
    EXPECT_GT(summary["outcomes"]["completed"].asUInt(), 200u) << summary.toStyledString();
  }
  const auto outcomes = SumOutcomes(summaries);
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  for (const std::string& vm : vms) {
    EXPECT_EQ(GenerationOf(*scenario, vm), 2u) << vm;
  }
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
