#pragma once

#include "jaylane/policy/ShiftPlanner.h"

namespace jaylane::policy {

/// @param aNewest table that a new process has read first.
/// @return the table to start applying: aNewest without its moves, which other VMs' clocks
///   recorded. The process has no earlier traffic that a shift could move.
SteeringTable MakeInitialAppliedTable(const SteeringTable& aNewest);

/// Steps the table that a VM applies toward the newest one under the shift cap.
///
/// A VM that applies every table through this function keeps the cap for its own traffic even if
/// it learns several generations at once. The result carries the VM's own moves, so it must never
/// be published. Parts at dead sites and parts that the rules forbid go first.
/// A part whose load alone exceeds the cap stays until its load falls or its parts are measured.
/// @param aApplied table in use by this VM, from MakeInitialAppliedTable() or an earlier call.
/// @param aNewest newest table of the same service.
/// @param aInput the planner's input.
/// @param aNow time of one clock of this VM that never jumps.
/// @return the table to apply: equal assignment to aNewest, and its generation, once it has
///   caught up; until then the generation of aApplied.
base::Result<SteeringTable> CatchUp(const SteeringTable& aApplied,
                                    const SteeringTable& aNewest,
                                    const PlanInput& aInput,
                                    base::WallTime aNow);

} // namespace jaylane::policy
