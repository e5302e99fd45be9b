#include "Sections.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <unistd.h>

ABSL_FLAG(std::string,
          sections,
          "abcdefg",
          "sections to run, one letter each: (a) added latency, (b) lookups, (c) upload memory, "
          "(d) control-plane cost, (e) edits, (f) leaving upstreams, (g) drain and stop");
ABSL_FLAG(std::string, json, "", "file to which the measured values are written as JSON");
ABSL_FLAG(std::uint32_t,
          baseline_bytes,
          0,
          "if not 0, only run the baseline server with bodies of this size");

namespace {

std::string ExecutablePath()
{
  std::string path(4096, '\0');
  const ssize_t size = readlink("/proc/self/exe", path.data(), path.size());
  path.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return path;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  using namespace jaylane::testing;
  absl::SetProgramUsageMessage(
    "Measures the request path and the control plane of small deployments of real processes.");
  absl::ParseCommandLine(aArgc, aArgv);
  if (absl::GetFlag(FLAGS_baseline_bytes) > 0) {
    return RunBaselineServer(absl::GetFlag(FLAGS_baseline_bytes));
  }
  BenchReport report;
  for (const char section : absl::GetFlag(FLAGS_sections)) {
    switch (section) {
      case 'a':
        MeasureAddedLatency(report);
        break;
      case 'b':
        MeasureLookups(report, ExecutablePath());
        break;
      case 'c':
        MeasureUploadMemory(report);
        break;
      case 'd':
        MeasureControlPlaneCost(report);
        break;
      case 'e':
        MeasureEditLatency(report);
        break;
      case 'f':
        MeasureLeavingUpstream(report);
        break;
      case 'g':
        MeasureDrainAndStop(report);
        break;
      default:
        report.Fail(std::string(1, section), "unknown section");
    }
  }
  return report.Write(absl::GetFlag(FLAGS_json)) && !report.Failed() ? 0 : 1;
}
