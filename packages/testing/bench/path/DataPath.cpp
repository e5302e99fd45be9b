#include "BenchDeployment.h"
#include "HttpLoad.h"
#include "ProcessStats.h"
#include "Sections.h"

#include "jaylane/testing/HttpCall.h"

#include <algorithm>
#include <fmt/format.h>
#include <thread>
#include <vector>

namespace jaylane::testing {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr const char* kCallerHeader = "Jaylane-Caller: 10.10.0.1\r\n";
constexpr milliseconds kCallTimeout{ 2000 };
constexpr unsigned kRounds = 3;
// CPU time is counted in ticks of 10 ms. All threads together take a few thousand of them in this
// time, which makes the rounding negligible.
constexpr milliseconds kLookupDuration{ 3000 };
constexpr unsigned kLookupConnections = 8;
constexpr std::uint64_t kMegabyte = 1'000'000;

const std::string& AddressOf(Scenario& aScenario, const std::string& aVm)
{
  return aScenario.Deployment().FindVm(aVm)->m_address;
}

double Millis(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

double Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

struct LookupCost
{
  /// Lookups per second of CPU time of the server.
  double m_perCpuSecond = 0;
  /// Lookups per second of wall time.
  double m_perSecond = 0;
  std::uint64_t m_failed = 0;
};

LookupCost MeasureLookupCost(const std::string& aAddress, const std::string& aTarget, pid_t aServer)
{
  HttpLoadOptions options;
  options.m_address = aAddress;
  options.m_target = aTarget;
  options.m_connections = kLookupConnections;
  options.m_duration = kLookupDuration;
  const auto before = CpuTime(aServer);
  const auto result = RunHttpLoad(options);
  const Seconds cpu = CpuTime(aServer) - before;
  const auto count = static_cast<double>(result.m_succeeded);
  return { count / std::max(cpu.count(), 0.01), count / result.m_elapsed.count(), result.m_failed };
}

} // namespace

void MeasureAddedLatency(BenchReport& aReport)
{
  const auto scenario = StartBenchDeployment({});
  if (!scenario) {
    return aReport.Fail("added latency", scenario.GetError().Message());
  }
  std::vector<double> p50;
  std::vector<double> p99;
  std::uint64_t failed = 0;
  for (unsigned round = 0; round < kRounds; ++round) {
    HttpLoadOptions options;
    // Half of the slots are busy: each connection has one request in flight at any time.
    options.m_connections = kBenchSlots / 2;
    options.m_duration = milliseconds{ 4000 };
    options.m_headers = kCallerHeader;
    options.m_address =
      AddressOf(**scenario, fmt::format("{}-{}-0", kBenchService, BenchZone(0, 0)));
    options.m_target = "/table?bytes=1000";
    const auto direct = RunHttpLoad(options);
    options.m_address = AddressOf(**scenario, (*scenario)->EntryVms().front());
    options.m_target = fmt::format("/s/{}/table?bytes=1000", kBenchService);
    const auto routed = RunHttpLoad(options);
    p50.push_back(Millis(routed.m_p50 - direct.m_p50));
    p99.push_back(Millis(routed.m_p99 - direct.m_p99));
    failed += direct.m_failed + routed.m_failed;
    aReport.Add("(a) p50 direct", Millis(direct.m_p50), "ms");
  }
  aReport.Add("(a) p50 added by a VM, median of 3", Median(p50), "ms", { 1.0, std::nullopt });
  aReport.Add("(a) p99 added by a VM, median of 3", Median(p99), "ms");
  aReport.Add("(a) failed requests", static_cast<double>(failed), "requests");
}

void MeasureLookups(BenchReport& aReport, const std::string& aProgram)
{
  const auto scenario = StartBenchDeployment({ 1, 2, 2, 1, milliseconds{ 20 } });
  if (!scenario) {
    return aReport.Fail("lookups", scenario.GetError().Message());
  }
  DeploymentHarness& deployment = (*scenario)->Deployment();
  const std::string vm = (*scenario)->EntryVms().front();
  const std::string target = fmt::format("/v1/lookup?service={}&caller=10.10.0.1", kBenchService);
  const auto sample = HttpGet("http://" + AddressOf(**scenario, vm) + target, kCallTimeout);
  const auto baseline = deployment.Processes().Start(
    "baseline",
    aProgram,
    { fmt::format("--baseline_bytes={}", sample ? sample->m_body.size() : 400) });
  const auto line = baseline ? (*baseline)->FirstLine(milliseconds{ 10'000 })
                             : base::Result<Json::Value>(baseline.GetError());
  if (!line) {
    return aReport.Fail("lookups", line.GetError().Message());
  }
  std::vector<double> ratios;
  std::uint64_t failed = 0;
  for (unsigned round = 0; round < kRounds; ++round) {
    const auto baselineCost =
      MeasureLookupCost((*line)["address"].asString(), target, (*baseline)->Id());
    const auto vmCost =
      MeasureLookupCost(AddressOf(**scenario, vm), target, deployment.FindProcess(vm)->Id());
    ratios.push_back(vmCost.m_perCpuSecond / baselineCost.m_perCpuSecond);
    failed += baselineCost.m_failed + vmCost.m_failed;
    aReport.Add("(b) bare answers per core second", baselineCost.m_perCpuSecond, "1/s");
    aReport.Add("(b) lookups per core second", vmCost.m_perCpuSecond, "1/s");
    aReport.Add("(b) lookups a second, wall time", vmCost.m_perSecond, "1/s");
  }
  aReport.Add(
    "(b) lookups to bare answers, median of 3", Median(ratios), "", { std::nullopt, 0.7 });
  aReport.Add("(b) failed lookups", static_cast<double>(failed), "requests");
}

void MeasureUploadMemory(BenchReport& aReport)
{
  const auto scenario = StartBenchDeployment({});
  if (!scenario) {
    return aReport.Fail("upload memory", scenario.GetError().Message());
  }
  const std::string vm = (*scenario)->EntryVms().front();
  const pid_t id = (*scenario)->Deployment().FindProcess(vm)->Id();
  std::vector<double> peaks;
  for (const std::uint64_t megabytes : { 1, 200 }) {
    const unsigned status = PutBody(AddressOf(**scenario, vm),
                                    fmt::format("/s/{}/scan", kBenchService),
                                    std::string(kCallerHeader) +
                                      "Jaylane-Idempotent: true\r\nJaylane-Deadline-Ms: 50000\r\n",
                                    megabytes * kMegabyte);
    if (status != 200) {
      return aReport.Fail("upload memory", fmt::format("{} MB: status {}", megabytes, status));
    }
    peaks.push_back(static_cast<double>(PeakResidentKib(id)) / 1024);
    aReport.Add(fmt::format("(c) peak resident set after {} MB", megabytes), peaks.back(), "MiB");
  }
  // Memory counts as constant if it grows by less than 2 MiB: the ring buffers of the transfers
  // hold 512 KiB, and the rest is room for the allocator.
  aReport.Add("(c) growth from 1 MB to 200 MB", peaks[1] - peaks[0], "MiB", { 2.0, std::nullopt });
}

} // namespace jaylane::testing
