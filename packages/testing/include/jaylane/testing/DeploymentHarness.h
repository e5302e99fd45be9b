#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/platform/HttpStore.h"
#include "jaylane/platform/VmList.h"
#include "jaylane/testing/DeploymentLinks.h"
#include "jaylane/testing/ProcessHarness.h"

#include <chrono>
#include <json/value.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::testing {

struct ServiceSpec
{
  std::string m_name;
  unsigned m_upstreamsPerZone = 1;
  unsigned m_slots = 4;
  std::chrono::milliseconds m_serviceTime{ 20 };
  /// Additional flags of upstream_standin.
  std::vector<std::string> m_flags;
};

struct DeploymentSpec
{
  std::vector<ZoneSpec> m_zones;
  unsigned m_entryVmsPerZone = 1;
  std::vector<ServiceSpec> m_services;
  /// Value of the store object settings/tree; not written if empty.
  std::string m_tree;
  std::string m_peerKey = "test-peer-key-0123";
  std::string m_readToken = "test-read-token-0123";
  std::string m_writeToken = "test-write-token-0123";
  /// Whether traffic between zones and to the platform passes through link relays.
  bool m_links = false;
};

/// A complete deployment of local processes: platform, upstreams and entry VMs.
class DeploymentHarness
{
public:
  static constexpr std::chrono::milliseconds kStartTimeout{ 20'000 };

  /// Starts the platform stand-in.
  static base::Result<std::unique_ptr<DeploymentHarness>> Make();

  /// Starts the upstreams, publishes them in the VM list, starts the entry VMs and publishes these
  /// too.
  base::Status Start(const DeploymentSpec& aSpec);

  /// Starts a new incarnation of an entry VM; a running one is killed first.
  /// @param aId "<zone>-entry-<n>" as given by Start().
  base::Status RestartEntry(const std::string& aId);

  /// Starts a new incarnation of an upstream; a running one is killed first.
  /// @param aId "<service>-<zone>-<n>" as given by Start().
  base::Status RestartUpstream(const std::string& aId);

  /// @param aId VM whose state in the platform's VM list changes.
  /// @param aState new state.
  base::Status SetState(const std::string& aId, platform::VmState aState);

  /// @param aId VM to remove from the platform's VM list.
  base::Status Unregister(const std::string& aId);

  /// @param aId upstream whose controls change.
  /// @param aJson body of POST /control.
  base::Status ControlUpstream(const std::string& aId, const std::string& aJson);

  /// @param aJson body of POST /control.
  base::Status ControlPlatform(const std::string& aJson);

  /// @return the latest process of a VM, or nullptr if none was started.
  Process* FindProcess(const std::string& aId) const;
  Process& Platform() const { return *m_platform; }

  /// @return the VM list as published last, without addresses of links.
  const platform::VmList& Vms() const { return m_vms; }
  /// @return the VM's entry in the VM list, or nullptr.
  const platform::VmEntry* FindVm(const std::string& aId) const;
  /// @return caller addresses of the running entry VMs.
  std::vector<std::string> EntryAddresses() const;
  /// @return paths of the execution record files of all upstreams.
  std::vector<std::string> UpstreamRecords() const;
  /// @return the links. Requires DeploymentSpec::m_links.
  DeploymentLinks& Links() const { return *m_links; }
  const std::string& PlatformUrl() const { return m_platformUrl; }
  ProcessHarness& Processes() { return *m_processes; }
  const ProcessHarness& Processes() const { return *m_processes; }

private:
  struct UpstreamSpec
  {
    ServiceSpec m_service;
    ZoneSpec m_zone;
  };

  DeploymentHarness() = default;
  base::Status StartUpstream(const std::string& aId);
  base::Status StartEntry(const std::string& aId);
  /// Sends the VM list, and the view of each zone if there are links, to the platform.
  base::Status PublishVms();
  platform::VmEntry& FindOrAddVm(const std::string& aId);
  std::string MakeIncarnation();

  std::unique_ptr<ProcessHarness> m_processes;
  Process* m_platform = nullptr;
  std::string m_platformUrl;
  std::unique_ptr<DeploymentLinks> m_links;
  DeploymentSpec m_spec;
  std::map<std::string, UpstreamSpec> m_upstreams;
  std::map<std::string, ZoneSpec> m_entries;
  std::map<std::string, Process*> m_vmProcesses;
  platform::VmList m_vms;
  unsigned m_startCount = 0;
};

} // namespace jaylane::testing
