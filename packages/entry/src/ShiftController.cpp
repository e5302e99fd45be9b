#include "ShiftController.h"

#include "ForecastReport.h"

#include <algorithm>
#include <span>
#include <utility>
#include <xxhash.h>

namespace jaylane::entry {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
// Fraction of the capacity assumed to be in use while there is no load report. All buckets then
// have the same load, so the shift cap limits their number.
constexpr double kAssumedUtilization = 0.5;
// Lower bound of the fraction in use once there are load reports. The buckets of an idle service
// must have some load, so that the service can be moved and its moves count against the cap.
constexpr double kMinUtilization = 0.05;
// Bounds the work of a forecast; one that is cut off reports an unfinished state.
constexpr std::size_t kMaxForecastSteps = 200;
// Latency between a site and the callers of its region; links between regions add theirs.
constexpr std::chrono::microseconds kLocalLatency{ 3000 };

bool Covers(const settings::Drain& aDrain, const policy::SiteId& aSite)
{
  switch (aDrain.m_scope) {
    case settings::DrainScope::Site:
      return aDrain.m_target == aSite.m_region + "/" + aSite.m_zone;
    case settings::DrainScope::Region:
      return aDrain.m_target == aSite.m_region;
    case settings::DrainScope::Upstream:
      break;
  }
  return false;
}

/// @return the smallest cap and the longest times of all regions, since a shift involves all of
///   them.
policy::ShiftLimits MakeShiftLimits(const settings::SettingsTree& aTree,
                                    const std::string& aService)
{
  policy::ShiftLimits limits;
  bool first = true;
  for (const settings::Region& region : aTree.Regions()) {
    const auto effective = aTree.Effective(region.m_name, aService, "");
    const double cap = effective.m_shiftPlannedPartPercent / 100.0;
    limits.m_plannedCap = first ? cap : std::min(limits.m_plannedCap, cap);
    limits.m_window = std::max<std::chrono::milliseconds>(
      first ? std::chrono::milliseconds{ 0 } : limits.m_window, effective.m_shiftWindow);
    limits.m_lookupLifetime = std::max(
      first ? std::chrono::milliseconds{ 0 } : limits.m_lookupLifetime, effective.m_lookupLifetime);
    limits.m_reserve = effective.m_plannerReservePercent / 100.0;
    limits.m_latencyWeight = effective.m_latencyWeightPercent / 100.0;
    limits.m_recoveryHold = effective.m_recoveryHold;
    first = false;
  }
  limits.m_maxClockDifference = ConfigState::kMaxClockDifference;
  return limits;
}

} // namespace

ShiftController::ShiftController(const VmContext& aContext,
                                 platform::Store& aStore,
                                 const ConfigState& aConfig,
                                 const Directory& aDirectory,
                                 SteeringState& aSteering,
                                 LoadExchange& aLoadExchange)
  : m_context(aContext)
  , m_store(aStore)
  , m_config(aConfig)
  , m_directory(aDirectory)
  , m_steering(aSteering)
  , m_loadExchange(aLoadExchange)
{
}

policy::SiteState ShiftController::SiteStateOf(const Config& aConfig,
                                               const ServiceConfig& aService,
                                               const policy::SiteId& aSite) const
{
  const auto view = m_directory.Current();
  const bool serves = view->Capacity(aService.m_service.m_name, aSite) > 0;
  if (!serves || !CanRunRequests(aService.m_service.m_name, aSite)) {
    return policy::SiteState::Dead;
  }
  for (const settings::Drain& drain : aConfig.m_document.m_tree.Drains()) {
    if (Covers(drain, aSite)) {
      return policy::SiteState::Drained;
    }
  }
  return policy::SiteState::Live;
}

bool ShiftController::CanRunRequests(const std::string& aService, const policy::SiteId& aSite) const
{
  if (m_directory.IsSiteReady(aSite)) {
    return true;
  }
  std::lock_guard lock(m_mutex);
  const auto known = m_sites.find({ aService, aSite });
  const bool mustBeReady = known != m_sites.end() && known->second.m_mustBeReady;
  return !mustBeReady && m_directory.IsSiteUsable(aSite);
}

base::WallTime ShiftController::RecordSiteState(const std::string& aService,
                                                const policy::SiteId& aSite,
                                                policy::SiteState aState,
                                                bool aHasTable)
{
  std::lock_guard lock(m_mutex);
  ObservedSite& site = m_sites[{ aService, aSite }];
  site.m_mustBeReady = site.m_mustBeReady || m_directory.IsSiteReady(aSite) ||
                       (aState == policy::SiteState::Dead && aHasTable);
  if (site.m_state != aState) {
    site.m_state = aState;
    site.m_since = m_context.m_clock.Wall();
  }
  return site.m_since;
}

base::WallTime ShiftController::PreviewSiteState(const std::string& aService,
                                                 const policy::SiteId& aSite,
                                                 policy::SiteState aState) const
{
  std::lock_guard lock(m_mutex);
  const auto known = m_sites.find({ aService, aSite });
  return known != m_sites.end() && known->second.m_state == aState ? known->second.m_since
                                                                   : m_context.m_clock.Wall();
}

policy::Topology ShiftController::MakeTopology(const Config& aConfig,
                                               const ServiceConfig& aService,
                                               const SiteStateSince& aStateSince) const
{
  const std::string& service = aService.m_service.m_name;
  const auto view = m_directory.Current();
  policy::Topology topology;
  for (const settings::Region& region : aConfig.m_document.m_tree.Regions()) {
    for (const std::string& zone : region.m_zones) {
      const policy::SiteId id{ region.m_name, zone };
      const auto state = SiteStateOf(aConfig, aService, id);
      topology.m_sites.push_back(
        { id, state, static_cast<double>(view->Capacity(service, id)), aStateSince(id, state) });
    }
    topology.m_latencies.push_back({ region.m_name, region.m_name, kLocalLatency });
  }
  for (const settings::Link& link : aConfig.m_document.m_tree.Links()) {
    topology.m_latencies.push_back(
      { link.m_from, link.m_to, kLocalLatency + 2 * link.m_oneWayDelay });
  }
  return topology;
}

namespace {

/// Distributes the load of one origin: hot buckets get their own, the others equal parts of the
/// rest.
void DistributeOriginLoad(std::span<double> aBuckets, const OriginLoad& aLoad)
{
  double rest = aLoad.m_total;
  for (const auto& [bucket, hot] : aLoad.m_hotBuckets) {
    rest -= hot;
  }
  const double mean = std::max(0.0, rest) / static_cast<double>(aBuckets.size());
  for (double& load : aBuckets) {
    load = std::max(load, mean);
  }
  for (const auto& [bucket, hot] : aLoad.m_hotBuckets) {
    if (bucket < aBuckets.size()) {
      aBuckets[bucket] = std::max(aBuckets[bucket], hot);
    }
  }
}

} // namespace

policy::BucketLoad ShiftController::MakeLoad(const Config& aConfig,
                                             const ServiceConfig& aService,
                                             double aCapacity) const
{
  const auto measured = m_loadExchange.Total();
  const std::size_t buckets = aConfig.m_origins.size() * policy::kBucketsPerOrigin;
  const double use = measured ? kMinUtilization : kAssumedUtilization;
  policy::BucketLoad load;
  load.m_buckets.assign(buckets, use * aCapacity / static_cast<double>(buckets));
  if (!measured) {
    return load;
  }
  const auto service = measured->m_services.find(aService.m_service.m_name);
  if (service == measured->m_services.end()) {
    return load;
  }
  for (std::size_t i = 0; i < aConfig.m_origins.size(); ++i) {
    const auto origin = service->second.find(aConfig.m_origins[i]);
    if (origin != service->second.end()) {
      DistributeOriginLoad(
        std::span(load.m_buckets).subspan(i * policy::kBucketsPerOrigin, policy::kBucketsPerOrigin),
        origin->second);
    }
  }
  return load;
}

policy::PlanInput ShiftController::MakeInput(const Config& aConfig,
                                             const ServiceConfig& aService,
                                             const SiteStateSince& aStateSince) const
{
  policy::PlanInput input;
  input.m_topology = MakeTopology(aConfig, aService, aStateSince);
  input.m_legal = aService.m_legal;
  input.m_limits = MakeShiftLimits(aConfig.m_document.m_tree, aService.m_service.m_name);
  double capacity = 0;
  for (const policy::Site& site : input.m_topology.m_sites) {
    capacity += site.m_capacity;
  }
  input.m_load = MakeLoad(aConfig, aService, capacity);
  return input;
}

std::optional<base::Result<policy::Forecast>> ShiftController::Forecast(
  const Config& aConfig,
  const ServiceConfig& aService) const
{
  const std::string& name = aService.m_service.m_name;
  const auto newest = m_steering.Newest(name);
  if (!newest) {
    return std::nullopt;
  }
  const auto input =
    MakeInput(aConfig, aService, [&](const policy::SiteId& aSite, policy::SiteState aState) {
      return PreviewSiteState(name, aSite, aState);
    });
  return policy::MakeForecast(newest->m_table, input, m_context.m_clock.Wall(), kMaxForecastSteps);
}

bool ShiftController::IsPlanner(const std::string& aService) const
{
  const auto rank = [&](const std::string& aIncarnation) {
    return XXH3_64bits_withSeed(
      aIncarnation.data(), aIncarnation.size(), XXH3_64bits(aService.data(), aService.size()));
  };
  const auto own = rank(m_context.m_incarnationText);
  const auto view = m_directory.Current();
  // A VM that has just started does not know which sites were lost and wait for slots.
  const bool anyReady =
    std::any_of(view->m_entryVms.begin(), view->m_entryVms.end(), [&](const EntryVmRef& aVm) {
      return m_directory.IsReady(aVm);
    });
  const auto isCandidate = [&](const EntryVmRef& aVm) {
    return anyReady ? m_directory.IsReady(aVm) : m_directory.IsUsable(aVm);
  };
  const EntryVmRef* self = view->FindIncarnation(m_context.m_incarnationText);
  return self && isCandidate(*self) &&
         std::none_of(view->m_entryVms.begin(), view->m_entryVms.end(), [&](const EntryVmRef& aVm) {
           return isCandidate(aVm) && rank(aVm.m_incarnation) < own;
         });
}

void ShiftController::Run()
{
  const auto config = m_config.Current();
  if (!config || m_directory.Current()->m_entryVms.empty()) {
    return;
  }
  const auto now = m_context.m_clock.Monotonic();
  if (now - m_loadsReadAt >= LoadMeter::kInterval) {
    m_loadsReadAt = now;
    m_loadExchange.Refresh();
  }
  for (const auto& [name, service] : config->m_services) {
    UpdateService(*config, service);
  }
}

void ShiftController::UpdateService(const Config& aConfig, const ServiceConfig& aService)
{
  const std::string& name = aService.m_service.m_name;
  const bool hasTable = m_steering.Newest(name).has_value();
  const auto input =
    MakeInput(aConfig, aService, [&](const policy::SiteId& aSite, policy::SiteState aState) {
      return RecordSiteState(name, aSite, aState, hasTable);
    });
  m_steering.CatchUp(name, input);
  if (!IsPlanner(name)) {
    return;
  }
  if (m_steering.Newest(name)) {
    PlanNext(name, input);
  } else {
    CreateTable(name, input);
  }
}

void ShiftController::CreateTable(const std::string& aService, const policy::PlanInput& aInput)
{
  const bool anyLive =
    std::any_of(aInput.m_topology.m_sites.begin(),
                aInput.m_topology.m_sites.end(),
                [](const policy::Site& aSite) { return aSite.m_state == policy::SiteState::Live; });
  const auto existing = m_store.Get("table/" + aService, kCallTimeout);
  if (existing || !anyLive || existing.GetError().m_code != platform::PlatformErrc::NotFound) {
    return;
  }
  std::vector<policy::SiteId> sites;
  for (const policy::Site& site : aInput.m_topology.m_sites) {
    sites.push_back(site.m_id);
  }
  const auto config = m_config.Current();
  const auto empty = policy::SteeringTable::Make(aService, config->m_origins, sites);
  if (!empty) {
    return;
  }
  auto table = policy::ShiftPlanner::MakeInitial(*empty, aInput, m_context.m_clock.Wall());
  if (table) {
    if (Publish(aService, std::move(*table), platform::kAbsent) != PublishResult::Published) {
      ReloadTable(aService);
    }
  }
}

void ShiftController::PlanNext(const std::string& aService, const policy::PlanInput& aInput)
{
  const auto newest = m_steering.Newest(aService);
  auto plan = policy::ShiftPlanner::PlanStep(
    newest->m_table, newest->m_seenAt, aInput, m_context.m_clock.Wall());
  if (!plan) {
    Json::Value fields;
    fields["service"] = aService;
    fields["error"] = plan.GetError().Message();
    m_context.m_log.Warning("cannot plan the next step of a shift", fields);
    return;
  }
  Json::Value status(Json::objectValue);
  double remaining = 0;
  for (const double share : plan->m_remaining) {
    remaining += share;
  }
  status["state"] = PlanStateName(plan->m_state);
  status["remaining_share"] = remaining;
  Json::Value fields(status);
  fields["service"] = aService;
  fields["moved_share"] = plan->m_movedShare;
  ShiftStateMachine& machine = m_machines[aService];
  const std::string before = machine.StateName();
  const bool published =
    machine.OnPlan(plan->m_state,
                   { [&] { return Publish(aService, std::move(plan->m_table), newest->m_version); },
                     [&] { ReloadTable(aService); } });
  if (published) {
    m_context.m_events.Record("shift-step", fields);
  }
  if (machine.StateName() != before) {
    fields["from"] = before;
    fields["to"] = machine.StateName();
    m_context.m_events.Record("shift-state", fields);
  }
  std::lock_guard lock(m_mutex);
  m_status[aService] = std::move(status);
}

void ShiftController::ReloadTable(const std::string& aService)
{
  const auto object = m_store.Get("table/" + aService, kCallTimeout);
  if (object) {
    m_steering.Receive(aService, object->m_value, object->m_version);
  }
}

PublishResult ShiftController::Publish(const std::string& aService,
                                       policy::SteeringTable aTable,
                                       platform::Version aExpected)
{
  aTable.SetStamp({ m_context.m_incarnationText, std::to_string(m_nextNonce++) });
  const std::string text = aTable.ToJson();
  const std::string key = "table/" + aService;
  const auto version = m_store.Put(key, text, aExpected, kCallTimeout);
  if (version) {
    m_steering.Receive(aService, text, *version);
    return PublishResult::Published;
  }
  const auto code = version.GetError().m_code;
  // If the response was lost, the write may have taken effect. As after a conflict, planning
  // continues from the table in the store.
  const bool reread =
    code == platform::PlatformErrc::Conflict || code == platform::PlatformErrc::Timeout;
  return reread ? PublishResult::Conflict : PublishResult::StoreFailed;
}

Json::Value ShiftController::Status() const
{
  std::lock_guard lock(m_mutex);
  Json::Value json(Json::objectValue);
  for (const auto& [service, status] : m_status) {
    json[service] = status;
  }
  return json;
}

} // namespace jaylane::entry
