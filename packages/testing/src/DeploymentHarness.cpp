#include "jaylane/testing/DeploymentHarness.h"

#include "DeploymentSettings.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/HttpCall.h"
#include "jaylane/testing/TestingError.h"

#include <algorithm>
#include <fmt/format.h>

namespace jaylane::testing {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 10'000 };

base::Status PostJson(const std::string& aUrl, const std::string& aJson)
{
  const auto response = HttpPost(aUrl, aJson, kCallTimeout);
  if (!response || response->m_status != 200) {
    return MakeError(TestingErrc::Timeout,
                     fmt::format("POST {}: status {}", aUrl, response ? response->m_status : 0));
  }
  return base::Success{};
}

} // namespace

base::Result<std::unique_ptr<DeploymentHarness>> DeploymentHarness::Make()
{
  std::unique_ptr<DeploymentHarness> harness(new DeploymentHarness());
  auto processes = ProcessHarness::Make();
  if (!processes) {
    return processes.GetError();
  }
  harness->m_processes = std::move(*processes);
  auto platform =
    harness->m_processes->Start("platform", ProcessHarness::ProgramPath("platform_standin"), {});
  if (!platform) {
    return platform.GetError();
  }
  harness->m_platform = *platform;
  const auto line = harness->m_platform->FirstLine(kStartTimeout);
  if (!line) {
    return line.GetError();
  }
  harness->m_platformUrl = "http://" + (*line)["address"].asString();
  return harness;
}

base::Status DeploymentHarness::Start(const DeploymentSpec& aSpec)
{
  m_spec = aSpec;
  if (aSpec.m_links) {
    auto links = DeploymentLinks::Make(aSpec.m_zones, m_platformUrl);
    if (!links) {
      return links.GetError();
    }
    m_links = std::move(*links);
  }
  for (const ZoneSpec& zone : aSpec.m_zones) {
    for (const ServiceSpec& service : aSpec.m_services) {
      for (unsigned i = 0; i < service.m_upstreamsPerZone; ++i) {
        const std::string id = fmt::format("{}-{}-{}", service.m_name, zone.m_zone, i);
        m_upstreams[id] = { service, zone };
        if (auto status = StartUpstream(id); !status) {
          return status;
        }
      }
    }
  }
  if (!aSpec.m_tree.empty()) {
    platform::HttpStore store({ m_platformUrl });
    const auto version = store.Put("settings/tree", aSpec.m_tree, platform::kAbsent, kCallTimeout);
    if (!version) {
      return version.GetError();
    }
  }
  if (auto status = PublishVms(); !status) {
    return status;
  }
  for (const ZoneSpec& zone : aSpec.m_zones) {
    for (unsigned i = 0; i < aSpec.m_entryVmsPerZone; ++i) {
      const std::string id = fmt::format("{}-entry-{}", zone.m_zone, i);
      m_entries[id] = zone;
      if (auto status = StartEntry(id); !status) {
        return status;
      }
    }
  }
  return PublishVms();
}

base::Status DeploymentHarness::StartUpstream(const std::string& aId)
{
  const UpstreamSpec& spec = m_upstreams.at(aId);
  std::vector<std::string> arguments{ "--id=" + aId,
                                      "--service=" + spec.m_service.m_name,
                                      "--region=" + spec.m_zone.m_region,
                                      "--zone=" + spec.m_zone.m_zone,
                                      fmt::format("--slots={}", spec.m_service.m_slots),
                                      fmt::format("--service_ms={}",
                                                  spec.m_service.m_serviceTime.count()),
                                      "--records=" + m_processes->PathOf(aId + ".records") };
  arguments.insert(arguments.end(), spec.m_service.m_flags.begin(), spec.m_service.m_flags.end());
  const auto process = m_processes->Start(fmt::format("{}.{}", aId, ++m_startCount),
                                          ProcessHarness::ProgramPath("upstream_standin"),
                                          arguments);
  if (!process) {
    return process.GetError();
  }
  m_vmProcesses[aId] = *process;
  const auto line = (*process)->FirstLine(kStartTimeout);
  if (!line) {
    return line.GetError();
  }
  platform::VmEntry& vm = FindOrAddVm(aId);
  vm.m_role = platform::VmRole::Upstream;
  vm.m_service = spec.m_service.m_name;
  vm.m_region = spec.m_zone.m_region;
  vm.m_zone = spec.m_zone.m_zone;
  vm.m_address = (*line)["address"].asString();
  vm.m_slots = spec.m_service.m_slots;
  // Default of the flag --connections of upstream_standin.
  vm.m_connections = 400;
  vm.m_incarnation = MakeIncarnation();
  vm.m_state = platform::VmState::Running;
  return base::Success{};
}

base::Status DeploymentHarness::StartEntry(const std::string& aId)
{
  const ZoneSpec& zone = m_entries.at(aId);
  EntrySettings settings;
  settings.m_id = aId;
  settings.m_region = zone.m_region;
  settings.m_zone = zone.m_zone;
  settings.m_platformUrl = m_links ? m_links->PlatformUrl(zone.m_zone) : m_platformUrl;
  settings.m_peerKey = m_spec.m_peerKey;
  settings.m_readToken = m_spec.m_readToken;
  settings.m_writeToken = m_spec.m_writeToken;
  const std::string file = m_processes->PathOf(aId + ".yaml");
  if (auto status = WriteEntrySettings(file, settings); !status) {
    return status;
  }
  const auto process = m_processes->Start(fmt::format("{}.{}", aId, ++m_startCount),
                                          ProcessHarness::EntryPath(),
                                          { "--settings=" + file });
  if (!process) {
    return process.GetError();
  }
  m_vmProcesses[aId] = *process;
  const auto line = (*process)->FirstLine(kStartTimeout);
  if (!line) {
    return line.GetError();
  }
  platform::VmEntry& vm = FindOrAddVm(aId);
  vm.m_role = platform::VmRole::Entry;
  vm.m_region = zone.m_region;
  vm.m_zone = zone.m_zone;
  vm.m_address = (*line)["caller_address"].asString();
  vm.m_peerAddress = (*line)["peer_address"].asString();
  vm.m_adminAddress = (*line)["admin_address"].asString();
  vm.m_incarnation = (*line)["incarnation"].asString();
  vm.m_state = platform::VmState::Running;
  return base::Success{};
}

base::Status DeploymentHarness::RestartEntry(const std::string& aId)
{
  if (Process* process = FindProcess(aId)) {
    process->Kill();
  }
  auto status = StartEntry(aId);
  return status ? PublishVms() : status;
}

base::Status DeploymentHarness::RestartUpstream(const std::string& aId)
{
  if (Process* process = FindProcess(aId)) {
    process->Kill();
  }
  auto status = StartUpstream(aId);
  return status ? PublishVms() : status;
}

base::Status DeploymentHarness::SetState(const std::string& aId, platform::VmState aState)
{
  FindOrAddVm(aId).m_state = aState;
  return PublishVms();
}

base::Status DeploymentHarness::Unregister(const std::string& aId)
{
  std::erase_if(m_vms.m_vms, [&](const auto& aVm) { return aVm.m_id == aId; });
  return PublishVms();
}

base::Status DeploymentHarness::ControlUpstream(const std::string& aId, const std::string& aJson)
{
  return PostJson("http://" + FindOrAddVm(aId).m_address + "/control", aJson);
}

base::Status DeploymentHarness::ControlPlatform(const std::string& aJson)
{
  return PostJson(m_platformUrl + "/control", aJson);
}

base::Status DeploymentHarness::PublishVms()
{
  const std::string url = m_platformUrl + "/control/vms";
  auto status = PostJson(url, platform::WriteJson(m_vms.ToJson()));
  for (const ZoneSpec& zone : m_spec.m_zones) {
    if (!m_links || !status) {
      break;
    }
    const auto view = m_links->View(zone.m_zone, m_vms);
    if (!view) {
      return view.GetError();
    }
    status = PostJson(url + "?view=" + zone.m_zone, platform::WriteJson(view->ToJson()));
  }
  return status;
}

platform::VmEntry& DeploymentHarness::FindOrAddVm(const std::string& aId)
{
  auto& vms = m_vms.m_vms;
  const auto found =
    std::find_if(vms.begin(), vms.end(), [&](const auto& aVm) { return aVm.m_id == aId; });
  if (found != vms.end()) {
    return *found;
  }
  vms.emplace_back().m_id = aId;
  return vms.back();
}

const platform::VmEntry* DeploymentHarness::FindVm(const std::string& aId) const
{
  const auto& vms = m_vms.m_vms;
  const auto found =
    std::find_if(vms.begin(), vms.end(), [&](const auto& aVm) { return aVm.m_id == aId; });
  return found == vms.end() ? nullptr : &*found;
}

Process* DeploymentHarness::FindProcess(const std::string& aId) const
{
  const auto found = m_vmProcesses.find(aId);
  return found == m_vmProcesses.end() ? nullptr : found->second;
}

std::vector<std::string> DeploymentHarness::EntryAddresses() const
{
  std::vector<std::string> addresses;
  for (const auto& [id, zone] : m_entries) {
    const platform::VmEntry* vm = FindVm(id);
    if (vm && vm->m_state == platform::VmState::Running && FindProcess(id)->Running()) {
      addresses.push_back(vm->m_address);
    }
  }
  return addresses;
}

std::vector<std::string> DeploymentHarness::UpstreamRecords() const
{
  std::vector<std::string> files;
  for (const auto& [id, spec] : m_upstreams) {
    files.push_back(m_processes->PathOf(id + ".records"));
  }
  return files;
}

std::string DeploymentHarness::MakeIncarnation()
{
  // 128 bits in hexadecimal, the format of the daemon's incarnations, which are part of scopes.
  return fmt::format("{:032x}", ++m_startCount);
}

} // namespace jaylane::testing
