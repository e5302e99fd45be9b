#pragma once

#include "jaylane/policy/LookupScope.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jaylane::policy {

/// What VMs know of each other from announcements like those of the gateway: every 400 ms to eight
/// VMs of the own zone in turn, to two random ones of the rest of the region and to two of other
/// regions. Counts what lookups at all running VMs return.
class AnnouncementModel
{
public:
  using Time = std::chrono::milliseconds;

  enum class State
  {
    Down,
    Starting,
    Ready,
    Leaving
  };

  /// Lookups of one kind of caller, while a VM of the caller's region was ready.
  struct Counts
  {
    std::uint64_t m_lookups = 0;
    std::uint64_t m_otherRegion = 0;
    std::uint64_t m_unanswered = 0;
    /// Names of VMs that were not running, and all names.
    std::uint64_t m_deadNames = 0;
    std::uint64_t m_names = 0;
    /// Fewest ready VMs in an answer of another region.
    std::size_t m_fewestOutside = SIZE_MAX;

    double OtherRegionShare() const
    {
      return m_lookups == 0 ? 0
                            : static_cast<double>(m_otherRegion) / static_cast<double>(m_lookups);
    }
  };

  /// @param aVms number of VMs, spread over the zones in turn.
  /// @param aZones number of zones, spread over three regions.
  AnnouncementModel(std::size_t aVms, std::size_t aZones, std::uint32_t aSeed);

  std::size_t Size() const { return m_vms.size(); }
  void SetState(std::size_t aVm, State aState);
  /// Stops VMs, as many at a time and as often as given, and starts each of them again 4 s later.
  void Roll(double aShare, std::size_t aAtATime, Time aGap);
  /// Runs announcements and lookups.
  void RunFor(Time aTime);
  /// Forgets the counts.
  void ResetCounts() { m_own = m_other = {}; }

  /// @return the answer of a VM to a caller of a zone.
  LookupScope::Decision Decide(std::size_t aVm, std::size_t aZone) const;

  /// Lookups at VMs of the caller's region, and of other regions.
  const Counts& Own() const { return m_own; }
  const Counts& Other() const { return m_other; }
  /// Longest time for which a running VM named another region without a break.
  Time LongestOther() const { return m_longestOther; }
  /// Longest time that a VM returned beside a running one had been down.
  Time LongestDeadNamed() const { return m_longestDeadNamed; }

private:
  /// What a VM knows of another one.
  struct View
  {
    bool m_isKnown = false;
    std::optional<Time> m_heardAt;
    bool m_isReady = false;
    bool m_isLeaving = false;
  };

  struct Vm
  {
    std::string m_name;
    std::size_t m_zone = 0;
    State m_state = State::Down;
    Time m_startedAt{ 0 };
    Time m_downSince{ 0 };
    Time m_announceAt{ 0 };
    std::size_t m_nextZonePeer = 0;
    std::vector<View> m_views;
    /// Since when lookups of each region have named another one.
    std::vector<std::optional<Time>> m_otherSince;
  };

  struct Change
  {
    Time m_at;
    std::size_t m_vm;
    State m_state;
  };

  std::size_t RegionOf(std::size_t aZone) const { return aZone % 3; }
  void Announce(std::size_t aVm, bool aToWholeZone);
  void Tell(std::size_t aFrom, std::size_t aTo);
  void Lookup(std::size_t aVm, std::size_t aZone);
  void Count(Counts& aCounts, const LookupScope::Decision& aDecision, std::size_t aRegion);
  std::vector<LookupScope::Vm> KnownVms(std::size_t aVm) const;
  bool IsRegionReady(std::size_t aRegion) const;

  std::size_t m_zones;
  std::minstd_rand m_random;
  std::vector<Vm> m_vms;
  std::vector<Change> m_changes;
  Time m_now{ 0 };
  Counts m_own;
  Counts m_other;
  Time m_longestOther{ 0 };
  Time m_longestDeadNamed{ 0 };
};

} // namespace jaylane::policy
