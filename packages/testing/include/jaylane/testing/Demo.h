#pragma once

#include <chrono>
#include <string>

namespace jaylane::testing {

struct DemoOptions
{
  /// Path of the YAML settings tree, such as examples/inyenyeri/tree.yaml.
  std::string m_treeFile;
  unsigned m_entryVmsPerZone = 2;
  unsigned m_upstreamsPerZone = 2;
  std::chrono::seconds m_duration{ 15 };
  /// Requests per second of each caller; there is one caller for each service and region.
  double m_rate = 40;
  /// Whether logs and records of the processes are kept.
  bool m_keepFiles = false;
};

/// Runs a deployment under load, drains a zone, adds a law, prints a table of outcomes and checks
/// the history.
/// @return exit code: 0 without violations, 1 with violations, 2 if the demo could not be run.
int RunDemo(const DemoOptions& aOptions);

} // namespace jaylane::testing
