#include "jaylane/testing/Demo.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, tree, "", "YAML file with the settings tree of the deployment");
ABSL_FLAG(std::uint32_t, entry_vms_per_zone, 2, "entry VMs in each availability zone");
ABSL_FLAG(std::uint32_t, upstreams_per_zone, 2, "upstreams of each service in each zone");
ABSL_FLAG(std::uint32_t, seconds, 15, "duration of the load in seconds");
ABSL_FLAG(double, rate, 40, "requests per second of each caller");
ABSL_FLAG(bool, keep_files, false, "keep logs and records of the processes");

int main(int aArgc, char** aArgv)
{
  using namespace jaylane::testing;
  absl::SetProgramUsageMessage(
    "Starts a deployment on loopback, drains a zone and adds a law under load, and checks that no "
    "request was lost, executed twice, answered with another response or served in a forbidden "
    "region.");
  absl::ParseCommandLine(aArgc, aArgv);
  DemoOptions options;
  options.m_treeFile = absl::GetFlag(FLAGS_tree);
  options.m_entryVmsPerZone = absl::GetFlag(FLAGS_entry_vms_per_zone);
  options.m_upstreamsPerZone = absl::GetFlag(FLAGS_upstreams_per_zone);
  options.m_duration = std::chrono::seconds{ absl::GetFlag(FLAGS_seconds) };
  options.m_rate = absl::GetFlag(FLAGS_rate);
  options.m_keepFiles = absl::GetFlag(FLAGS_keep_files);
  return RunDemo(options);
}
