#include "jaylane/testing/Scenario.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/settings/SettingsDocument.h"
#include "jaylane/testing/CallerLoad.h"
#include "jaylane/testing/HistoryChecker.h"
#include "jaylane/testing/TestingError.h"
#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jaylane::testing {

namespace {

constexpr std::chrono::seconds kServingTimeout{ 20 };
constexpr std::chrono::seconds kCallTimeout{ 10 };

DeploymentSpec MakeSpec(const ScenarioOptions& aOptions)
{
  DeploymentSpec spec;
  for (const settings::Region& region : aOptions.m_tree.Regions()) {
    for (const std::string& zone : region.m_zones) {
      spec.m_zones.push_back({ region.m_name, zone });
    }
  }
  for (const settings::Service& service : aOptions.m_tree.Services()) {
    spec.m_services.push_back({ service.m_name,
                                aOptions.m_upstreamsPerZone,
                                aOptions.m_slots,
                                aOptions.m_serviceTime,
                                aOptions.m_upstreamFlags });
  }
  spec.m_entryVmsPerZone = aOptions.m_entryVmsPerZone;
  spec.m_links = aOptions.m_links;
  settings::SettingsDocument document;
  document.m_generation = 1;
  document.m_tree = aOptions.m_tree;
  spec.m_tree = document.Serialize();
  return spec;
}

} // namespace

Scenario::Scenario(std::unique_ptr<DeploymentHarness> aDeployment, settings::SettingsTree aTree)
  : m_deployment(std::move(aDeployment))
  , m_tree(std::move(aTree))
{
}

Scenario::~Scenario()
{
  JoinCallers();
}

base::Result<std::unique_ptr<Scenario>> Scenario::Make(
  std::unique_ptr<DeploymentHarness> aDeployment,
  const ScenarioOptions& aOptions)
{
  std::unique_ptr<Scenario> scenario(new Scenario(std::move(aDeployment), aOptions.m_tree));
  const auto started = scenario->m_deployment->Start(MakeSpec(aOptions));
  if (!started) {
    return started.GetError();
  }
  for (const std::string& vm : scenario->EntryVms()) {
    if (!WaitFor([&] { return scenario->IsServing(vm); }, kServingTimeout)) {
      return MakeError(TestingErrc::Timeout,
                       fmt::format("entry VM {} does not answer lookups for all services", vm));
    }
  }
  return scenario;
}

std::vector<std::string> Scenario::EntryVms() const
{
  std::vector<std::string> ids;
  for (const platform::VmEntry& vm : m_deployment->Vms().m_vms) {
    if (vm.m_role == platform::VmRole::Entry) {
      ids.push_back(vm.m_id);
    }
  }
  return ids;
}

std::string Scenario::CallerAddress(const std::string& aRegion, unsigned aNumber) const
{
  for (const settings::ClientBlock& block : m_tree.ClientBlocks()) {
    if (block.m_region == aRegion) {
      const std::uint32_t hosts = std::uint32_t{ 1 } << (32 - block.m_prefix.m_length);
      // An odd factor permutes the hosts of the block, whose number is a power of two.
      const std::uint32_t address = block.m_prefix.m_address + (aNumber * 2654435761U) % hosts;
      return fmt::format("{}.{}.{}.{}",
                         address >> 24,
                         (address >> 16) & 0xff,
                         (address >> 8) & 0xff,
                         address & 0xff);
    }
  }
  return {};
}

bool Scenario::IsServing(const std::string& aVm) const
{
  const platform::VmEntry* vm = m_deployment->FindVm(aVm);
  const std::string caller = CallerAddress(m_tree.Regions().front().m_name, 1);
  const auto& services = m_tree.Services();
  return vm &&
         std::all_of(services.begin(), services.end(), [&](const settings::Service& aService) {
           const auto response = HttpGet(
             fmt::format(
               "http://{}/v1/lookup?service={}&caller={}", vm->m_address, aService.m_name, caller),
             kCallTimeout);
           return response && response->m_status == 200;
         });
}

void Scenario::StartCaller(CallerOptions aOptions)
{
  const std::size_t number = m_threads.size();
  if (aOptions.m_entries.empty()) {
    aOptions.m_entries = m_deployment->EntryAddresses();
  }
  aOptions.m_name = fmt::format("caller-{}", number);
  aOptions.m_recordFile = m_deployment->Processes().PathOf(aOptions.m_name + ".records");
  aOptions.m_seed += static_cast<std::uint32_t>(number);
  m_callerFiles.push_back(aOptions.m_recordFile);
  m_summaries.emplace_back();
  // References to the elements of a deque stay valid when elements are appended.
  m_threads.emplace_back([&summary = m_summaries.back(), options = std::move(aOptions)] {
    const auto load = CallerLoad::Make(options);
    summary = load ? (*load)->Run() : Json::Value(load.GetError().Message());
  });
}

const std::deque<Json::Value>& Scenario::JoinCallers()
{
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  return m_summaries;
}

base::Result<Json::Value> Scenario::Check(const HistoryRules& aRules) const
{
  HistoryChecker checker(aRules);
  for (const std::string& file : m_callerFiles) {
    if (const auto status = checker.AddCallerFile(file); !status) {
      return status.GetError();
    }
  }
  for (const std::string& file : m_deployment->UpstreamRecords()) {
    if (const auto status = checker.AddUpstreamFile(file); !status) {
      return status.GetError();
    }
  }
  return checker.Report();
}

std::optional<Json::Value> Scenario::AdminGet(const std::string& aVm,
                                              const std::string& aPath) const
{
  const auto response =
    HttpGet(fmt::format("http://{}{}", m_deployment->FindVm(aVm)->m_adminAddress, aPath),
            kCallTimeout,
            { "Authorization: Bearer " + DeploymentSpec().m_readToken });
  return response && response->m_status == 200 ? platform::ParseJsonObject(response->m_body)
                                               : std::nullopt;
}

std::optional<HttpClientResponse> Scenario::AdminPost(const std::string& aVm,
                                                      const std::string& aPath,
                                                      const Json::Value& aBody) const
{
  return HttpPost(fmt::format("http://{}{}", m_deployment->FindVm(aVm)->m_adminAddress, aPath),
                  platform::WriteJson(aBody),
                  kCallTimeout,
                  { "Authorization: Bearer " + DeploymentSpec().m_writeToken });
}

} // namespace jaylane::testing
