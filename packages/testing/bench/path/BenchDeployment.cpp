#include "BenchDeployment.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/HttpCall.h"

#include <fmt/format.h>

namespace jaylane::testing {

namespace {

constexpr std::chrono::seconds kCallTimeout{ 2 };
// Each client block has a bucket of its own, so that traffic is shifted in small steps.
constexpr unsigned kClientBlocksPerRegion = 16;
constexpr unsigned kCallersPerRegion = 8;
// First octet of the addresses of region 0; each further region has the next one.
constexpr unsigned kFirstAddressOctet = 10;

std::string MakeTreeYaml(const BenchDeploymentOptions& aOptions)
{
  std::string regions;
  std::string blocks;
  std::string links;
  for (unsigned region = 0; region < aOptions.m_regions; ++region) {
    std::string zones;
    for (unsigned zone = 0; zone < aOptions.m_zonesPerRegion; ++zone) {
      zones += (zone ? ", " : "") + BenchZone(region, zone);
    }
    regions += fmt::format("  - {{ name: {}, zones: [{}] }}\n", BenchRegion(region), zones);
    for (unsigned block = 0; block < kClientBlocksPerRegion; ++block) {
      blocks += fmt::format("  - {{ prefix: 10.{}.{}.0/24, region: {} }}\n",
                            kFirstAddressOctet + region,
                            block,
                            BenchRegion(region));
    }
    for (unsigned to = 0; to < aOptions.m_regions; ++to) {
      if (to != region) {
        links +=
          fmt::format("  - {{ from: {}, to: {}, rate_mbit_s: 4000, one_way_delay_ms: 20 }}\n",
                      BenchRegion(region),
                      BenchRegion(to));
      }
    }
  }
  return fmt::format("regions:\n{}services:\n"
                     "  - {{ name: {}, idempotent_by_default: true, bulk: false }}\n"
                     "client_blocks:\n{}links:{}laws: []\ndrains: []\nnodes:\n  /:\n"
                     "    shift_window_seconds: 2\n    lookup_lifetime_ms: 500\n"
                     "    shift_total_cap_percent: 50\n    shift_planned_part_percent: 40\n"
                     "    shift_failover_part_percent: 10\n    recovery_hold_seconds: 2\n"
                     "    slow_start_seconds: 1\n    request_timeout_ms: 60000\n",
                     regions,
                     kBenchService,
                     blocks,
                     links.empty() ? " []\n" : "\n" + links);
}

} // namespace

std::string BenchRegion(unsigned aRegion)
{
  return fmt::format("region-{}", aRegion);
}

std::string BenchZone(unsigned aRegion, unsigned aZone)
{
  return fmt::format("zone-{}-{}", aRegion, aZone);
}

base::Result<std::unique_ptr<Scenario>> StartBenchDeployment(const BenchDeploymentOptions& aOptions)
{
  const auto tree = settings::SettingsTree::ParseYaml(MakeTreeYaml(aOptions), "bench");
  if (!tree) {
    return base::Error{ {}, settings::ToString(tree.m_diagnostics) };
  }
  auto deployment = DeploymentHarness::Make();
  if (!deployment) {
    return deployment.GetError();
  }
  ScenarioOptions options;
  options.m_tree = *tree;
  options.m_entryVmsPerZone = aOptions.m_entryVmsPerZone;
  options.m_upstreamsPerZone = aOptions.m_upstreamsPerZone;
  options.m_slots = kBenchSlots;
  options.m_serviceTime = aOptions.m_serviceTime;
  return Scenario::Make(std::move(*deployment), options);
}

void StartBenchCallers(Scenario& aScenario,
                       unsigned aRegions,
                       double aRate,
                       std::chrono::milliseconds aDuration)
{
  for (unsigned region = 0; region < aRegions; ++region) {
    for (unsigned number = 0; number < kCallersPerRegion; ++number) {
      CallerOptions caller;
      caller.m_service = kBenchService;
      caller.m_callerIp = fmt::format("10.{}.{}.1", kFirstAddressOctet + region, number);
      caller.m_rate = aRate / kCallersPerRegion;
      caller.m_duration = aDuration;
      aScenario.StartCaller(caller);
    }
  }
}

std::uint64_t ExecutedRequests(Scenario& aScenario, const std::string& aUpstream)
{
  const auto* vm = aScenario.Deployment().FindVm(aUpstream);
  const auto response =
    vm ? HttpGet("http://" + vm->m_address + "/control/stats", kCallTimeout) : std::nullopt;
  const auto json = response ? platform::ParseJsonObject(response->m_body) : std::nullopt;
  return json ? (*json)["executed"].asUInt64() : 0;
}

} // namespace jaylane::testing
