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

/// Plans traffic shifts and publishes them, and steps this VM's tables toward the newest.
/// One VM plans for a service at a time, by rank; if several do, the conditional update lets
/// one of them through.
class ShiftController
{
public:
  ShiftController(const VmContext& aContext,
                  platform::Store& aStore,
                  const ConfigState& aConfig,
                  const Directory& aDirectory,
                  SteeringState& aSteering,
                  LoadExchange& aLoadExchange);

  /// One round for all services. Calls the store; runs on its own thread.
  void Run();

  /// @return {"<service>":{"state","remaining_share","next_at_ms"}} of the last round.
  Json::Value Status() const;

  /// Dry run of the shift that settings would start if they took effect now.
  /// @param aConfig settings, in effect or not.
  /// @param aService one of its services.
  /// @return the course or the planner's error; nothing while there is no table.
  std::optional<base::Result<policy::Forecast>> Forecast(const Config& aConfig,
                                                         const ServiceConfig& aService) const;

private:
  /// Since when a site of the planner's input has its state.
  using SiteStateSince =
    std::function<base::WallTime(const policy::SiteId& aSite, policy::SiteState aState)>;

  struct ObservedSite
  {
    policy::SiteState m_state = policy::SiteState::Dead;
    base::WallTime m_since;
  };

  bool IsPlanner(const std::string& aService) const;
  void RunService(const Config& aConfig, const ServiceConfig& aService);
  void CreateTable(const std::string& aService, const policy::PlanInput& aInput);
  void PlanNext(const std::string& aService, const policy::PlanInput& aInput);
  void Reload(const std::string& aService);
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
  policy::SiteState StateOf(const Config& aConfig,
                            const ServiceConfig& aService,
                            const policy::SiteId& aSite) const;
  base::WallTime RecordSiteState(const std::string& aService,
                                 const policy::SiteId& aSite,
                                 policy::SiteState aState);
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
