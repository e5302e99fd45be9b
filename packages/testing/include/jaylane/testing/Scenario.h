#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/settings/SettingsTree.h"
#include "jaylane/testing/CallerOptions.h"
#include "jaylane/testing/DeploymentHarness.h"
#include "jaylane/testing/HistoryRules.h"
#include "jaylane/testing/HttpCall.h"

#include <chrono>
#include <deque>
#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace jaylane::testing {

struct ScenarioOptions
{
  settings::SettingsTree m_tree;
  unsigned m_entryVmsPerZone = 2;
  unsigned m_upstreamsPerZone = 1;
  unsigned m_slots = 4;
  std::chrono::milliseconds m_serviceTime{ 20 };
  /// Additional flags of all upstreams.
  std::vector<std::string> m_upstreamFlags;
  /// Whether traffic between zones and to the platform passes through link relays.
  bool m_links = false;
};

/// A deployment under load of callers, whose history can be checked at the end.
class Scenario
{
public:
  /// Starts all processes and waits until every entry VM serves every service.
  /// @param aDeployment from DeploymentHarness::Make().
  static base::Result<std::unique_ptr<Scenario>> Make(
    std::unique_ptr<DeploymentHarness> aDeployment,
    const ScenarioOptions& aOptions);

  /// Joins the callers.
  ~Scenario();

  DeploymentHarness& Deployment() { return *m_deployment; }
  const DeploymentHarness& Deployment() const { return *m_deployment; }

  /// Starts a caller on a new thread.
  /// @param aOptions name and record file are overwritten, the number of the caller is added to the
  ///   seed, and all running entry VMs are used if there are no entries.
  void StartCaller(CallerOptions aOptions);

  /// Waits for all callers.
  /// @return their summaries, in the order of the StartCaller() calls.
  const std::deque<Json::Value>& JoinCallers();

  /// @return HistoryChecker::Report() on all records written so far.
  base::Result<Json::Value> Check(const HistoryRules& aRules) const;

  /// Calls the administration API of an entry VM.
  /// @param aVm id of the entry VM.
  /// @param aPath path with query.
  /// @return body of a response with status 200.
  std::optional<Json::Value> AdminGet(const std::string& aVm, const std::string& aPath) const;
  std::optional<HttpClientResponse> AdminPost(const std::string& aVm,
                                              const std::string& aPath,
                                              const Json::Value& aBody) const;

  /// @return an address from a client block of the region, or an empty string without a block.
  ///   Different numbers below the size of the block give different addresses.
  std::string CallerAddress(const std::string& aRegion, unsigned aNumber) const;

  /// @return whether the entry VM answers lookups for every service.
  bool IsServing(const std::string& aVm) const;

  /// @return ids of all entry VMs.
  std::vector<std::string> EntryVms() const;

private:
  Scenario(std::unique_ptr<DeploymentHarness> aDeployment, settings::SettingsTree aTree);

  std::unique_ptr<DeploymentHarness> m_deployment;
  const settings::SettingsTree m_tree;
  std::vector<std::thread> m_threads;
  std::vector<std::string> m_callerFiles;
  std::deque<Json::Value> m_summaries;
};

} // namespace jaylane::testing
