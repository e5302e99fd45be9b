#include "Deployment.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>

namespace jaylane::testing {
namespace {

constexpr const char* kFirstVm = "r0-a-entry-0";
constexpr const char* kSecondVm = "r0-a-entry-1";
constexpr std::chrono::seconds kEditTimeout{ 3 };

Json::Value MakeEdit(const Scenario& aScenario,
                     const std::string& aId,
                     const std::string& aKey,
                     const Json::Value& aValue)
{
  const auto status = aScenario.AdminGet(kFirstVm, "/v1/status");
  Json::Value edit;
  edit["id"] = aId;
  edit["path"] = "/";
  edit["key"] = aKey;
  edit["value"] = aValue;
  edit["base_generation"] = status ? (*status)["generation"] : Json::Value(1);
  return edit;
}

Json::Value ParseBody(const std::optional<HttpClientResponse>& aResponse)
{
  return aResponse ? platform::ParseJsonObject(aResponse->m_body).value_or(Json::Value())
                   : Json::Value();
}

long StatusOf(const std::optional<HttpClientResponse>& aResponse)
{
  return aResponse ? aResponse->m_status : 0;
}

/// Waits until the lookups of all VMs return the lifetime.
/// @return false after kEditTimeout.
bool WaitForLookupLifetime(const Scenario& aScenario, unsigned aLifetimeMillis)
{
  const auto vms = aScenario.EntryVms();
  return WaitFor(
    [&] {
      return std::all_of(vms.begin(), vms.end(), [&](const std::string& aVm) {
        const auto response = HttpGet(fmt::format("http://{}/v1/lookup?service={}&caller={}",
                                                  aScenario.Deployment().FindVm(aVm)->m_address,
                                                  kService,
                                                  CallerAddress("r0", 1)),
                                      kTimeout);
        return ParseBody(response)["lifetime_ms"].asUInt() == aLifetimeMillis;
      });
    },
    kEditTimeout);
}

/// Waits until the effective settings of the region have the value at all VMs.
/// @return false after kEditTimeout.
bool WaitForEffectiveValue(const Scenario& aScenario, const std::string& aKey, unsigned aValue)
{
  const auto vms = aScenario.EntryVms();
  return WaitFor(
    [&] {
      return std::all_of(vms.begin(), vms.end(), [&](const std::string& aVm) {
        const auto effective = aScenario.AdminGet(aVm, "/v1/settings/effective?path=/r0");
        return effective && (*effective)["settings"][aKey]["value"].asUInt() == aValue;
      });
    },
    kEditTimeout);
}

std::unique_ptr<Scenario> StartWithCallers(std::chrono::milliseconds aDuration)
{
  TestDeploymentOptions options;
  auto scenario = StartTestDeployment(options);
  if (scenario) {
    CallerOptions caller = MakeCallerOptions("r0", 1);
    caller.m_rate = 40;
    caller.m_orders = 1;
    caller.m_duration = aDuration;
    scenario->StartCaller(caller);
  }
  return scenario;
}

/// Guards against requests that fail without the store, edits that are reported as accepted during
/// an outage, and edits after it that do not reach all VMs (G4, G8).
TEST(Store, OutageStopsEditsButNoRequests)
{
  const auto scenario = StartWithCallers(std::chrono::seconds{ 5 });
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  ASSERT_TRUE(deployment.ControlPlatform(R"({"outage":true})"));
  const auto refused = scenario->AdminPost(
    kFirstVm, "/v1/edits", MakeEdit(*scenario, "e-1", "lookup_lifetime_ms", 400));
  EXPECT_EQ(StatusOf(refused), 503);
  EXPECT_EQ(ParseBody(refused)["error"]["code"].asString(), "store-unavailable");
  // A key without a scope has to be claimed in the store.
  const SingleResponse unscoped = SendOrder(*scenario, kFirstVm, "key-without-scope-1");
  EXPECT_EQ(unscoped.m_outcome, "not-run");
  EXPECT_EQ(unscoped.m_error, "store-unavailable");
  EXPECT_TRUE(WaitForExecutedRequests(*scenario, 50))
    << "requests are not served during the store outage";

  ASSERT_TRUE(deployment.ControlPlatform(R"({"outage":false})"));
  const auto accepted = scenario->AdminPost(
    kFirstVm, "/v1/edits", MakeEdit(*scenario, "e-2", "lookup_lifetime_ms", 400));
  EXPECT_EQ(StatusOf(accepted), 200);
  EXPECT_TRUE(WaitForLookupLifetime(*scenario, 400));
  EXPECT_EQ(SendOrder(*scenario, kSecondVm, "key-without-scope-2").m_status, 200);
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  EXPECT_GT(outcomes.at("completed"), 150u);
  ExpectNoViolations(*scenario);
}

/// Guards against requests that wait for a slow store, and against an edit that is applied twice
/// or reported as rejected because the response to the store write was lost (G8).
TEST(Store, SlowStoreAndLostResponse)
{
  const auto scenario = StartWithCallers(std::chrono::seconds{ 3 });
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  ASSERT_TRUE(deployment.ControlPlatform(R"({"slow_ms":1500})"));
  EXPECT_TRUE(WaitForExecutedRequests(*scenario, 50)) << "requests wait for the store";
  ASSERT_TRUE(deployment.ControlPlatform(R"({"slow_ms":0,"lose_responses":1})"));
  const auto response = scenario->AdminPost(
    kFirstVm, "/v1/edits", MakeEdit(*scenario, "e-1", "lookup_lifetime_ms", 300));
  EXPECT_EQ(StatusOf(response), 200) << (response ? response->m_body : "");
  EXPECT_TRUE(WaitForLookupLifetime(*scenario, 300));
  const auto history = scenario->AdminGet(kSecondVm, "/v1/history");
  ASSERT_TRUE(history);
  const Json::Value& edits = (*history)["history"];
  EXPECT_EQ(std::count_if(edits.begin(),
                          edits.end(),
                          [](const Json::Value& aEdit) { return aEdit["id"].asString() == "e-1"; }),
            1);
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  ExpectNoViolations(*scenario);
}

/// Guards against lost updates when operators send edits at the same time, and against a conflict
/// that does not tell the rejected operator which value was accepted (G8).
TEST(Store, RacingOperators)
{
  TestDeploymentOptions options;
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  const auto sendTogether = [&](const Json::Value& aLeft, const Json::Value& aRight) {
    auto left = std::async(std::launch::async,
                           [&] { return scenario->AdminPost(kFirstVm, "/v1/edits", aLeft); });
    auto right = scenario->AdminPost(kSecondVm, "/v1/edits", aRight);
    return std::pair(left.get(), right);
  };
  const auto same = sendTogether(MakeEdit(*scenario, "a-1", "lookup_lifetime_ms", 300),
                                 MakeEdit(*scenario, "b-1", "lookup_lifetime_ms", 350));
  const bool leftWon = StatusOf(same.first) == 200;
  const auto& loser = leftWon ? same.second : same.first;
  EXPECT_EQ(StatusOf(leftWon ? same.first : same.second), 200);
  EXPECT_EQ(StatusOf(loser), 409);
  const Json::Value error = ParseBody(loser)["error"];
  EXPECT_EQ(error["code"].asString(), "conflict");
  EXPECT_EQ(error["yours"].asUInt(), leftWon ? 350u : 300u);
  EXPECT_EQ(error["theirs"].asUInt(), leftWon ? 300u : 350u);
  EXPECT_TRUE(WaitForLookupLifetime(*scenario, leftWon ? 300 : 350));

  const auto different = sendTogether(MakeEdit(*scenario, "a-2", "lookup_lifetime_ms", 250),
                                      MakeEdit(*scenario, "b-2", "retry_attempts", 3));
  EXPECT_EQ(StatusOf(different.first), 200) << (different.first ? different.first->m_body : "");
  EXPECT_EQ(StatusOf(different.second), 200) << (different.second ? different.second->m_body : "");
  EXPECT_TRUE(WaitForLookupLifetime(*scenario, 250));
  EXPECT_TRUE(WaitForEffectiveValue(*scenario, "retry_attempts", 3)) << "one of the edits was lost";
  EXPECT_TRUE(WaitForLookupLifetime(*scenario, 250)) << "the other edit reverted this one";
}

} // namespace
} // namespace jaylane::testing
