#include "Deployment.h"

#include <algorithm>
#include <map>
#include <thread>

namespace jaylane::testing {
namespace {

constexpr const char* kPaused = "r0-a-entry-0";
constexpr std::size_t kCallers = 2;
/// Longer than the deadline of the requests and the grace that callers add to it.
constexpr std::chrono::seconds kPause{ 4 };
constexpr double kToleranceMillis = 100;

/// Nothing may reach an upstream after the deadline of the last attempt that a caller made.
void ExpectNothingLapsed(Scenario& aScenario, double aDeadlineMillis)
{
  std::map<std::string, double> latest;
  for (const Json::Value& attempt : Attempts(aScenario, kCallers)) {
    double& limit = latest[attempt["id"].asString()];
    limit = std::max(limit, attempt["started_ms"].asDouble() + aDeadlineMillis);
  }
  unsigned lapsed = 0;
  for (const std::string& file : aScenario.Deployment().UpstreamRecords()) {
    for (const auto& [id, received] : ReceivedTimes(file)) {
      const auto found = latest.find(id);
      lapsed += found != latest.end() && received > found->second + kToleranceMillis ? 1 : 0;
    }
  }
  EXPECT_EQ(lapsed, 0u) << "requests arrived at an upstream after their deadline";
}

/// Guards against orders that a VM sends after a pause although their deadline passed and their
/// callers have gone: the requests waited in the VM's sockets, unread (deadlines; part of G5).
TEST(Lapsed, NothingLapsedIsSentAfterAPause)
{
  const auto scenario = StartSmall(SmallPlan());
  ASSERT_TRUE(scenario);
  std::chrono::milliseconds deadline{ 0 };
  for (unsigned i = 0; i < kCallers; ++i) {
    CallerOptions caller = CallerOf("r0", i);
    caller.m_rate = 30;
    caller.m_orders = 2;
    caller.m_duration = std::chrono::seconds{ 6 };
    deadline = caller.m_deadline;
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForWork(*scenario, 40));
  Process& process = *scenario->Deployment().FindProcess(kPaused);
  process.Pause();
  std::this_thread::sleep_for(kPause);
  process.Resume();
  Outcomes(scenario->JoinCallers());
  ExpectNothingLapsed(*scenario, static_cast<double>(deadline.count()));
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
