#include "Deployment.h"

#include "jaylane/testing/LinkRelay.h"
#include "jaylane/testing/ResponsePattern.h"
#include "jaylane/testing/WaitFor.h"

#include <fmt/format.h>
#include <future>
#include <sys/wait.h>
#include <xxhash.h>

namespace jaylane::testing {
namespace {

constexpr const char* kStoppedVm = "r0-a-entry-0";
constexpr std::uint64_t kBytesPerSecond = 150'000;
constexpr std::size_t kUploadBytes = 700'000;
constexpr std::size_t kResponseBytes = 2000;
constexpr std::size_t kCallers = 3;

/// Uploads a long body.
/// @return whether the response is complete and belongs to this upload.
bool SendLongUpload(const std::string& aAddress)
{
  std::string body(kUploadBytes, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = PatternByte(7, i);
  }
  const auto response =
    HttpPost(fmt::format("http://{}/s/{}/upload/long?bytes={}", aAddress, kService, kResponseBytes),
             body,
             2 * kTimeout,
             { "Jaylane-Idempotent: true",
               "Jaylane-Caller: " + CallerAddress("r0", 1),
               "X-Test-Id: long-upload",
               "X-Test-Kind: upload" });
  const ResponsePattern pattern(
    "POST", "/upload/long", XXH64(body.data(), body.size(), 0), kResponseBytes);
  EXPECT_TRUE(response) << "the upload's connection was cut off";
  EXPECT_EQ(response ? response->m_status : 0, 200) << (response ? response->m_body : "");
  return response && response->m_body.size() == pattern.size() &&
         pattern.Matches(0, response->m_body.data(), response->m_body.size());
}

void StartCallers(Scenario& aScenario, std::chrono::milliseconds aDuration)
{
  for (unsigned i = 0; i < kCallers; ++i) {
    CallerOptions caller = MakeCallerOptions("r0", 7 * i + 1);
    caller.m_rate = 15;
    caller.m_duration = aDuration;
    caller.m_orders = 3;
    caller.m_resendShare = 0.2;
    aScenario.StartCaller(caller);
  }
}

/// Checks that no attempt was cut off. Failures to connect are allowed: nothing was sent.
void ExpectNoAttemptCutOff(Scenario& aScenario)
{
  constexpr int kCurlCouldNotConnect = 7;
  for (const Json::Value& attempt : ReadAttempts(aScenario, kCallers)) {
    const int transport = attempt["transport"].asInt();
    EXPECT_TRUE(transport == 0 || transport == kCurlCouldNotConnect) << attempt.toStyledString();
  }
}

/// Guards against a graceful shutdown of an entry VM that cuts off an upload or orders in flight,
/// loses the keys of executed orders instead of handing them over, or keeps its share units (G3,
/// G5, G7).
TEST(Stop, LongUploadEndsAndKeysAreHandedOver)
{
  TestDeploymentOptions options;
  options.m_entryVmsPerZone = 3;
  options.m_serviceTime = std::chrono::milliseconds{ 60 };
  options.m_requestTimeout = std::chrono::seconds{ 8 };
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  const std::string incarnation = deployment.FindVm(kStoppedVm)->m_incarnation;
  const auto steeredCaller = FindSteeredCaller(*scenario, kStoppedVm, "r0");
  ASSERT_TRUE(steeredCaller);
  std::vector<std::string> keys;
  for (int i = 0; i < 4; ++i) {
    keys.push_back(fmt::format("{}.stop-{}", steeredCaller->m_scope, i));
    EXPECT_EQ(SendOrder(*scenario, kStoppedVm, keys.back()).m_status, 200);
  }
  const auto relay = LinkRelay::Make("127.0.0.1");
  ASSERT_TRUE(relay);
  (*relay)->SetConditions({ false, {}, kBytesPerSecond });
  const auto route = (*relay)->AddRoute(deployment.FindVm(kStoppedVm)->m_address);
  ASSERT_TRUE(route);
  StartCallers(*scenario, std::chrono::seconds{ 7 });
  auto upload = std::async(std::launch::async, [&] { return SendLongUpload(*route); });
  ASSERT_TRUE(WaitFor([&] { return (*relay)->Stats().m_bytes > 100'000; }, kTimeout));
  ASSERT_GT(ShareUnitCount(*scenario, "r0-a", incarnation), 0u);

  Process& process = *deployment.FindProcess(kStoppedVm);
  process.Terminate();
  const auto status = process.Wait(2 * kTimeout);
  ASSERT_TRUE(status);
  EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 0) << *status;
  ASSERT_EQ(upload.wait_for(std::chrono::seconds{ 1 }), std::future_status::ready);
  EXPECT_TRUE(upload.get());
  EXPECT_EQ(ShareUnitCount(*scenario, "r0-a", incarnation), 0u) << "share units were not donated";
  ASSERT_TRUE(deployment.Unregister(kStoppedVm));

  for (const std::string& key : keys) {
    for (const std::string vm : { "r0-a-entry-1", "r0-a-entry-2" }) {
      SingleResponse response;
      EXPECT_TRUE(WaitFor(
        [&] {
          response = SendOrder(*scenario, vm, key);
          return response.m_status == 409 && response.m_outcome == "completed";
        },
        std::chrono::seconds{ 5 }))
        << vm << " responded " << response.m_status << ' ' << response.m_outcome << ' '
        << response.m_error;
    }
  }
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  EXPECT_GT(outcomes.at("completed"), 200u);
  ExpectNoAttemptCutOff(*scenario);
  ExpectNoViolations(*scenario);
}

/// Guards against entry VMs that are offered to callers before they may use slots: each new VM of a
/// rolling replacement receives its share units only after others have donated them. Requests that
/// may take longer than a lease cannot use borrowed slots either.
TEST(Stop, RollingReplacementRejectsNothing)
{
  TestDeploymentOptions options;
  options.m_entryVmsPerZone = 3;
  options.m_requestTimeout = std::chrono::seconds{ 60 };
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  StartCallers(*scenario, std::chrono::seconds{ 20 });
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 30));
  // The last VM stays, since the callers look up the service at the addresses of the first VMs.
  for (const std::string vm : { "r0-a-entry-0", "r0-a-entry-1" }) {
    Process& process = *deployment.FindProcess(vm);
    process.Terminate();
    const auto status = process.Wait(2 * kTimeout);
    ASSERT_TRUE(status);
    EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 0) << *status;
    ASSERT_TRUE(deployment.RestartEntry(vm));
    const std::string& incarnation = deployment.FindVm(vm)->m_incarnation;
    EXPECT_TRUE(
      WaitFor([&] { return ShareUnitCount(*scenario, "r0-a", incarnation) > 0; }, 2 * kTimeout));
  }
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  EXPECT_EQ(outcomes.count("not-run"), 0u);
  EXPECT_EQ(CountErrors(*scenario, kCallers, "overloaded"), 0u);
  ExpectNoAttemptCutOff(*scenario);
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
