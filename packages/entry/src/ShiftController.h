#pragma once

#include "ConfigState.h"
#include "Directory.h"
#include "LoadExchange.h"
#include "ShiftStateMachine.h"
#include "SteeringState.h"
#include "jaylane/platform/Store.h"
#include "jaylane/policy/Forecast.h"
#include "jaylane/policy/ShiftPlanner.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace jaylane::entry {

/// Plans and publishes traffic shifts, and moves the steering tables applied by this VM toward the
/// newest published ones. One VM plans for each service, chosen by rendezvous hashing; if several
/// VMs plan because their views of the fleet differ, the conditional update accepts only one.
class ShiftController
{
public:
  ShiftController(const VmContext& aContext,
                  platform::Store& aStore,
                  const ConfigState& aConfig,
                  const Directory& aDirectory,
                  SteeringState& aSteering,
                  LoadExchange& aLoadExchange);

  /// Runs one planning round for all services. Blocks on store calls; to be called from one thread.
  void Run();

  /// @return {"<service>":{"state","remaining_share"}} of the last round.
  Json::Value Status() const;

  /// Simulates the shift that settings would start if they took effect now.
  /// @param aConfig settings, in effect or not.
  /// @param aService one of its services.
  /// @return the simulated shift or the planner's error; nothing while there is no steering table.
  std::optional<base::Result<policy::Forecast>> Forecast(const Config& aConfig,
                                                         const ServiceConfig& aService) const;

private:
  /// Returns the time since which a site has had a state.
  using SiteStateSince =
    std::function<base::WallTime(const policy::SiteId& aSite, policy::SiteState aState)>;

  /// Last observed state of a site, and since when the site has had it.
  struct ObservedSite
  {
    policy::SiteState m_state = policy::SiteState::Dead;
    base::WallTime m_since;
    /// Whether the site counts as dead while its VMs wait for slots. Not so for a site that has
    /// never been ready in a new deployment, where all VMs receive their slots at the same time.
    bool m_mustBeReady = false;
  };

  /// @return whether this VM is the one to plan for the service.
  bool IsPlanner(const std::string& aService) const;
  void UpdateService(const Config& aConfig, const ServiceConfig& aService);
  void CreateTable(const std::string& aService, const policy::PlanInput& aInput);
  void PlanNext(const std::string& aService, const policy::PlanInput& aInput);
  void ReloadTable(const std::string& aService);
  PublishResult Publish(const std::string& aService,
                        policy::SteeringTable aTable,
                        platform::Version aExpected);
  policy::BucketLoad MakeLoad(const Config& aConfig,
                              const ServiceConfig& aService,
                              double aCapacity) const;
  policy::PlanInput MakeInput(const Config& aConfig,
                              const ServiceConfig& aService,
                              const SiteStateSince& aStateSince) const;
  policy::Topology MakeTopology(const Config& aConfig,
                                const ServiceConfig& aService,
                                const SiteStateSince& aStateSince) const;
  /// @return whether the site has VMs that can run requests or are about to.
  bool CanRunRequests(const std::string& aService, const policy::SiteId& aSite) const;
  policy::SiteState SiteStateOf(const Config& aConfig,
                                const ServiceConfig& aService,
                                const policy::SiteId& aSite) const;
  /// Records the state of a site.
  /// @param aHasTable whether the service has a steering table already.
  /// @return the time since which the site has had it.
  base::WallTime RecordSiteState(const std::string& aService,
                                 const policy::SiteId& aSite,
                                 policy::SiteState aState,
                                 bool aHasTable);
  /// @return what RecordSiteState() would return; records nothing.
  base::WallTime PreviewSiteState(const std::string& aService,
                                  const policy::SiteId& aSite,
                                  policy::SiteState aState) const;

  const VmContext& m_context;
  platform::Store& m_store;
  const ConfigState& m_config;
  const Directory& m_directory;
  SteeringState& m_steering;
  LoadExchange& m_loadExchange;
  base::MonotonicTime m_loadsReadAt;
  mutable std::mutex m_mutex;
  std::map<std::pair<std::string, policy::SiteId>, ObservedSite> m_sites;
  std::map<std::string, Json::Value> m_status;
  /// Used by the planning thread only.
  std::map<std::string, ShiftStateMachine> m_machines;
  std::uint64_t m_nextNonce = 1;
};

} // namespace jaylane::entry
