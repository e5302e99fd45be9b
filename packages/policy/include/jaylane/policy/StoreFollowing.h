#pragma once

#include "jaylane/base/Clock.h"

#include <algorithm>
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
/// that watch it are killed or lose their connection at any time. A VM that watches passes each
/// change on to the others of its zone over its own link, which may be many times smaller than that
/// of other VMs there.
///
/// All VMs of a zone elect the same few, without messages for the purpose: those with the most
/// processor time, and of equal ones those with the lowest hash of their names.
/// Lists of running VMs that differ for a while only lead to more or fewer watches: a VM relies on
/// others only as long as its view of the store is confirmed often enough, however many VMs there
/// are and whatever happens to them. Not thread safe.
class StoreFollowing
{
public:
  struct Options
  {
    /// Smallest number of VMs that watch the store in each zone.
    std::size_t m_electedPerZone = 2;
    /// A zone elects at least one of this many VMs, so that each VM hears one often enough.
    std::size_t m_vmsPerElected = 12;
    /// Time without a confirmation of its view after which a VM watches by itself.
    std::chrono::milliseconds m_confirmationTimeout{ 1000 };
  };

  /// A VM of a zone.
  struct Vm
  {
    std::string m_name;
    /// Processor cores; 0 if unknown, which counts as fewer than any number.
    double m_cores = 0;
  };

  /// @param aDrainTime time for which an upstream serves after it has announced that it leaves.
  /// @return options with which a VM that relies on others learns of the leaving in time.
  static Options OptionsFor(std::chrono::milliseconds aDrainTime);

  /// @param aOwn this VM.
  StoreFollowing(Options aOptions, Vm aOwn)
    : m_options(aOptions)
    , m_own(std::move(aOwn))
  {
  }

  /// This VM has every change that a VM which watches the store successfully had seen at a time.
  void OnViewConfirmed(base::MonotonicTime aSeenAt)
  {
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, aSeenAt) : aSeenAt;
  }

  /// @param aZoneVms the running VMs in this VM's zone, without this VM.
  StoreRole Decide(const std::vector<Vm>& aZoneVms, base::MonotonicTime aNow) const;

  /// @param aZoneVms the known VMs of any zone.
  /// @return names of those that watch the store as far as this VM knows.
  std::vector<std::string> ElectedAmong(std::vector<Vm> aZoneVms) const;

  /// @return whether the zone has VMs that are not elected.
  bool HasDependents(const std::vector<Vm>& aZoneVms) const
  {
    return aZoneVms.size() + 1 > ElectedCount(aZoneVms.size() + 1);
  }

private:
  std::size_t ElectedCount(std::size_t aZoneVms) const;

  Options m_options;
  Vm m_own;
  std::optional<base::MonotonicTime> m_confirmedAt;
};

} // namespace jaylane::policy
