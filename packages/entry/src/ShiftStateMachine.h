#pragma once

#include "jaylane/base/StateChart.h"
#include "jaylane/policy/ShiftPlanner.h"

#include <functional>
#include <string>
#include <string_view>

namespace jaylane::entry {

/// Result of publishing a step.
enum class PublishResult
{
  Published,
  /// The store holds a table of another version, possibly this one if the response was lost.
  Conflict,
  StoreFailed,
};

/// State of a service's shift at the VM that plans it, driven by charts/shift.yaml.
class ShiftStateMachine
{
public:
  /// Implement the chart's actions.
  struct Hooks
  {
    /// Publishes the planned step by a conditional update.
    std::function<PublishResult()> m_publish;
    /// Reads the table from the store.
    std::function<void()> m_reload;
  };

  ShiftStateMachine();

  /// Fires the chart's events for a planning result.
  /// @param aState state of the plan.
  /// @param aHooks used during the call only.
  /// @return whether a step was published.
  bool OnPlan(policy::PlanState aState, const Hooks& aHooks);

  /// @return name of the current state.
  const std::string& StateName() const;

private:
  /// Context of the chart's guards and actions during OnPlan().
  struct Step
  {
    policy::PlanState m_plan = policy::PlanState::Settled;
    const Hooks* m_hooks = nullptr;
    PublishResult m_result = PublishResult::StoreFailed;
  };
  class Chart;

  /// @return whether the current state has a transition for the event.
  bool Fire(std::string_view aEvent, Step& aStep);
  /// Moves to the state `planning`, if the current state allows it.
  void EnterPlanning(Step& aStep);

  base::StateId m_state;
};

} // namespace jaylane::entry
