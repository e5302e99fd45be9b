#include "jaylane/testing/Demo.h"

#include "jaylane/testing/Scenario.h"
#include "jaylane/testing/WaitFor.h"

#include <fmt/format.h>
#include <map>
#include <thread>
#include <utility>

namespace jaylane::testing {

namespace {

/// Time from the edit that adds the law until it takes effect, in which the shift completes.
constexpr std::chrono::seconds kLawNotice{ 5 };
/// Violations that are printed for each rule of the history checker.
constexpr unsigned kMaxPrintedViolations = 3;
constexpr int kExitViolations = 1;
constexpr int kExitFailed = 2;

/// @return settings with which a drain completes within the demo; with the caps of the example
///   trees it would take many minutes.
std::vector<settings::Change> DemoSettingsChanges()
{
  const auto set = [](const char* aKey, Json::Value aValue) {
    return settings::Change{ "/", aKey, std::move(aValue) };
  };
  return { set("shift_window_seconds", 2),
           set("lookup_lifetime_ms", 500),
           set("shift_total_cap_percent", 50),
           set("shift_planned_part_percent", 40),
           set("shift_failover_part_percent", 10),
           set("recovery_hold_seconds", 2),
           set("slow_start_seconds", 1) };
}

base::Result<settings::SettingsTree> LoadTree(const std::string& aPath)
{
  const auto loaded = settings::SettingsTree::LoadYaml(aPath);
  if (!loaded) {
    return base::Error{ {}, settings::ToString(loaded.m_diagnostics) };
  }
  // The law of the example tree takes effect only after any run of the demo, but it contradicts the
  // law that the demo adds.
  auto changes = DemoSettingsChanges();
  for (const settings::Law& law : loaded->Laws()) {
    changes.push_back({ "@laws", law.m_id, std::nullopt });
  }
  const auto changed = loaded->WithChanges(changes);
  if (!changed) {
    return base::Error{ {}, settings::ToString(changed.m_diagnostics) };
  }
  return *changed;
}

void StartCallers(Scenario& aScenario,
                  const settings::SettingsTree& aTree,
                  const DemoOptions& aOptions)
{
  unsigned number = 0;
  for (const settings::Service& service : aTree.Services()) {
    for (const settings::Region& region : aTree.Regions()) {
      CallerOptions caller;
      caller.m_service = service.m_name;
      caller.m_origin = region.m_name;
      caller.m_callerIp = aScenario.CallerAddress(region.m_name, ++number);
      caller.m_rate = aOptions.m_rate;
      caller.m_duration = aOptions.m_duration;
      caller.m_reads = 6;
      caller.m_orders = service.m_idempotentByDefault ? 0 : 6;
      caller.m_uploads = service.m_bulk ? 1 : 0;
      caller.m_resendShare = 0.1;
      aScenario.StartCaller(caller);
    }
  }
}

bool PostEdit(const Scenario& aScenario, const std::string& aPath, const Json::Value& aBody)
{
  const auto response = aScenario.AdminPost(aScenario.EntryVms().front(), aPath, aBody);
  if (!response || response->m_status != 200) {
    fmt::print("edit rejected: {}\n", response ? response->m_body : "no response");
    return false;
  }
  return true;
}

bool DrainZone(const Scenario& aScenario, const settings::Region& aRegion)
{
  const std::string site = aRegion.m_name + "/" + aRegion.m_zones.front();
  fmt::print("draining {}\n", site);
  Json::Value body;
  body["id"] = "demo-drain";
  body["site"] = site;
  const auto current = aScenario.AdminGet(aScenario.EntryVms().front(), "/v1/status");
  body["base_generation"] = current ? (*current)["generation"] : Json::Value(1);
  body["since"] = settings::FormatTime(base::SystemClock::Get().Wall());
  return PostEdit(aScenario, "/v1/drain", body);
}

LegalRule MakeLegalRule(const settings::SettingsTree& aTree, base::WallTime aEffectiveAt)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  LegalRule rule;
  rule.m_service = aTree.Services().back().m_name;
  rule.m_origin = aTree.Regions()[1].m_name;
  rule.m_allowedRegions = { aTree.Regions()[2].m_name };
  rule.m_effectiveMillis =
    static_cast<double>(duration_cast<milliseconds>(aEffectiveAt.time_since_epoch()).count());
  return rule;
}

bool AddLaw(const Scenario& aScenario, const LegalRule& aRule, base::WallTime aEffectiveAt)
{
  fmt::print("law: callers of {} may use {} only in {}\n",
             aRule.m_origin,
             aRule.m_service,
             *aRule.m_allowedRegions.begin());
  Json::Value law;
  law["id"] = "demo-law";
  law["service"] = aRule.m_service;
  law["origin_region"] = aRule.m_origin;
  law["allowed_regions"].append(*aRule.m_allowedRegions.begin());
  law["effective_at"] = settings::FormatTime(aEffectiveAt);
  Json::Value body;
  body["id"] = "demo-law-edit";
  body["path"] = "@laws";
  body["key"] = "demo-law";
  body["value"] = law;
  const auto current = aScenario.AdminGet(aScenario.EntryVms().front(), "/v1/status");
  body["base_generation"] = current ? (*current)["generation"] : Json::Value(1);
  return PostEdit(aScenario, "/v1/edits", body);
}

/// Prints a row for each service and origin region.
/// @return number of requests with unknown outcome.
std::uint64_t PrintOutcomes(const settings::SettingsTree& aTree,
                            const std::deque<Json::Value>& aSummaries)
{
  fmt::print("\n{:<16}{:<14}{:>10}{:>10}{:>10}{:>10}{:>10}\n",
             "service",
             "origin",
             "completed",
             "not-run",
             "unknown",
             "p50 ms",
             "p99 ms");
  std::uint64_t unknown = 0;
  std::size_t row = 0;
  for (const settings::Service& service : aTree.Services()) {
    for (const settings::Region& region : aTree.Regions()) {
      const Json::Value& summary = aSummaries[row++];
      const Json::Value& outcomes = summary["outcomes"];
      fmt::print("{:<16}{:<14}{:>10}{:>10}{:>10}{:>10.1f}{:>10.1f}\n",
                 service.m_name,
                 region.m_name,
                 outcomes["completed"].asUInt64(),
                 outcomes["not-run"].asUInt64(),
                 outcomes["unknown"].asUInt64(),
                 summary["latency"]["p50_ms"].asDouble(),
                 summary["latency"]["p99_ms"].asDouble());
      unknown += outcomes["unknown"].asUInt64();
    }
  }
  return unknown;
}

/// Prints the steps of all shifts, as found in the timelines of the entry VMs.
void PrintShifts(const Scenario& aScenario)
{
  for (const std::string& vm : aScenario.EntryVms()) {
    const auto timeline = aScenario.AdminGet(vm, "/v1/timeline");
    if (!timeline) {
      continue;
    }
    for (const Json::Value& event : (*timeline)["events"]) {
      if (event["kind"].asString() == "shift-step") {
        const Json::Value& fields = event["fields"];
        fmt::print("shift of {}: moved {:.1f}%, {:.1f}% left\n",
                   fields["service"].asString(),
                   100 * fields["moved_share"].asDouble(),
                   100 * fields["remaining_share"].asDouble());
      }
    }
  }
}

int CheckHistory(const Scenario& aScenario, const LegalRule& aRule)
{
  HistoryRules rules;
  rules.m_legalRules.push_back(aRule);
  const auto report = aScenario.Check(rules);
  if (!report) {
    fmt::print("cannot check the history: {}\n", report.GetError().Message());
    return kExitFailed;
  }
  std::map<std::string, unsigned> countsByRule;
  for (const Json::Value& violation : (*report)["violations"]) {
    if (++countsByRule[violation["rule"].asString()] <= kMaxPrintedViolations) {
      fmt::print("violation: {} {} {}\n",
                 violation["rule"].asString(),
                 violation["subject"].asString(),
                 violation["detail"].asString());
    }
  }
  fmt::print("\nrequests {}, attempts {}, executions {}, broken guarantees {}\n",
             (*report)["requests"].asUInt64(),
             (*report)["attempts"].asUInt64(),
             (*report)["executions"].asUInt64(),
             (*report)["violations"].size());
  return (*report)["violations"].empty() ? 0 : kExitViolations;
}

int RunLoad(Scenario& aScenario, const settings::SettingsTree& aTree, const DemoOptions& aOptions)
{
  fmt::print(
    "{} entry VMs serve {} services\n", aScenario.EntryVms().size(), aTree.Services().size());
  StartCallers(aScenario, aTree, aOptions);
  std::this_thread::sleep_for(aOptions.m_duration / 4);
  bool editsAccepted = DrainZone(aScenario, aTree.Regions()[0]);
  std::this_thread::sleep_for(aOptions.m_duration / 4);
  // The shift starts when the law is accepted and is complete when the law takes effect.
  const auto effectiveAt =
    std::chrono::floor<std::chrono::seconds>(base::SystemClock::Get().Wall() + kLawNotice);
  const LegalRule rule = MakeLegalRule(aTree, effectiveAt);
  editsAccepted = AddLaw(aScenario, rule, effectiveAt) && editsAccepted;
  const auto& summaries = aScenario.JoinCallers();
  PrintShifts(aScenario);
  PrintOutcomes(aTree, summaries);
  const int result = CheckHistory(aScenario, rule);
  return editsAccepted ? result : kExitFailed;
}

} // namespace

int RunDemo(const DemoOptions& aOptions)
{
  const auto tree = LoadTree(aOptions.m_treeFile);
  auto deployment = DeploymentHarness::Make();
  if (!tree || !deployment) {
    fmt::print("{}\n", tree ? deployment.GetError().Message() : tree.GetError().Message());
    return kExitFailed;
  }
  if (aOptions.m_keepFiles) {
    (*deployment)->Processes().KeepFiles();
    fmt::print("files: {}\n", (*deployment)->Processes().PathOf(""));
  }
  ScenarioOptions options;
  options.m_tree = *tree;
  options.m_entryVmsPerZone = aOptions.m_entryVmsPerZone;
  options.m_upstreamsPerZone = aOptions.m_upstreamsPerZone;
  auto scenario = Scenario::Make(std::move(*deployment), options);
  if (!scenario) {
    fmt::print("cannot start: {}\n", scenario.GetError().Message());
    return kExitFailed;
  }
  return RunLoad(**scenario, *tree, aOptions);
}

} // namespace jaylane::testing
