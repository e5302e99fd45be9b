#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::policy {

/// How a VM learns of changes in the platform's store.
enum class StoreRole
{
  /// Watches the store, because the VMs of its availability zone chose it.
  Elected,
  /// Watches the store with long pauses after failures, because no elected VM is heard.
  Fallback,
  /// Fetches changes from the peer that announces them.
  Relying,
};

/// Decides which VMs of an availability zone watch the platform's store.
/// Load pattern: hundreds of VMs need the same changes, each call to the store is charged, and VMs
/// that watch it are killed or lose their connection at any time.
///
/// All VMs of a zone elect the same few by a hash of their names, without messages for the purpose.
/// Views that differ for a while only lead to more or fewer watches: a VM relies on others only as
/// long as one that watches successfully is heard. Not thread safe.
class StoreFollowing
{
public:
  struct Options
  {
    /// VMs that watch the store in each zone.
    std::size_t m_electedPerZone = 2;
    /// Time without an announcement of a successful watch after which a VM watches by itself.
    std::chrono::milliseconds m_followerTimeout{ 3000 };
  };

  /// @param aName name of this VM.
  StoreFollowing(Options aOptions, std::string aName)
    : m_options(aOptions)
    , m_name(std::move(aName))
  {
  }

  /// Another VM announced that it watches the store successfully.
  void OnFollowerHeard(base::MonotonicTime aNow) { m_lastHeard = aNow; }

  /// @param aZoneVms names of the running VMs in this VM's zone, without this VM.
  StoreRole Decide(const std::vector<std::string>& aZoneVms, base::MonotonicTime aNow) const;

  /// @return whether the zone has VMs that are not elected.
  bool HasDependents(const std::vector<std::string>& aZoneVms) const
  {
    return aZoneVms.size() + 1 > m_options.m_electedPerZone;
  }

private:
  Options m_options;
  std::string m_name;
  std::optional<base::MonotonicTime> m_lastHeard;
};

} // namespace jaylane::policy
