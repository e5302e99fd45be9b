#pragma once

#include "jaylane/base/StateChart.h"

#include <functional>
#include <map>

namespace jaylane::base {

/// Functions that implement the guards and actions of a chart, by name.
/// @tparam Context data of a state machine, which guards read and actions change.
template<typename Context>
struct ChartHooks
{
  std::map<std::string, std::function<bool(const Context&)>, std::less<>> m_guards;
  std::map<std::string, std::function<void(Context&)>, std::less<>> m_actions;
};

/// A state chart bound to its guards and actions. Runs any number of state machines: each consists
/// only of a StateId and a Context, so that a VM can have one for each upstream.
template<typename Context>
class BoundChart
{
public:
  /// @param aChart the chart.
  /// @param aHooks must define exactly the guards and actions of the chart.
  /// @return the bound chart, or InvalidStateChart.
  static Result<BoundChart> Make(StateChart aChart, const ChartHooks<Context>& aHooks)
  {
    BoundChart bound(std::move(aChart));
    for (const auto& name : bound.m_chart.Guards()) {
      const auto hook = aHooks.m_guards.find(name);
      if (hook == aHooks.m_guards.end()) {
        return Error{ BaseErrc::InvalidStateChart, "no hook for guard " + name };
      }
      bound.m_guards.push_back(hook->second);
    }
    for (const auto& name : bound.m_chart.Actions()) {
      const auto hook = aHooks.m_actions.find(name);
      if (hook == aHooks.m_actions.end()) {
        return Error{ BaseErrc::InvalidStateChart, "no hook for action " + name };
      }
      bound.m_actions.push_back(hook->second);
    }
    if (aHooks.m_guards.size() != bound.m_guards.size() ||
        aHooks.m_actions.size() != bound.m_actions.size()) {
      return Error{ BaseErrc::InvalidStateChart, "hooks that the chart does not use" };
    }
    return bound;
  }

  const StateChart& Chart() const { return m_chart; }

  /// Takes the first transition for the event whose guard holds, then runs its actions. If there is
  /// none, the event is ignored.
  /// @param aState state of the machine; changed if a transition is taken.
  /// @param aEvent the event.
  /// @param aContext data of the machine.
  /// @return whether a transition was taken.
  bool Fire(StateId& aState, EventId aEvent, Context& aContext) const
  {
    for (const Transition& transition : m_chart.TransitionsOf(aState)) {
      if (transition.m_event != aEvent ||
          (transition.m_guard && !m_guards[*transition.m_guard](aContext))) {
        continue;
      }
      aState = transition.m_target;
      for (const auto action : transition.m_actions) {
        m_actions[action](aContext);
      }
      return true;
    }
    return false;
  }

private:
  explicit BoundChart(StateChart aChart)
    : m_chart(std::move(aChart))
  {
  }

  StateChart m_chart;
  std::vector<std::function<bool(const Context&)>> m_guards;
  std::vector<std::function<void(Context&)>> m_actions;
};

} // namespace jaylane::base
