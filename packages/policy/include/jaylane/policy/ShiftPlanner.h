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
  /// Planned share of the service's load that may move within any window. The failover part of
  /// the total cap is not included.
  double m_plannedCap = 0.05;
  std::chrono::milliseconds m_window{ 60'000 };
  /// Upper bound on the difference between the wall clocks of any two VMs.
  std::chrono::milliseconds m_maxClockDifference{ 2'000 };
  /// A step lasts at least as long as callers may use a lookup response.
  std::chrono::milliseconds m_lookupLifetime{ 5'000 };
  /// Part of each capacity that the planner leaves free.
  double m_reserve = 0.1;
  /// Lowest weight of a bucket, relative to the mean.
  double m_weightFloor = 0.25;
  /// 1 places by latency only, 0 by headroom only.
  double m_latencyWeight = 0.5;
  /// Latency difference that counts as much as a site's whole capacity.
  std::chrono::microseconds m_latencyScale{ 50'000 };
  /// How long a site must have been live before load returns to it.
  std::chrono::milliseconds m_recoveryHold{ 300'000 };
  /// Part of the planned cap that recovery moves may use.
  double m_recoveryFraction = 0.25;
  /// Improvement of the placement score below which load does not return.
  double m_recoveryMargin = 0.1;
};

/// @return success, or InvalidLimits with the offending limit.
base::Status Validate(const ShiftLimits& aLimits);

/// What the planner knows besides the table.
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
  CapReached,  ///< The rest waits for the window.
  NoCapacity,  ///< Load has to move, but no allowed site has room.
  TooHeavy,    ///< What is left to move is larger than the cap even in parts.
};

/// Next step of a shift.
struct Plan
{
  PlanState m_state = PlanState::Settled;
  /// The next table if m_state is Step, otherwise the current one.
  SteeringTable m_table;
  double m_movedShare = 0;
  std::array<double, kMoveReasonCount> m_movedByReason{};
  /// Share that still has to move, by reason; not known while StepPending.
  std::array<double, kMoveReasonCount> m_remaining{};
  /// Earliest time at which another call can move something, unless inputs change.
  base::WallTime m_nextAt{};
};

/// Plans shifts in steps, so that the load moved within any window stays within the cap. Has no
/// state: the table carries the moves of the last window.
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
  /// @param aInput without measured load, half of the capacity in use is assumed.
  /// @return the table of the first generation, with buckets spread over the allowed sites.
  static base::Result<SteeringTable> MakeInitial(const SteeringTable& aEmpty,
                                                 const PlanInput& aInput,
                                                 base::WallTime aNow);
};

} // namespace jaylane::policy
