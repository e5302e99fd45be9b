#pragma once

#include "jaylane/policy/ShiftPlanner.h"

namespace jaylane::policy {

/// @param aNewest first table that a new process has read.
/// @return the first table to apply: aNewest without its moves, which other VMs recorded with their
///   clocks. The process has no earlier traffic that a shift could move.
SteeringTable MakeInitialAppliedTable(const SteeringTable& aNewest);

/// Moves the table that a VM applies one step toward the newest one, within the cap on shifts.
///
/// A VM that applies every table through this function keeps its own traffic within the cap even if
/// it receives several generations at once. The result carries the VM's own moves, so it must never
/// be published. Load at dead or forbidden sites moves first. A bucket whose load alone exceeds the
/// cap stays until its load falls or its parts are measured.
/// @param aApplied table in use by this VM, from MakeInitialAppliedTable() or an earlier call.
/// @param aNewest newest table of the same service.
/// @param aInput the planner's input.
/// @param aNow time by a clock of this VM that never jumps.
/// @return the table to apply. It has the generation of aNewest once its assignment is the same,
///   and the generation of aApplied until then.
base::Result<SteeringTable> CatchUp(const SteeringTable& aApplied,
                                    const SteeringTable& aNewest,
                                    const PlanInput& aInput,
                                    base::WallTime aNow);

} // namespace jaylane::policy
