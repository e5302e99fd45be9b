#include "Deployment.h"

#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <fmt/format.h>

namespace jaylane::testing {
namespace {

constexpr unsigned kVms = 2;
constexpr unsigned kUpstreams = 8;
/// Two deaths seen by a VM quarantine a request (QuarantineOptions::m_deaths), and a VM learns of
/// the deaths that others saw by the exchange of each second. Every VM that the request reaches
/// before can cost two upstreams.
constexpr unsigned kMaxCrashes = 2 * kVms;
constexpr unsigned kRepeats = 30;

/// Guards against a request that crashes all upstreams of a zone one after the other while its
/// caller sends it again to every VM (G2; innocent requests go on).
TEST(Crash, CostsAFewUpstreams)
{
  SmallPlan plan;
  plan.m_entryVmsPerZone = kVms;
  plan.m_upstreamsPerZone = kUpstreams;
  plan.m_slots = 2;
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  CallerOptions caller = CallerOf("r0", 1);
  caller.m_rate = 40;
  caller.m_duration = std::chrono::seconds{ 6 };
  scenario->StartCaller(caller);
  ASSERT_TRUE(WaitForWork(*scenario, 40));
  std::string last;
  for (unsigned i = 0; i < kRepeats; ++i) {
    const std::string vm = fmt::format("r0-a-entry-{}", i % kVms);
    const auto reply = HttpGet(fmt::format("http://{}/s/{}/read/crash",
                                           scenario->Deployment().FindVm(vm)->m_address,
                                           kService),
                               kTimeout,
                               { "X-Test-Crash: 1",
                                 "Jaylane-Caller: " + CallerAddress("r0", 1),
                                 "Jaylane-Deadline-Ms: 1000" });
    last = reply ? reply->m_body : "";
  }
  EXPECT_NE(last.find("quarantined"), std::string::npos) << last;
  const auto upstreams = Upstreams(*scenario);
  const auto crashed = std::count_if(upstreams.begin(), upstreams.end(), [&](const auto& aId) {
    return !scenario->Deployment().FindProcess(aId)->Running();
  });
  EXPECT_GE(crashed, 1);
  EXPECT_LE(crashed, static_cast<long>(kMaxCrashes));
  EXPECT_TRUE(WaitForWork(*scenario, 60)) << "innocent requests stop";
  const auto outcomes = Outcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 180u);
  fmt::print("upstreams crashed: {} of {}\n", crashed, kUpstreams);
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
