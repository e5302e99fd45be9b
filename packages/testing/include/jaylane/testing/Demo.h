#pragma once

#include <chrono>
#include <string>

namespace jaylane::testing {

struct DemoOptions
{
  /// Settings tree, such as examples/inyenyeri/tree.yaml.
  std::string m_treeFile;
  unsigned m_entryVmsPerZone = 2;
  unsigned m_upstreamsPerZone = 2;
  std::chrono::seconds m_duration{ 15 };
  /// Requests a second of each caller; there is one for each service and region.
  double m_rate = 40;
  bool m_keepFiles = false;
};

/// Runs a deployment under load, drains a zone and puts a legal rule into force, checks the
/// history and prints a table of outcomes.
/// @return 0 if no guarantee was broken, 1 otherwise, 2 if the deployment could not be run.
int RunDemo(const DemoOptions& aOptions);

} // namespace jaylane::testing
