#include "Sections.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <unistd.h>

ABSL_FLAG(std::string, sections, "abcdefg", "sections to run, a letter each");
ABSL_FLAG(std::string, json, "", "file for the figures as JSON");
ABSL_FLAG(std::uint32_t, baseline_bytes, 0, "run as the baseline server with this body size");

namespace {

std::string OwnPath()
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
        MeasureLookups(report, OwnPath());
        break;
      case 'c':
        MeasureUploadMemory(report);
        break;
      case 'd':
        MeasureControlCost(report);
        break;
      case 'e':
        MeasureEdits(report);
        break;
      case 'f':
        MeasureLeave(report);
        break;
      case 'g':
        MeasureDrainAndStop(report);
        break;
      default:
        report.Fail(std::string(1, section), "no such section");
    }
  }
  return report.Write(absl::GetFlag(FLAGS_json)) && !report.Failed() ? 0 : 1;
}
