#pragma once

#include "jaylane/base/StateChart.h"
#include "jaylane/policy/ShiftPlanner.h"

#include <functional>
#include <string>
#include <string_view>

namespace jaylane::entry {

/// How the publication of a step ended.
enum class PublishResult
{
  Published,
  /// The store holds another table, perhaps this one after a lost response.
  Conflict,
  StoreFailed,
};

/// State of a service's shift at the VM that plans it, driven by charts/shift.yaml.
class ShiftStateMachine
{
public:
  /// What the chart's actions do.
  struct Hooks
  {
    /// Publishes the planned step by conditional update.
    std::function<PublishResult()> m_publish;
    /// Reads the table that the store holds.
    std::function<void()> m_reload;
  };

  ShiftStateMachine();

  /// Takes a planning result through the chart.
  /// @param aState what the planner found.
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

  bool Fire(std::string_view aEvent, Step& aStep);
  void EnterPlanning(Step& aStep);

  base::StateId m_state;
};

} // namespace jaylane::entry
