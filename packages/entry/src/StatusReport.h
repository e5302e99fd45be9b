#pragma once

#include "Directory.h"

#include <cstdint>
#include <json/value.h>
#include <string>

namespace jaylane::entry {

/// What a VM reports about itself in GET /v1/status.
struct OwnStatus
{
  /// Name of the state in charts/entry-vm.yaml.
  std::string m_lifecycle;
  std::string m_adminAddress;
  /// Newest generation of the settings received.
  std::uint64_t m_generation = 0;
  std::uint64_t m_generationInEffect = 0;
  bool m_storeReachable = false;
};

/// @param aView the platform's list; this VM is included even if the list does not show it yet.
/// @return the members of GET /v1/status that docs/admin-api.md specifies.
Json::Value MakeStatus(const VmContext& aContext,
                       const DirectoryView& aView,
                       const OwnStatus& aStatus);

} // namespace jaylane::entry
