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

constexpr const char* kLeaver = "r0-a-entry-0";
constexpr std::uint64_t kBytesPerSecond = 150'000;
constexpr std::size_t kUploadBytes = 700'000;
constexpr std::size_t kPayloadBytes = 2000;
constexpr std::size_t kCallers = 3;

/// @return whether the upload got its own whole response.
bool Upload(const std::string& aAddress)
{
  std::string body(kUploadBytes, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = PatternByte(7, i);
  }
  const auto reply =
    HttpPost(fmt::format("http://{}/s/{}/upload/long?bytes={}", aAddress, kService, kPayloadBytes),
             body,
             2 * kTimeout,
             { "Jaylane-Idempotent: true",
               "Jaylane-Caller: " + CallerAddress("r0", 1),
               "X-Test-Id: long-upload",
               "X-Test-Kind: upload" });
  const ResponsePattern pattern(
    "POST", "/upload/long", XXH64(body.data(), body.size(), 0), kPayloadBytes);
  EXPECT_TRUE(reply) << "the upload's connection was cut off";
  EXPECT_EQ(reply ? reply->m_status : 0, 200) << (reply ? reply->m_body : "");
  return reply && reply->m_body.size() == pattern.size() &&
         pattern.Matches(0, reply->m_body.data(), reply->m_body.size());
}

void StartCallers(Scenario& aScenario)
{
  for (unsigned i = 0; i < kCallers; ++i) {
    CallerOptions caller = CallerOf("r0", 7 * i + 1);
    caller.m_rate = 15;
    caller.m_duration = std::chrono::seconds{ 7 };
    caller.m_orders = 3;
    caller.m_resendShare = 0.2;
    aScenario.StartCaller(caller);
  }
}

/// No attempt may be cut off; a refused connection proves that nothing was sent.
void ExpectNothingCutOff(Scenario& aScenario)
{
  constexpr int kCouldNotConnect = 7;
  for (const Json::Value& attempt : Attempts(aScenario, kCallers)) {
    const int transport = attempt["transport"].asInt();
    EXPECT_TRUE(transport == 0 || transport == kCouldNotConnect) << attempt.toStyledString();
  }
}

/// Guards against a planned stop that cuts off an upload or orders in flight, forgets which keys
/// were used, or keeps share units (G3, G5, G7).
TEST(Stop, LongUploadEndsAndKeysAreHandedOver)
{
  SmallPlan plan;
  plan.m_entryVmsPerZone = 3;
  plan.m_serviceTime = std::chrono::milliseconds{ 60 };
  plan.m_requestTimeout = std::chrono::seconds{ 8 };
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  const std::string incarnation = deployment.FindVm(kLeaver)->m_incarnation;
  const auto target = TargetOf(*scenario, kLeaver, "r0");
  ASSERT_TRUE(target);
  std::vector<std::string> keys;
  for (int i = 0; i < 4; ++i) {
    keys.push_back(fmt::format("{}.stop-{}", target->m_scope, i));
    EXPECT_EQ(SendOrder(*scenario, kLeaver, keys.back()).m_status, 200);
  }
  const auto relay = LinkRelay::Make("127.0.0.1");
  ASSERT_TRUE(relay);
  (*relay)->SetConditions({ false, {}, kBytesPerSecond });
  const auto route = (*relay)->AddRoute(deployment.FindVm(kLeaver)->m_address);
  ASSERT_TRUE(route);
  StartCallers(*scenario);
  auto upload = std::async(std::launch::async, [&] { return Upload(*route); });
  ASSERT_TRUE(WaitFor([&] { return (*relay)->Stats().m_bytes > 100'000; }, kTimeout));
  ASSERT_GT(UnitsOf(*scenario, "r0-a", incarnation), 0u);

  Process& process = *deployment.FindProcess(kLeaver);
  process.Terminate();
  const auto status = process.Wait(2 * kTimeout);
  ASSERT_TRUE(status);
  EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 0) << *status;
  ASSERT_EQ(upload.wait_for(std::chrono::seconds{ 1 }), std::future_status::ready);
  EXPECT_TRUE(upload.get());
  EXPECT_EQ(UnitsOf(*scenario, "r0-a", incarnation), 0u) << "share units were not donated";
  ASSERT_TRUE(deployment.Unregister(kLeaver));

  for (const std::string& key : keys) {
    for (const std::string vm : { "r0-a-entry-1", "r0-a-entry-2" }) {
      SingleReply reply;
      EXPECT_TRUE(WaitFor(
        [&] {
          reply = SendOrder(*scenario, vm, key);
          return reply.m_status == 409 && reply.m_outcome == "completed";
        },
        std::chrono::seconds{ 5 }))
        << vm << " answered " << reply.m_status << ' ' << reply.m_outcome << ' ' << reply.m_error;
    }
  }
  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_EQ(outcomes.count("unknown"), 0u);
  EXPECT_GT(outcomes.at("completed"), 200u);
  ExpectNothingCutOff(*scenario);
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
