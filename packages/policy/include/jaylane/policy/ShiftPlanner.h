#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"
#include "jaylane/policy/BucketLoad.h"
#include "jaylane/policy/LegalFilter.h"
#include "jaylane/policy/SteeringTable.h"
#include "jaylane/policy/Topology.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace jaylane::policy {

/// Why load moves, most urgent first.
enum class MoveReason : std::uint8_t
{
  DeadSite,    ///< The site is dead, or no longer part of the topology.
  LegalRule,   ///< A rule in force forbids the site.
  PendingRule, ///< An accepted rule will forbid the site.
  Drain,       ///< The site is drained.
  Recovery,    ///< A better site is available again.
};
inline constexpr std::size_t kMoveReasonCount = 5;

/// @return name used in logs.
std::string_view to_string(MoveReason aReason);

/// Bounds and preferences of shifts, from the settings tree.
struct ShiftLimits
{
  /// Share of the service's load that planned moves may shift within any window. Excludes the part
  /// of the total cap that is reserved for failover.
  double m_plannedCap = 0.05;
  /// Length of the sliding window that the caps apply to.
  std::chrono::milliseconds m_window{ 60'000 };
  /// Upper bound on the difference between the wall clocks of any two VMs.
  std::chrono::milliseconds m_maxClockDifference{ 2'000 };
  /// How long callers may use a lookup response. A step lasts at least as long.
  std::chrono::milliseconds m_lookupLifetime{ 5'000 };
  /// Fraction of each capacity that the planner leaves free.
  double m_reserve = 0.1;
  /// Lowest share and weight of a bucket, relative to the mean over all buckets.
  double m_weightFloor = 0.25;
  /// Weight of latency against headroom: 1 places load by latency alone, 0 by headroom alone.
  double m_latencyWeight = 0.5;
  /// Latency difference that counts as much as a site's whole capacity.
  std::chrono::microseconds m_latencyScale{ 50'000 };
  /// How long a site must have been live before load returns to it.
  std::chrono::milliseconds m_recoveryHold{ 300'000 };
  /// Fraction of the planned cap that recovery moves may use.
  double m_recoveryFraction = 0.25;
  /// Load returns to a site only if that improves its placement score by more than this.
  double m_recoveryMargin = 0.1;
};

/// @return success, or InvalidLimits with the offending limit.
base::Status Validate(const ShiftLimits& aLimits);

/// Input of the planner besides the table.
struct PlanInput
{
  Topology m_topology;
  LegalFilter m_legal;
  BucketLoad m_load;
  ShiftLimits m_limits;
};

/// Outcome of planning.
enum class PlanState : std::uint8_t
{
  Settled,     ///< Nothing to move.
  Step,        ///< m_table is to be published by conditional update.
  StepPending, ///< The previous step has not lasted long enough.
  CapReached,  ///< The remaining moves wait until earlier ones leave the window.
  NoCapacity,  ///< Load has to move, but no allowed site has enough capacity left.
  TooHeavy,    ///< The remaining buckets exceed the cap, even split into parts.
};

/// Next step of a shift.
struct Plan
{
  PlanState m_state = PlanState::Settled;
  /// The next table if m_state is Step, otherwise the current one.
  SteeringTable m_table;
  double m_movedShare = 0;
  std::array<double, kMoveReasonCount> m_movedByReason{};
  /// Share that still has to move, by reason; not known while m_state is StepPending.
  std::array<double, kMoveReasonCount> m_remaining{};
  /// Earliest time at which another call can move something, unless inputs change.
  base::WallTime m_nextAt{};
};

/// Plans shifts in steps, so that the load moved within any window stays within the cap. Stateless:
/// the table carries the moves of the last window.
class ShiftPlanner
{
public:
  /// @param aCurrent newest table; the caller publishes the result only if it is still current.
  /// @param aSeenAt when this VM first saw that generation in the store, by its wall clock. The
  ///   newest move counts from then, because its writer may have been paused after planning it.
  /// @param aInput topology, rules and loads as known.
  /// @param aNow this VM's wall time.
  /// @return the next step, or InvalidLimits, InvalidLoad or InvalidTopology.
  static base::Result<Plan> PlanStep(const SteeringTable& aCurrent,
                                     base::WallTime aSeenAt,
                                     const PlanInput& aInput,
                                     base::WallTime aNow);

  /// Assigns all load at once, for a service that has no table and so no traffic to move. Load
  /// beyond all capacities goes to the allowed site with the best score: a bucket has to have a
  /// site, and admission bounds what the site accepts.
  /// @param aEmpty table from SteeringTable::Make().
  /// @param aInput if it has no measured load, half of the capacity is assumed to be in use.
  /// @return the table of the first generation, with buckets spread over the allowed sites.
  static base::Result<SteeringTable> MakeInitial(const SteeringTable& aEmpty,
                                                 const PlanInput& aInput,
                                                 base::WallTime aNow);
};

} // namespace jaylane::policy
