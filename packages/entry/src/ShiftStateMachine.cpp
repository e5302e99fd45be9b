#include "ShiftStateMachine.h"

#include "jaylane/base/BoundChart.h"
#include "jaylane/base/Charts.h"

#include <cassert>
#include <utility>

namespace jaylane::entry {

/// The parsed chart with its guards and actions, shared by all services.
class ShiftStateMachine::Chart
{
public:
  static const base::BoundChart<Step>& Get()
  {
    static const base::BoundChart<Step> sChart = Load();
    return sChart;
  }

private:
  static base::BoundChart<Step> Load()
  {
    auto chart = base::StateChart::Parse(base::charts::Shift(), "shift.yaml");
    assert(chart);
    base::ChartHooks<Step> hooks;
    hooks.m_guards["within-cap"] = [](const Step& aStep) {
      return aStep.m_plan == policy::PlanState::Step;
    };
    hooks.m_actions["publish-step"] = [](Step& aStep) {
      aStep.m_result = aStep.m_hooks->m_publish();
    };
    hooks.m_actions["reload-table"] = [](Step& aStep) { aStep.m_hooks->m_reload(); };
    auto bound = base::BoundChart<Step>::Make(std::move(*chart), hooks);
    // Cannot fail: the chart is compiled in and covered by a test.
    assert(bound);
    return std::move(*bound);
  }
};

ShiftStateMachine::ShiftStateMachine()
  : m_state(Chart::Get().Chart().Initial())
{
}

bool ShiftStateMachine::Fire(std::string_view aEvent, Step& aStep)
{
  const auto event = Chart::Get().Chart().FindEvent(aEvent);
  assert(event);
  return Chart::Get().Fire(m_state, *event, aStep);
}

const std::string& ShiftStateMachine::StateName() const
{
  return Chart::Get().Chart().StateName(m_state);
}

void ShiftStateMachine::EnterPlanning(Step& aStep)
{
  // At most one of these has a transition from the current state.
  const bool entered = Fire("needed", aStep) || Fire("unblocked", aStep) ||
                       (aStep.m_plan != policy::PlanState::StepPending && Fire("step-due", aStep));
  (void)entered;
}

bool ShiftStateMachine::OnPlan(policy::PlanState aState, const Hooks& aHooks)
{
  Step step{ aState, &aHooks, PublishResult::StoreFailed };
  switch (aState) {
    case policy::PlanState::Settled:
      Fire("step-due", step);
      Fire("reached", step);
      Fire("cancelled", step);
      return false;
    case policy::PlanState::NoCapacity:
    case policy::PlanState::TooHeavy:
      Fire("needed", step);
      Fire("blocked", step);
      return false;
    case policy::PlanState::StepPending:
    case policy::PlanState::CapReached:
      EnterPlanning(step);
      return false;
    case policy::PlanState::Step:
      break;
  }
  if (StateName() != "planning") {
    EnterPlanning(step);
  }
  if (!Fire("step-due", step)) {
    return false;
  }
  switch (step.m_result) {
    case PublishResult::Published:
      Fire("published", step);
      return true;
    case PublishResult::Conflict:
      Fire("conflict", step);
      return false;
    case PublishResult::StoreFailed:
      break;
  }
  Fire("store-failed", step);
  return false;
}

} // namespace jaylane::entry
