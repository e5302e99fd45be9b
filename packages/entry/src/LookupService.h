#pragma once

#include "ConfigState.h"
#include "Directory.h"
#include "SteeringState.h"
#include "SynchronizedExecutionLedger.h"
#include "jaylane/proxy/CallerServer.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace jaylane::entry {

/// Responds to lookups from the settings, the steering table and the VM list. Thread safe.
class LookupService
{
public:
  /// Most VMs that a response names.
  static constexpr std::size_t kMaxVms = 4;

  /// @param aScopeOf returns the current execution scope of a VM by incarnation, as learned from
  ///   peers; empty if it is not known.
  LookupService(const VmContext& aContext,
                const ConfigState& aConfig,
                const Directory& aDirectory,
                const SteeringState& aSteering,
                std::function<std::string(const std::string&)> aScopeOf);

  proxy::LookupResponse Handle(const proxy::LookupRequest& aRequest) const;

  /// Omits this VM from all further responses.
  void ExcludeSelf() { m_excludeSelf = true; }

private:
  /// @return VMs of the assigned site, then those of other sites, as far as legal rules and the
  ///   filter allow them.
  std::vector<const EntryVmRef*> PickVms(const DirectoryView& aView,
                                         const policy::SteeringTable& aTable,
                                         policy::SiteIndex aSite,
                                         const ServiceConfig& aService,
                                         const CallerOrigin& aOrigin,
                                         Directory::VmFilter aFilter) const;
  void AppendSiteVms(const DirectoryView& aView,
                     const policy::SiteId& aSite,
                     std::uint32_t aBlock,
                     Directory::VmFilter aFilter,
                     std::vector<const EntryVmRef*>& aVms) const;
  std::string FormatResponse(const ServiceConfig& aService,
                             std::uint64_t aGeneration,
                             const std::vector<const EntryVmRef*>& aVms) const;

  const VmContext& m_context;
  const ConfigState& m_config;
  const Directory& m_directory;
  const SteeringState& m_steering;
  const std::function<std::string(const std::string&)> m_scopeOf;
  std::atomic<bool> m_excludeSelf{ false };
};

} // namespace jaylane::entry
