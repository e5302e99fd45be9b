#include "BenchDeployment.h"
#include "ProcessStats.h"
#include "Sections.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/HttpCall.h"
#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <thread>
#include <vector>

namespace jaylane::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

constexpr milliseconds kMeasureDuration{ 5000 };
// Time for share units and peer membership to settle before a measurement.
constexpr milliseconds kSettleDuration{ 2000 };
// Requests per second of each region.
constexpr double kCallerRate = 60;
constexpr unsigned kEditCount = 20;
constexpr milliseconds kEditTimeout{ 15'000 };

/// Counters summed over all entry VMs of a deployment; the peak memory is that of the largest VM.
struct Counters
{
  double m_cpuSeconds = 0;
  double m_peerBytes = 0;
  double m_storeReads = 0;
  double m_storeWrites = 0;
  double m_countedStoreCalls = 0;
  double m_peakMib = 0;
};

Counters ReadCounters(Scenario& aScenario)
{
  Counters sum;
  for (const std::string& vm : aScenario.EntryVms()) {
    const pid_t id = aScenario.Deployment().FindProcess(vm)->Id();
    const auto metrics = aScenario.AdminGet(vm, "/v1/metrics");
    sum.m_cpuSeconds += CpuTime(id).count();
    sum.m_peakMib = std::max(sum.m_peakMib, static_cast<double>(PeakResidentKib(id)) / 1024);
    if (metrics) {
      sum.m_peerBytes += (*metrics)["peers"]["bytes"].asDouble();
      sum.m_countedStoreCalls += (*metrics)["store_calls"]["made"].asDouble();
    }
  }
  const auto response =
    HttpGet(aScenario.Deployment().PlatformUrl() + "/control/stats", milliseconds{ 2000 });
  if (const auto calls = response ? platform::ParseJsonObject(response->m_body) : std::nullopt) {
    for (const char* read : { "get", "list", "watch", "vms" }) {
      sum.m_storeReads += (*calls)[read].asDouble();
    }
    sum.m_storeWrites = (*calls)["put"].asDouble() + (*calls)["delete"].asDouble();
  }
  return sum;
}

/// Cost per entry VM during a measurement. Rates are per second; the peak memory is that of the
/// largest VM.
struct ControlPlaneCost
{
  double m_vms = 0;
  double m_cpuPercent = 0;
  double m_peerBytes = 0;
  double m_storeReads = 0;
  double m_storeWrites = 0;
  double m_countedStoreCalls = 0;
  double m_peakMib = 0;
};

/// Measures the cost during kMeasureDuration.
ControlPlaneCost MeasureCost(Scenario& aScenario)
{
  const auto start = steady_clock::now();
  const auto before = ReadCounters(aScenario);
  std::this_thread::sleep_for(kMeasureDuration);
  const auto after = ReadCounters(aScenario);
  const double seconds = Seconds(steady_clock::now() - start).count();
  const auto vms = static_cast<double>(aScenario.EntryVms().size());
  const double vmSeconds = seconds * vms;
  return { vms,
           100 * (after.m_cpuSeconds - before.m_cpuSeconds) / vmSeconds,
           (after.m_peerBytes - before.m_peerBytes) / vmSeconds,
           (after.m_storeReads - before.m_storeReads) / vmSeconds,
           (after.m_storeWrites - before.m_storeWrites) / vmSeconds,
           (after.m_countedStoreCalls - before.m_countedStoreCalls) / vmSeconds,
           after.m_peakMib };
}

void AddCost(BenchReport& aReport, const char* aState, const ControlPlaneCost& aCost)
{
  const auto name = [&](const char* aWhat) {
    return fmt::format("(d) {} VMs, {}: {}", aCost.m_vms, aState, aWhat);
  };
  const bool idle = std::string_view(aState) == "idle";
  const auto goal = [&](double aBelow) {
    return idle ? BenchGoal{ aBelow, std::nullopt } : BenchGoal{};
  };
  aReport.Add(name("CPU per VM"), aCost.m_cpuPercent, "% of a core", goal(1.7));
  aReport.Add(name("peer traffic per VM"), aCost.m_peerBytes, "B/s", goal(7000));
  aReport.Add(name("store reads per VM, at the store"), aCost.m_storeReads, "1/s");
  aReport.Add(name("store writes per VM, at the store"), aCost.m_storeWrites, "1/s");
  aReport.Add(name("store calls per VM, its own count"), aCost.m_countedStoreCalls, "1/s");
  aReport.Add(name("largest peak resident set"), aCost.m_peakMib, "MiB", goal(64));
}

/// @return slope of the least-squares line of a value over the number of VMs.
double Slope(const std::vector<ControlPlaneCost>& aCosts, double ControlPlaneCost::*aValue)
{
  double meanX = 0;
  double meanY = 0;
  for (const auto& cost : aCosts) {
    meanX += cost.m_vms / static_cast<double>(aCosts.size());
    meanY += cost.*aValue / static_cast<double>(aCosts.size());
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& cost : aCosts) {
    covariance += (cost.m_vms - meanX) * (cost.*aValue - meanY);
    variance += (cost.m_vms - meanX) * (cost.m_vms - meanX);
  }
  return covariance / variance;
}

bool IsInEffectEverywhere(Scenario& aScenario, std::uint64_t aGeneration)
{
  const auto vms = aScenario.EntryVms();
  return std::all_of(vms.begin(), vms.end(), [&](const std::string& aVm) {
    const auto status = aScenario.AdminGet(aVm, "/v1/status");
    return status && (*status)["generation"].asUInt64() >= aGeneration;
  });
}

/// Makes an edit through the first entry VM.
/// @return time from its acceptance until it is in effect on all VMs; negative if it was rejected
/// or did not take effect in time.
Seconds MeasureEdit(Scenario& aScenario, unsigned aNumber)
{
  const std::string vm = aScenario.EntryVms().front();
  const auto status = aScenario.AdminGet(vm, "/v1/status");
  Json::Value edit;
  edit["id"] = fmt::format("bench-{}", aNumber);
  edit["path"] = "/";
  edit["key"] = "queue_limit_wait_ms";
  edit["value"] = 500 + aNumber;
  edit["base_generation"] = status ? (*status)["generation"] : Json::Value(1);
  const auto response = aScenario.AdminPost(vm, "/v1/edits", edit);
  const auto accepted = steady_clock::now();
  if (!response || response->m_status != 200) {
    return Seconds{ -1 };
  }
  const auto generation = edit["base_generation"].asUInt64() + 1;
  const bool done =
    WaitFor([&] { return IsInEffectEverywhere(aScenario, generation); }, kEditTimeout);
  return done ? Seconds(steady_clock::now() - accepted) : Seconds{ -1 };
}

} // namespace

void MeasureControlPlaneCost(BenchReport& aReport)
{
  struct Shape
  {
    unsigned m_regions;
    unsigned m_entryVmsPerZone;
  };
  std::vector<ControlPlaneCost> idle;
  for (const Shape shape : { Shape{ 1, 1 }, Shape{ 3, 1 }, Shape{ 3, 2 } }) {
    const auto scenario =
      StartBenchDeployment({ shape.m_regions, 2, shape.m_entryVmsPerZone, 1, milliseconds{ 20 } });
    if (!scenario) {
      return aReport.Fail("control cost", scenario.GetError().Message());
    }
    std::this_thread::sleep_for(kSettleDuration);
    idle.push_back(MeasureCost(**scenario));
    AddCost(aReport, "idle", idle.back());
    StartBenchCallers(**scenario, shape.m_regions, kCallerRate, kMeasureDuration + kSettleDuration);
    AddCost(aReport, "loaded", MeasureCost(**scenario));
    (*scenario)->JoinCallers();
  }
  aReport.Add("(d) idle CPU slope", Slope(idle, &ControlPlaneCost::m_cpuPercent), "% per VM");
  aReport.Add(
    "(d) idle peer traffic slope", Slope(idle, &ControlPlaneCost::m_peerBytes), "B/s per VM");
  aReport.Add(
    "(d) idle store read slope", Slope(idle, &ControlPlaneCost::m_storeReads), "1/s per VM");
  aReport.Add(
    "(d) idle store write slope", Slope(idle, &ControlPlaneCost::m_storeWrites), "1/s per VM");
}

void MeasureEditLatency(BenchReport& aReport)
{
  const auto scenario = StartBenchDeployment({ 3, 2, 2, 1, milliseconds{ 20 } });
  if (!scenario) {
    return aReport.Fail("edits", scenario.GetError().Message());
  }
  std::vector<double> times;
  for (unsigned i = 0; i < kEditCount; ++i) {
    const Seconds time = MeasureEdit(**scenario, i);
    if (time.count() < 0) {
      return aReport.Fail(
        "edits", fmt::format("edit {} was rejected or did not take effect on every VM", i));
    }
    times.push_back(time.count() * 1000);
  }
  std::sort(times.begin(), times.end());
  aReport.Add("(e) edit in effect on 12 VMs, median of 20", times[kEditCount / 2], "ms");
  aReport.Add(
    "(e) edit in effect on 12 VMs, worst of 20", times.back(), "ms", { 10'000, std::nullopt });
}

} // namespace jaylane::testing
