#include "Deployment.h"

#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <fmt/format.h>

namespace jaylane::testing {
namespace {

constexpr unsigned kVms = 2;
constexpr unsigned kUpstreams = 8;
/// A VM quarantines a request after it has seen two upstreams crash on it
/// (QuarantineOptions::m_crashThreshold). It learns of the crashes that other VMs saw only from the
/// exchange between peers once per second, so each VM that receives the request earlier can lose
/// two upstreams.
constexpr unsigned kMaxCrashes = 2 * kVms;
constexpr unsigned kCrashRequests = 30;

/// Guards against a request that crashes all upstreams of a zone one after the other because its
/// caller sends it again and again to every VM. Requests that crash nothing must still be served
/// (G2).
TEST(Crash, RepeatedRequestCrashesFewUpstreams)
{
  TestDeploymentOptions options;
  options.m_entryVmsPerZone = kVms;
  options.m_upstreamsPerZone = kUpstreams;
  options.m_slots = 2;
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  CallerOptions caller = MakeCallerOptions("r0", 1);
  caller.m_rate = 40;
  caller.m_duration = std::chrono::seconds{ 6 };
  scenario->StartCaller(caller);
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 40));
  std::string last;
  for (unsigned i = 0; i < kCrashRequests; ++i) {
    const std::string vm = fmt::format("r0-a-entry-{}", i % kVms);
    const auto response = HttpGet(fmt::format("http://{}/s/{}/read/crash",
                                              scenario->Deployment().FindVm(vm)->m_address,
                                              kService),
                                  kTimeout,
                                  { "X-Test-Crash: 1",
                                    "Jaylane-Caller: " + CallerAddress("r0", 1),
                                    "Jaylane-Deadline-Ms: 1000" });
    last = response ? response->m_body : "";
  }
  EXPECT_NE(last.find("quarantined"), std::string::npos) << last;
  const auto upstreams = UpstreamIds(*scenario);
  const auto crashed = std::count_if(upstreams.begin(), upstreams.end(), [&](const auto& aId) {
    return !scenario->Deployment().FindProcess(aId)->Running();
  });
  EXPECT_GE(crashed, 1);
  EXPECT_LE(crashed, static_cast<long>(kMaxCrashes));
  EXPECT_TRUE(WaitForExecutedRequests(*scenario, 60)) << "other requests are no longer served";
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  EXPECT_GT(outcomes.at("completed"), 180u);
  fmt::print("upstreams crashed: {} of {}\n", crashed, kUpstreams);
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
