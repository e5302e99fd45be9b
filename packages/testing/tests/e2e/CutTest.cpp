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
constexpr std::chrono::seconds kConverge{ 3 };
constexpr std::chrono::seconds kCut{ 4 };

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

std::uint64_t ExecutedInZone(const Scenario& aScenario)
{
  return Executed(aScenario, "orders-svc-r0-a-0") + Executed(aScenario, "orders-svc-r0-a-1");
}

/// Guards against a zone that stops when it is alone, takes what others own, or brings old
/// settings back after the reunion (G2, G5, G8).
TEST(Cut, ZoneServesAloneAndConverges)
{
  SmallPlan plan;
  plan.m_regions = 2;
  plan.m_links = true;
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  for (unsigned i = 0; i < 2; ++i) {
    // A client block that is steered to the caller's own zone.
    const auto target =
      TargetOf(*scenario, fmt::format("{}-a-entry-0", RegionName(i)), RegionName(i));
    ASSERT_TRUE(target);
    CallerOptions caller = CallerOf(RegionName(i), i);
    caller.m_callerIp = target->m_caller;
    // Lookups of the other zone name addresses that lead over the links.
    for (const char* number : { "0", "1" }) {
      const std::string vm = fmt::format("{}-a-entry-{}", RegionName(i), number);
      caller.m_entries.push_back(deployment.FindVm(vm)->m_address);
    }
    caller.m_rate = 30;
    caller.m_orders = 1;
    caller.m_duration = std::chrono::seconds{ 9 };
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForWork(*scenario, 60));
  SetCut(deployment, true);
  Json::Value edit;
  edit["id"] = "during-cut";
  edit["path"] = "/";
  edit["key"] = "retry_attempts";
  edit["value"] = 3;
  edit["base_generation"] = 1;
  const auto reply = scenario->AdminPost("r1-a-entry-0", "/v1/edits", edit);
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->m_status, 200) << reply->m_body;
  const std::uint64_t before = ExecutedInZone(*scenario);
  std::this_thread::sleep_for(kCut);
  EXPECT_GT(ExecutedInZone(*scenario), before) << "the cut zone does not serve";
  EXPECT_EQ(GenerationOf(*scenario, "r0-a-entry-0"), 1u);
  SetCut(deployment, false);
  const auto vms = scenario->EntryVms();
  EXPECT_TRUE(WaitFor(
    [&] {
      return std::all_of(vms.begin(), vms.end(), [&](const std::string& aVm) {
        return GenerationOf(*scenario, aVm) == 2;
      });
    },
    kConverge));
  const auto& summaries = scenario->JoinCallers();
  for (const Json::Value& summary : summaries) {
    EXPECT_GT(summary["outcomes"]["completed"].asUInt(), 200u) << summary.toStyledString();
  }
  const auto outcomes = Outcomes(summaries);
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  for (const std::string& vm : vms) {
    EXPECT_EQ(GenerationOf(*scenario, vm), 2u) << vm;
  }
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
