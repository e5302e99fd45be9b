#include "jaylane/base/Clock.h"
#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/Scenario.h"
#include "jaylane/testing/WaitFor.h"

#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <json/reader.h>
#include <json/writer.h>
#include <sstream>
#include <sys/wait.h>

namespace jaylane::testing {
namespace {

constexpr std::chrono::seconds kTimeout{ 20 };

constexpr const char* kTree = R"(regions:
  - { name: north, zones: [north-a] }
  - { name: south, zones: [south-a] }
services:
  - { name: tables, idempotent_by_default: true }
links:
  - { from: north, to: south, rate_mbit_s: 100, one_way_delay_ms: 5 }
  - { from: south, to: north, rate_mbit_s: 100, one_way_delay_ms: 5 }
client_blocks:
  - { prefix: 10.1.0.0/16, region: north }
  - { prefix: 10.2.0.0/16, region: south }
nodes:
  /: { shift_window_seconds: 2, lookup_lifetime_ms: 500, latency_weight_percent: 100 }
)";

/// @return kTree with a second zone in the south. While no load has been measured, half of the
///   capacity counts as used, so that the zones of the south can take over the load of the north.
std::string WideTree()
{
  std::string tree = kTree;
  const std::string zone = "[south-a]";
  return tree.replace(tree.find(zone), zone.size(), "[south-a, south-b]");
}

std::string ReadFile(const std::string& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

/// Output and exit code of a program.
struct Output
{
  int m_code = -1;
  std::string m_out;
  std::string m_err;

  bool Has(const std::string& aText) const { return m_out.find(aText) != std::string::npos; }

  Json::Value Json() const
  {
    Json::Value json;
    std::istringstream stream(m_out);
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder(), stream, &json, &errors);
    return json;
  }
};

std::ostream& operator<<(std::ostream& aStream, const Output& aOutput)
{
  return aStream << "exit code " << aOutput.m_code << "\n" << aOutput.m_out << aOutput.m_err;
}

class CtlE2e : public ::testing::Test
{
protected:
  void SetUp() override
  {
    auto deployment = DeploymentHarness::Make();
    ASSERT_TRUE(deployment);
    m_deployment = std::move(*deployment);
  }

  /// Starts an entry VM in each zone.
  void StartScenario(const std::string& aTree = kTree)
  {
    const auto tree = settings::SettingsTree::ParseYaml(aTree, "tree");
    ASSERT_TRUE(tree) << settings::ToString(tree.m_diagnostics);
    ScenarioOptions options;
    options.m_tree = *tree;
    options.m_entryVmsPerZone = 1;
    auto scenario = Scenario::Make(std::move(m_deployment), options);
    ASSERT_TRUE(scenario) << scenario.GetError().Message();
    m_scenario = std::move(*scenario);
  }

  DeploymentHarness& Deployment() { return m_scenario ? m_scenario->Deployment() : *m_deployment; }

  std::string Write(const std::string& aName, const std::string& aText)
  {
    const std::string path = Deployment().Processes().PathOf(aName);
    std::ofstream(path) << aText;
    return path;
  }

  Output Run(const std::string& aProgram, const std::vector<std::string>& aArguments)
  {
    const std::string name = fmt::format("run-{}", ++m_runs);
    ProcessHarness& processes = Deployment().Processes();
    const auto process = processes.Start(name, aProgram, aArguments);
    EXPECT_TRUE(process);
    const auto status = (*process)->Wait(kTimeout);
    EXPECT_TRUE(status);
    return { status && WIFEXITED(*status) ? WEXITSTATUS(*status) : -1,
             ReadFile(processes.PathOf(name + ".out")),
             ReadFile((*process)->LogFile()) };
  }

  /// Runs jaylanectl against an entry VM.
  /// @param aVm index of the entry VM.
  /// @param aWrites whether to use the write token instead of the read token.
  Output Ctl(std::vector<std::string> aArguments, std::size_t aVm = 0, bool aWrites = true)
  {
    const DeploymentSpec spec;
    const std::string token =
      Write(aWrites ? "write.token" : "read.token", aWrites ? spec.m_writeToken : spec.m_readToken);
    aArguments.push_back("--token_file=" + token);
    aArguments.push_back("--vms=" + AdminAddress(aVm));
    return Run(JAYLANECTL, aArguments);
  }

  std::string AdminAddress(std::size_t aVm)
  {
    std::vector<std::string> addresses;
    for (const platform::VmEntry& vm : Deployment().Vms().m_vms) {
      if (vm.m_role == platform::VmRole::Entry) {
        addresses.push_back(vm.m_adminAddress);
      }
    }
    return addresses.at(aVm);
  }

  std::unique_ptr<DeploymentHarness> m_deployment;
  std::unique_ptr<Scenario> m_scenario;
  int m_runs = 0;
};

// Guards against read commands whose response from the daemon is not as documented.
TEST_F(CtlE2e, ReadsSettings)
{
  ASSERT_NO_FATAL_FAILURE(StartScenario());
  const Output tree = Ctl({ "get" }, 0, false);
  EXPECT_EQ(tree.m_code, 0) << tree;
  EXPECT_TRUE(tree.Has("generation: 1") || tree.Has("generation 1")) << tree;
  EXPECT_TRUE(tree.Has("north-a")) << tree;
  const Output own = Ctl({ "get", "/", "shift_window_seconds" }, 0, false);
  EXPECT_EQ(own.m_code, 0) << own;
  EXPECT_TRUE(own.Has("2")) << own;
  const Output effective =
    Ctl({ "get", "--effective", "/north/tables/north-a", "retry_attempts", "--output=json" });
  EXPECT_EQ(effective.m_code, 0) << effective;
  EXPECT_EQ(effective.Json()["settings"]["retry_attempts"]["from"], "default") << effective;
  const Output unknown = Ctl({ "get", "--effective", "/north/tables/nowhere/x" });
  EXPECT_EQ(unknown.m_code, 2) << unknown;
}

// Guards against edits that are lost, that overwrite another operator's edit, or that are reported
// as in effect before every VM uses them.
TEST_F(CtlE2e, EditsSettings)
{
  ASSERT_NO_FATAL_FAILURE(StartScenario());
  const Output set = Ctl({ "set", "/north", "retry_attempts", "3", "--base_generation=1" });
  EXPECT_EQ(set.m_code, 0) << set;
  EXPECT_TRUE(set.Has("accepted: generation 2")) << set;
  const Output conflict = Ctl({ "set", "/north", "retry_attempts", "4", "--base_generation=1" }, 1);
  EXPECT_EQ(conflict.m_code, 2) << conflict;
  EXPECT_TRUE(conflict.Has("yours:  4")) << conflict;
  EXPECT_TRUE(conflict.Has("theirs: 3 by writer")) << conflict;
  const Output forbidden = Ctl({ "set", "/north", "retry_attempts", "4" }, 0, false);
  EXPECT_EQ(forbidden.m_code, 2) << forbidden;
  EXPECT_TRUE(forbidden.Has("forbidden")) << forbidden;

  const std::string changed = std::string(kTree) + "  /north: { retry_attempts: 5 }\n";
  const std::string file = Write("tree.yaml", changed);
  const Output diff = Ctl({ "diff", file }, 0, false);
  EXPECT_EQ(diff.m_code, 0) << diff;
  EXPECT_TRUE(diff.Has("/north retry_attempts: 3 -> 5")) << diff;
  const Output plan = Ctl({ "plan", file }, 0, false);
  EXPECT_EQ(plan.m_code, 0) << plan;
  EXPECT_TRUE(plan.Has("would-accept")) << plan;
  EXPECT_TRUE(plan.Has("/north/tables/north-a retry_attempts: 3 -> 5")) << plan;
  const Output apply = Ctl({ "apply", file, "--wait" });
  EXPECT_EQ(apply.m_code, 0) << apply;
  EXPECT_TRUE(apply.Has("in effect on every live VM: generation 3")) << apply;
  for (const std::string& vm : m_scenario->EntryVms()) {
    const auto status = m_scenario->AdminGet(vm, "/v1/status");
    ASSERT_TRUE(status);
    EXPECT_EQ((*status)["generation_in_effect"].asUInt64(), 3u);
    EXPECT_EQ((*status)["vms"].size(), 2u);
    EXPECT_EQ((*status)["vm"]["incarnation"].asString(),
              m_scenario->Deployment().FindVm(vm)->m_incarnation);
  }
  const Output history = Ctl({ "history" }, 1, false);
  EXPECT_EQ(history.m_code, 0) << history;
  EXPECT_TRUE(history.Has("writer /north retry_attempts = 5")) << history;
}

// Guards against a wait that ends although a listed VM does not use the new generation yet.
TEST_F(CtlE2e, WaitsForEveryLiveVm)
{
  ASSERT_NO_FATAL_FAILURE(StartScenario());
  const std::string paused = m_scenario->EntryVms().back();
  m_scenario->Deployment().FindProcess(paused)->Pause();
  const std::vector<std::string> arguments{
    "set", "/", "retry_attempts", "4", "--wait", "--wait_seconds=1", "--timeout_ms=500"
  };
  const Output waits = Ctl(arguments);
  m_scenario->Deployment().FindProcess(paused)->Resume();
  EXPECT_EQ(waits.m_code, 6) << waits;
  EXPECT_NE(waits.m_err.find("not in effect: " + paused), std::string::npos) << waits;
}

// Guards against a plan that does not show how long a drain takes, or that changes the settings.
TEST_F(CtlE2e, ForecastsDrain)
{
  ASSERT_NO_FATAL_FAILURE(StartScenario(WideTree()));
  const std::string drain = R"({"site":"north/north-a","since":"2026-01-01T00:00:00Z"})";
  const std::vector<std::string> arguments{ "plan", "set", "@drains", "site:north/north-a", drain };
  const Output table = Ctl(arguments, 0, false);
  EXPECT_EQ(table.m_code, 0) << table;
  EXPECT_TRUE(table.Has("peak use of sites: north/north-a")) << table;
  auto withJson = arguments;
  withJson.push_back("--output=json");
  const Json::Value forecast = Ctl(withJson, 1, false).Json()["forecast"][0];
  EXPECT_EQ(forecast["service"], "tables") << forecast;
  EXPECT_EQ(forecast["state"], "settled") << forecast;
  // Steered by latency alone, the north serves its own callers, which are half of the load. In each
  // window, at most the cap for planned shifts of 6% moves.
  EXPECT_NEAR(forecast["moved_share"].asDouble(), 0.5, 0.05) << forecast;
  EXPECT_GE(forecast["steps"].size(), 8u) << forecast;
  for (const Json::Value& step : forecast["steps"]) {
    EXPECT_LE(step["moved_share"].asDouble(), 0.06) << step;
  }
  // The VM that plans for the service reports the state of its shift.
  const auto isSettled = [this] {
    unsigned planners = 0;
    for (const std::string& vm : m_scenario->EntryVms()) {
      const auto status = m_scenario->AdminGet(vm, "/v1/status");
      const Json::Value shift = status ? (*status)["shifts"]["tables"] : Json::Value();
      planners += shift.isNull() ? 0 : 1;
      EXPECT_TRUE(shift.isNull() || shift["state"] == "settled") << shift;
      EXPECT_TRUE(!status || (*status)["generation"].asUInt64() == 1) << *status;
    }
    return planners > 0;
  };
  EXPECT_TRUE(WaitFor(isSettled, kTimeout));
}

// Guards against a plan that does not show the share of requests that a law refuses until the shift
// is complete.
TEST_F(CtlE2e, ForecastsLaw)
{
  ASSERT_NO_FATAL_FAILURE(StartScenario(WideTree()));
  const auto plan = [this](std::chrono::seconds aNotice) {
    Json::Value law;
    law["id"] = "north-out";
    law["origin_region"] = "north";
    law["allowed_regions"].append("south");
    law["effective_at"] = settings::FormatTime(base::SystemClock::Get().Wall() + aNotice);
    const Output output = Ctl(
      { "plan", "set", "@laws", "north-out", platform::WriteJson(law), "--output=json" }, 0, false);
    EXPECT_EQ(output.m_code, 0) << output;
    const Json::Value json = output.Json();
    return json["forecast"][0]["laws"][0]["refused_share"].asDouble();
  };
  EXPECT_GT(plan(std::chrono::seconds{ 5 }), 0.1);
  EXPECT_EQ(plan(std::chrono::hours{ 2 }), 0);
}

// Guards against drains that the daemon rejects, and against a status that omits VMs.
TEST_F(CtlE2e, DrainsAndShowsStatus)
{
  ASSERT_NO_FATAL_FAILURE(StartScenario());
  const Output drain = Ctl({ "drain", "north/north-a", "--wait" });
  EXPECT_EQ(drain.m_code, 0) << drain;
  const Output get = Ctl({ "get", "@drains" });
  EXPECT_TRUE(get.Has("site:north/north-a")) << get;
  const Output undrain = Ctl({ "undrain", "north/north-a", "--wait" }, 1);
  EXPECT_EQ(undrain.m_code, 0) << undrain;
  EXPECT_TRUE(undrain.Has("generation 3")) << undrain;
  const Output status = Ctl({ "status" }, 0, false);
  EXPECT_EQ(status.m_code, 0) << status;
  EXPECT_TRUE(status.Has("north-a-entry-0")) << status;
  EXPECT_TRUE(status.Has("south-a-entry-0")) << status;
  const Output json = Ctl({ "status", "--output=json" }, 1, false);
  for (const Json::Value& vm : json.Json()) {
    EXPECT_EQ(vm["state"], "running") << json;
    EXPECT_EQ(vm["status"]["generation_in_effect"].asUInt64(), 3u) << json;
    EXPECT_TRUE(vm["status"]["store"]["reachable"].asBool()) << json;
  }
  EXPECT_EQ(json.Json().size(), 2u) << json;
}

// Guards against a timeline that lacks VMs or pages, or whose HTML format is not HTML.
TEST_F(CtlE2e, ShowsTimeline)
{
  ASSERT_NO_FATAL_FAILURE(StartScenario());
  const Output text = Ctl({ "timeline" }, 0, false);
  EXPECT_EQ(text.m_code, 0) << text;
  EXPECT_EQ(text.m_err, "");
  EXPECT_TRUE(text.Has("north-a-entry-0 settings-applied")) << text;
  EXPECT_TRUE(text.Has("south-a-entry-0 settings-applied")) << text;
  const Output json = Ctl({ "timeline", "--format=json", "--kinds=settings-applied" }, 1, false);
  EXPECT_EQ(json.Json()["events"].size(), 2u) << json;
  const Output html = Ctl({ "timeline", "--format=html" }, 0, false);
  EXPECT_EQ(html.m_code, 0) << html.m_err;
  EXPECT_TRUE(html.Has("<!DOCTYPE html>"));
  EXPECT_TRUE(html.Has("settings-applied"));
}

// Guards against an edit during a store outage that is reported as accepted or as unknown.
TEST_F(CtlE2e, RejectsEditsWithoutStore)
{
  ASSERT_NO_FATAL_FAILURE(StartScenario());
  ASSERT_TRUE(Deployment().ControlPlatform(R"({"outage":true})"));
  const Output set = Ctl({ "set", "/", "retry_attempts", "3" });
  EXPECT_EQ(set.m_code, 4) << set;
  const auto reachable = [this] {
    const auto status = m_scenario->AdminGet(m_scenario->EntryVms().front(), "/v1/status");
    return !status || (*status)["store"]["reachable"].asBool();
  };
  EXPECT_TRUE(WaitFor([&] { return !reachable(); }, kTimeout));
  const Output get = Ctl({ "get" });
  EXPECT_EQ(get.m_code, 0) << get;
  ASSERT_TRUE(Deployment().ControlPlatform(R"({"outage":false})"));
  const Output repeated = Ctl({ "set", "/", "retry_attempts", "3" });
  EXPECT_EQ(repeated.m_code, 0) << repeated;
}

// Guards against a new deployment whose first settings tree cannot be written with jaylanectl.
TEST_F(CtlE2e, CreatesFirstGeneration)
{
  DeploymentSpec spec;
  spec.m_zones = { { "north", "north-a" } };
  ASSERT_TRUE(Deployment().Start(spec));
  const auto response = HttpGet("http://" + AdminAddress(0) + "/v1/settings",
                                kTimeout,
                                { "Authorization: Bearer " + spec.m_readToken });
  ASSERT_TRUE(response);
  EXPECT_EQ(response->m_status, 503);
  EXPECT_NE(response->m_body.find("no-settings"), std::string::npos) << response->m_body;
  const Output apply = Ctl({ "apply", Write("tree.yaml", kTree), "--wait" });
  EXPECT_EQ(apply.m_code, 0) << apply;
  EXPECT_TRUE(apply.Has("in effect on every live VM: generation 1")) << apply;
}

// Guards against a check that accepts an invalid file or does not report the line of the problem.
TEST_F(CtlE2e, ChecksFiles)
{
  const std::string vm = Write("vm.yaml",
                               "id: vm-1\nregion: north\nzone: north-a\n"
                               "caller_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n"
                               "admin_address: nowhere\nstore_urls: [http://127.0.0.1:1]\n"
                               "peer_key: 0123456789abcdef\ncaller_threads: 1000\n");
  const std::string tree =
    Write("bad.yaml", std::string(kTree) + "  /north: { retry_attempts: 9 }\n");
  const Output daemon = Run(ProcessHarness::EntryPath(), { "--settings=" + vm, "--check" });
  EXPECT_EQ(daemon.m_code, 2) << daemon;
  const Output ctl = Run(JAYLANECTL, { "--check", vm });
  EXPECT_EQ(ctl.m_code, 5) << ctl;
  for (const std::string& text : { daemon.m_err, ctl.m_out }) {
    EXPECT_NE(text.find(vm + ":6"), std::string::npos) << text;
    EXPECT_NE(text.find("admin_address"), std::string::npos) << text;
    EXPECT_NE(text.find(vm + ":9"), std::string::npos) << text;
    EXPECT_NE(text.find("caller_threads"), std::string::npos) << text;
    EXPECT_NE(text.find("a whole number from 1 to 64"), std::string::npos) << text;
  }
  const Output badTree = Run(JAYLANECTL, { "--check", tree });
  EXPECT_EQ(badTree.m_code, 5) << badTree;
  EXPECT_TRUE(badTree.Has(tree + ":14")) << badTree;
  EXPECT_TRUE(badTree.Has("retry_attempts")) << badTree;
  EXPECT_TRUE(badTree.Has("a whole number from 1 to 5")) << badTree;
  const Output missing =
    Run(ProcessHarness::EntryPath(), { "--settings=" + vm + ".no", "--check" });
  EXPECT_EQ(missing.m_code, 2) << missing;
}

} // namespace
} // namespace jaylane::testing
