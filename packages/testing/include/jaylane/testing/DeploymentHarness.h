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
  /// Further flags of upstream_standin.
  std::vector<std::string> m_flags;
};

struct DeploymentSpec
{
  std::vector<ZoneSpec> m_zones;
  unsigned m_entryVmsPerZone = 1;
  std::vector<ServiceSpec> m_services;
  /// Value of the object settings/tree; not written if empty.
  std::string m_tree;
  std::string m_peerKey = "test-peer-key-0123";
  std::string m_readToken = "test-read-token-0123";
  std::string m_writeToken = "test-write-token-0123";
  /// Whether traffic between zones and to the platform runs over link relays.
  bool m_links = false;
};

/// A whole deployment of processes: platform, upstreams and entry VMs.
class DeploymentHarness
{
public:
  static constexpr std::chrono::milliseconds kStartTimeout{ 20'000 };

  /// Starts the platform.
  static base::Result<std::unique_ptr<DeploymentHarness>> Make();

  /// Starts upstreams, registers them, starts entry VMs and registers these too.
  base::Status Start(const DeploymentSpec& aSpec);

  /// Starts an entry VM under an id with a new incarnation; a running one is killed first.
  /// @param aId "<zone>-entry-<n>" as given by Start().
  base::Status RestartEntry(const std::string& aId);

  /// Starts an upstream under an id with a new incarnation; a running one is killed first.
  /// @param aId "<service>-<zone>-<n>" as given by Start().
  base::Status RestartUpstream(const std::string& aId);

  /// @param aId VM whose state in the platform's list changes.
  /// @param aState new state.
  base::Status SetState(const std::string& aId, platform::VmState aState);

  /// @param aId VM that the platform's list no longer shows.
  base::Status Unregister(const std::string& aId);

  /// @param aId upstream whose switches change.
  /// @param aJson body of POST /control.
  base::Status ControlUpstream(const std::string& aId, const std::string& aJson);

  /// @param aJson body of POST /control.
  base::Status ControlPlatform(const std::string& aJson);

  /// @return the process of a VM, or nullptr; the latest one after a restart.
  Process* FindProcess(const std::string& aId) const;
  Process& Platform() const { return *m_platform; }

  /// @return the list as registered last.
  const platform::VmList& Vms() const { return m_vms; }
  /// @return the VM, or nullptr.
  const platform::VmEntry* FindVm(const std::string& aId) const;
  /// @return caller addresses of the running entry VMs.
  std::vector<std::string> EntryAddresses() const;
  /// @return files with the execution records of all upstreams.
  std::vector<std::string> UpstreamRecords() const;
  /// @return the links; only with DeploymentSpec::m_links.
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
  base::Status Register();
  platform::VmEntry& Entry(const std::string& aId);
  std::string NewIncarnation();

  std::unique_ptr<ProcessHarness> m_processes;
  Process* m_platform = nullptr;
  std::string m_platformUrl;
  std::unique_ptr<DeploymentLinks> m_links;
  DeploymentSpec m_spec;
  std::map<std::string, UpstreamSpec> m_upstreams;
  std::map<std::string, ZoneSpec> m_entries;
  std::map<std::string, Process*> m_running;
  platform::VmList m_vms;
  unsigned m_starts = 0;
};

} // namespace jaylane::testing
