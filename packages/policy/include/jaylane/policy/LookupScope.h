#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaylane::policy {

/// Decides which of the VMs that this VM knows a lookup may return to a caller.
/// Load pattern: VMs of other regions announce themselves here every few seconds only, while
/// planned stops, starts and additions change which VMs run.
///
/// VMs of the caller's region come first, even those whose state is uncertain, because requests may
/// be restricted to the region.
class LookupScope
{
public:
  /// Where the returned VMs are, seen from the caller.
  enum class Kind
  {
    Zone,
    Region,
    OtherRegion,
    /// No VM can be returned.
    None
  };

  /// Where the caller is.
  struct Place
  {
    std::string m_zone;
    std::string m_region;
  };

  /// What is known of a VM.
  struct Vm
  {
    std::string m_name;
    std::string m_zone;
    std::string m_region;
    bool m_isReady = false;
    bool m_isLeaving = false;
    /// Time since its last announcement; empty if there has been none.
    std::optional<std::chrono::nanoseconds> m_silence;
    /// Silence after which it counts as not running.
    std::chrono::nanoseconds m_timeout{ 0 };

    bool IsRunning() const { return !m_isLeaving && m_silence && *m_silence < m_timeout; }
  };

  /// VMs of the caller's region by what is known of them.
  struct RegionCounts
  {
    std::size_t m_known = 0;
    std::size_t m_ready = 0;
    /// Running, but not ready.
    std::size_t m_notReady = 0;
    std::size_t m_leaving = 0;
    std::size_t m_overdue = 0;
    std::size_t m_neverHeard = 0;
  };

  struct Decision
  {
    Kind m_kind = Kind::None;
    /// Names of the VMs to return, in the order in which they were given.
    std::vector<std::string> m_names;
  };

  struct Options
  {
    /// Region of this VM. Callers ask the nearest VM that answers, so it is the nearest one to
    /// callers whose own region is lost.
    std::string m_region;
    /// Regions that are expected to have VMs.
    std::set<std::string> m_regions;
    /// Silence of a VM of the caller's region until which it may be returned if no other VM of the
    /// region can be. Shorter than the time after which a VM that has ended must not be returned.
    std::chrono::milliseconds m_memory{ 5000 };
    /// Silence of all VMs of a region after which the region counts as lost. Its VMs together
    /// announce themselves here about once per 400 ms.
    std::chrono::milliseconds m_regionTimeout{ 3000 };
    /// Time after its start in which this VM may not have heard a region that runs. It returns
    /// none then, so that the caller asks another VM.
    std::chrono::milliseconds m_startTime{ 5000 };
  };

  explicit LookupScope(Options aOptions)
    : m_options(std::move(aOptions))
  {
  }

  /// @param aVms all known VMs, this one included.
  /// @param aCaller place of the caller.
  /// @param aUptime time since this VM has begun to announce itself.
  Decision Decide(const std::vector<Vm>& aVms,
                  const Place& aCaller,
                  std::chrono::nanoseconds aUptime) const;

  static RegionCounts Count(const std::vector<Vm>& aVms, const std::string& aRegion);

private:
  Options m_options;
};

/// @return the name of the kind in log records and metrics.
const char* ToText(LookupScope::Kind aKind);

} // namespace jaylane::policy
