#include "Deployment.h"

#include <algorithm>
#include <map>
#include <thread>

namespace jaylane::testing {
namespace {

constexpr const char* kPausedVm = "r0-a-entry-0";
constexpr std::size_t kCallers = 2;
/// Longer than the deadline of the requests plus the time that callers wait beyond it.
constexpr std::chrono::seconds kPauseDuration{ 4 };
constexpr double kToleranceMillis = 100;

/// Checks that no request reached an upstream after the deadline of the last attempt that a caller
/// made for it.
void ExpectNoneReceivedAfterDeadline(Scenario& aScenario, double aDeadlineMillis)
{
  std::map<std::string, double> latest;
  for (const Json::Value& attempt : ReadAttempts(aScenario, kCallers)) {
    double& limit = latest[attempt["id"].asString()];
    limit = std::max(limit, attempt["started_ms"].asDouble() + aDeadlineMillis);
  }
  unsigned late = 0;
  for (const std::string& file : aScenario.Deployment().UpstreamRecords()) {
    for (const auto& [id, received] : ReadReceivedTimes(file)) {
      const auto found = latest.find(id);
      late += found != latest.end() && received > found->second + kToleranceMillis ? 1 : 0;
    }
  }
  EXPECT_EQ(late, 0u) << "requests arrived at an upstream after their deadline";
}

/// Guards against a VM that resumes after a pause, reads the orders that waited in its sockets and
/// sends them to upstreams although their deadline has passed and their callers have given up
/// (deadlines; part of G5).
TEST(Lapsed, ExpiredRequestsAreNotSentAfterAPause)
{
  const auto scenario = StartTestDeployment(TestDeploymentOptions());
  ASSERT_TRUE(scenario);
  std::chrono::milliseconds deadline{ 0 };
  for (unsigned i = 0; i < kCallers; ++i) {
    CallerOptions caller = MakeCallerOptions("r0", i);
    caller.m_rate = 30;
    caller.m_orders = 2;
    caller.m_duration = std::chrono::seconds{ 6 };
    deadline = caller.m_deadline;
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 40));
  Process& process = *scenario->Deployment().FindProcess(kPausedVm);
  process.Pause();
  std::this_thread::sleep_for(kPauseDuration);
  process.Resume();
  SumOutcomes(scenario->JoinCallers());
  ExpectNoneReceivedAfterDeadline(*scenario, static_cast<double>(deadline.count()));
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
