#include "BenchDeployment.h"
#include "Sections.h"

#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <numeric>
#include <string_view>
#include <thread>
#include <vector>

namespace jaylane::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// Requests per second.
constexpr double kCallerRate = 60;
constexpr milliseconds kWarmUpDuration{ 1500 };
constexpr milliseconds kPollInterval{ 5 };
constexpr milliseconds kStopTimeout{ 30'000 };

/// Polls the number of executed requests of the upstreams for the given duration.
/// @return time from the start of the call until the number was last seen to grow.
Seconds TimeToLastExecution(Scenario& aScenario,
                            const std::vector<std::string>& aUpstreams,
                            milliseconds aDuration)
{
  const auto start = steady_clock::now();
  const auto count = [&] {
    return std::accumulate(
      aUpstreams.begin(), aUpstreams.end(), std::uint64_t{ 0 }, [&](auto aSum, const auto& aId) {
        return aSum + ExecutedRequests(aScenario, aId);
      });
  };
  auto previous = count();
  auto last = start;
  while (steady_clock::now() < start + aDuration) {
    const auto now = count();
    if (now != previous) {
      previous = now;
      last = steady_clock::now();
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return last - start;
}

std::string UpstreamId(unsigned aZone, unsigned aNumber)
{
  return fmt::format("{}-{}-{}", kBenchService, BenchZone(0, aZone), aNumber);
}

void AddOutcomes(BenchReport& aReport, const char* aName, const std::deque<Json::Value>& aSummaries)
{
  double notCompleted = 0;
  double all = 0;
  for (const Json::Value& summary : aSummaries) {
    for (const std::string& outcome : summary["outcomes"].getMemberNames()) {
      const double count = summary["outcomes"][outcome].asDouble();
      all += count;
      notCompleted += outcome == "completed" ? 0 : count;
    }
  }
  aReport.Add(fmt::format("{} requests", aName), all, "requests");
  aReport.Add(fmt::format("{} requests not completed", aName), notCompleted, "requests");
}

bool Drain(Scenario& aScenario)
{
  const std::string vm = aScenario.EntryVms().front();
  const auto status = aScenario.AdminGet(vm, "/v1/status");
  Json::Value body;
  body["id"] = "bench-drain";
  body["site"] = BenchRegion(0) + "/" + BenchZone(0, 0);
  body["base_generation"] = status ? (*status)["generation"] : Json::Value(1);
  body["since"] = settings::FormatTime(base::SystemClock::Get().Wall());
  const auto response = aScenario.AdminPost(vm, "/v1/drain", body);
  return response && response->m_status == 200;
}

void MeasureLeavingSignal(BenchReport& aReport,
                          Scenario& aScenario,
                          bool aByList,
                          const std::string& aId)
{
  std::this_thread::sleep_for(kWarmUpDuration);
  DeploymentHarness& deployment = aScenario.Deployment();
  const auto sent = aByList ? deployment.SetState(aId, platform::VmState::Leaving)
                            : deployment.ControlUpstream(aId, R"({"leaving":true})");
  if (!sent) {
    return aReport.Fail("leave", sent.GetError().Message());
  }
  const auto last = TimeToLastExecution(aScenario, { aId }, milliseconds{ 3000 });
  aReport.Add(
    fmt::format("(f) leave signal by {} to last new request", aByList ? "VM list" : "health"),
    last.count() * 1000,
    "ms",
    { 2000, std::nullopt });
}

} // namespace

void MeasureLeavingUpstream(BenchReport& aReport)
{
  const auto scenario = StartBenchDeployment({ 1, 1, 2, 4, milliseconds{ 20 } });
  if (!scenario) {
    return aReport.Fail("leave", scenario.GetError().Message());
  }
  StartBenchCallers(**scenario, 1, kCallerRate, milliseconds{ 10'000 });
  MeasureLeavingSignal(aReport, **scenario, true, UpstreamId(0, 0));
  MeasureLeavingSignal(aReport, **scenario, false, UpstreamId(0, 1));
  AddOutcomes(aReport, "(f)", (*scenario)->JoinCallers());
}

void MeasureDrainAndStop(BenchReport& aReport)
{
  const auto scenario = StartBenchDeployment({ 1, 2, 2, 2, milliseconds{ 20 } });
  if (!scenario) {
    return aReport.Fail("drain", scenario.GetError().Message());
  }
  StartBenchCallers(**scenario, 1, kCallerRate, milliseconds{ 20'000 });
  std::this_thread::sleep_for(kWarmUpDuration);
  if (!Drain(**scenario)) {
    return aReport.Fail("drain", "the drain request was rejected");
  }
  const auto last =
    TimeToLastExecution(**scenario, { UpstreamId(0, 0), UpstreamId(0, 1) }, milliseconds{ 12'000 });
  aReport.Add("(g) drain of one of two zones to its last request", last.count(), "s");
  // A VM of the other zone, which now serves all requests.
  Process* vm = (*scenario)->Deployment().FindProcess((*scenario)->EntryVms().back());
  const auto start = steady_clock::now();
  vm->Terminate();
  const auto status = vm->Wait(kStopTimeout);
  aReport.Add("(g) planned stop of a VM", Seconds(steady_clock::now() - start).count(), "s");
  aReport.Add("(g) exit status of the VM", status ? *status : -1, "");
  AddOutcomes(aReport, "(g)", (*scenario)->JoinCallers());
}

} // namespace jaylane::testing
