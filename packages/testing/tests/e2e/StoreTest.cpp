#include "Deployment.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>

namespace jaylane::testing {
namespace {

constexpr const char* kFirst = "r0-a-entry-0";
constexpr const char* kSecond = "r0-a-entry-1";
constexpr std::chrono::seconds kTakeEffect{ 3 };

Json::Value MakeEdit(const Scenario& aScenario,
                     const std::string& aId,
                     const std::string& aKey,
                     const Json::Value& aValue)
{
  const auto status = aScenario.AdminGet(kFirst, "/v1/status");
  Json::Value edit;
  edit["id"] = aId;
  edit["path"] = "/";
  edit["key"] = aKey;
  edit["value"] = aValue;
  edit["base_generation"] = status ? (*status)["generation"] : Json::Value(1);
  return edit;
}

Json::Value BodyOf(const std::optional<HttpClientResponse>& aReply)
{
  return aReply ? platform::ParseJsonObject(aReply->m_body).value_or(Json::Value()) : Json::Value();
}

long StatusOf(const std::optional<HttpClientResponse>& aReply)
{
  return aReply ? aReply->m_status : 0;
}

/// @return whether lookups at all VMs have the lifetime in time.
bool TakesEffect(const Scenario& aScenario, unsigned aLifetimeMillis)
{
  const auto vms = aScenario.EntryVms();
  return WaitFor(
    [&] {
      return std::all_of(vms.begin(), vms.end(), [&](const std::string& aVm) {
        const auto reply = HttpGet(fmt::format("http://{}/v1/lookup?service={}&caller={}",
                                               aScenario.Deployment().FindVm(aVm)->m_address,
                                               kService,
                                               CallerAddress("r0", 1)),
                                   kTimeout);
        return BodyOf(reply)["lifetime_ms"].asUInt() == aLifetimeMillis;
      });
    },
    kTakeEffect);
}

/// @return whether the settings of the region have the value at all VMs in time.
bool HasEffectiveValue(const Scenario& aScenario, const std::string& aKey, unsigned aValue)
{
  const auto vms = aScenario.EntryVms();
  return WaitFor(
    [&] {
      return std::all_of(vms.begin(), vms.end(), [&](const std::string& aVm) {
        const auto effective = aScenario.AdminGet(aVm, "/v1/settings/effective?path=/r0");
        return effective && (*effective)["settings"][aKey]["value"].asUInt() == aValue;
      });
    },
    kTakeEffect);
}

std::unique_ptr<Scenario> StartWithLoad(std::chrono::milliseconds aDuration)
{
  SmallPlan plan;
  auto scenario = StartSmall(plan);
  if (scenario) {
    CallerOptions caller = CallerOf("r0", 1);
    caller.m_rate = 40;
    caller.m_orders = 1;
    caller.m_duration = aDuration;
    scenario->StartCaller(caller);
  }
  return scenario;
}

/// Guards against requests that need the store, edits that seem to succeed during an outage, and
/// settings that do not reach all VMs after it (G4, G8).
TEST(Store, OutageStopsEditsButNoRequests)
{
  const auto scenario = StartWithLoad(std::chrono::seconds{ 5 });
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  ASSERT_TRUE(deployment.ControlPlatform(R"({"outage":true})"));
  const auto refused =
    scenario->AdminPost(kFirst, "/v1/edits", MakeEdit(*scenario, "e-1", "lookup_lifetime_ms", 400));
  EXPECT_EQ(StatusOf(refused), 503);
  EXPECT_EQ(BodyOf(refused)["error"]["code"].asString(), "store-unavailable");
  const SingleReply claimed = SendOrder(*scenario, kFirst, "key-without-scope-1");
  EXPECT_EQ(claimed.m_outcome, "not-run");
  EXPECT_EQ(claimed.m_error, "store-unavailable");
  EXPECT_TRUE(WaitForWork(*scenario, 50)) << "requests stop during the outage";

  ASSERT_TRUE(deployment.ControlPlatform(R"({"outage":false})"));
  const auto accepted =
    scenario->AdminPost(kFirst, "/v1/edits", MakeEdit(*scenario, "e-2", "lookup_lifetime_ms", 400));
  EXPECT_EQ(StatusOf(accepted), 200);
  EXPECT_TRUE(TakesEffect(*scenario, 400));
  EXPECT_EQ(SendOrder(*scenario, kSecond, "key-without-scope-2").m_status, 200);
  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  EXPECT_GT(outcomes.at("completed"), 150u);
  ExpectClean(*scenario);
}

/// Guards against requests that wait for a slow store, and against an edit that is applied twice
/// or reported as rejected because the response of the write was lost (G8).
TEST(Store, SlowStoreAndLostResponse)
{
  const auto scenario = StartWithLoad(std::chrono::seconds{ 3 });
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  ASSERT_TRUE(deployment.ControlPlatform(R"({"slow_ms":1500})"));
  EXPECT_TRUE(WaitForWork(*scenario, 50)) << "requests wait for the store";
  ASSERT_TRUE(deployment.ControlPlatform(R"({"slow_ms":0,"lose_responses":1})"));
  const auto reply =
    scenario->AdminPost(kFirst, "/v1/edits", MakeEdit(*scenario, "e-1", "lookup_lifetime_ms", 300));
  EXPECT_EQ(StatusOf(reply), 200) << (reply ? reply->m_body : "");
  EXPECT_TRUE(TakesEffect(*scenario, 300));
  const auto history = scenario->AdminGet(kSecond, "/v1/history");
  ASSERT_TRUE(history);
  const Json::Value& edits = (*history)["history"];
  EXPECT_EQ(std::count_if(edits.begin(),
                          edits.end(),
                          [](const Json::Value& aEdit) { return aEdit["id"].asString() == "e-1"; }),
            1);
  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  ExpectClean(*scenario);
}

/// Guards against lost updates and against a loser who does not learn what won (G8).
TEST(Store, RacingOperators)
{
  SmallPlan plan;
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  const auto race = [&](const Json::Value& aLeft, const Json::Value& aRight) {
    auto left = std::async(std::launch::async,
                           [&] { return scenario->AdminPost(kFirst, "/v1/edits", aLeft); });
    auto right = scenario->AdminPost(kSecond, "/v1/edits", aRight);
    return std::pair(left.get(), right);
  };
  const auto same = race(MakeEdit(*scenario, "a-1", "lookup_lifetime_ms", 300),
                         MakeEdit(*scenario, "b-1", "lookup_lifetime_ms", 350));
  const bool leftWon = StatusOf(same.first) == 200;
  const auto& loser = leftWon ? same.second : same.first;
  EXPECT_EQ(StatusOf(leftWon ? same.first : same.second), 200);
  EXPECT_EQ(StatusOf(loser), 409);
  const Json::Value error = BodyOf(loser)["error"];
  EXPECT_EQ(error["code"].asString(), "conflict");
  EXPECT_EQ(error["yours"].asUInt(), leftWon ? 350u : 300u);
  EXPECT_EQ(error["theirs"].asUInt(), leftWon ? 300u : 350u);
  EXPECT_TRUE(TakesEffect(*scenario, leftWon ? 300 : 350));

  const auto different = race(MakeEdit(*scenario, "a-2", "lookup_lifetime_ms", 250),
                              MakeEdit(*scenario, "b-2", "retry_attempts", 3));
  EXPECT_EQ(StatusOf(different.first), 200) << (different.first ? different.first->m_body : "");
  EXPECT_EQ(StatusOf(different.second), 200) << (different.second ? different.second->m_body : "");
  EXPECT_TRUE(TakesEffect(*scenario, 250));
  EXPECT_TRUE(HasEffectiveValue(*scenario, "retry_attempts", 3)) << "one of the edits is lost";
  EXPECT_TRUE(TakesEffect(*scenario, 250)) << "the other edit reverted this one";
}

} // namespace
} // namespace jaylane::testing
