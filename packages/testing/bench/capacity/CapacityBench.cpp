#include "CapacityReport.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, json, "", "file for the slopes as JSON");

int main(int aArgc, char** aArgv)
{
  using namespace jaylane::testing;
  absl::SetProgramUsageMessage("Measures how state, messages and CPU time grow with the fleet.");
  absl::ParseCommandLine(aArgc, aArgv);
  CapacityReport report;
  MeasureSteering(report);
  MeasureSettings(report);
  MeasurePeers(report);
  MeasureRequestState(report);
  return report.Write(absl::GetFlag(FLAGS_json)) ? 0 : 1;
}
