#include "Lifecycle.h"

#include "jaylane/base/Charts.h"

#include <cassert>

namespace jaylane::entry {

namespace {

base::StateChart LoadChart()
{
  auto chart = base::StateChart::Parse(base::charts::EntryVm(), "entry-vm.yaml");
  // Cannot fail: the chart is compiled in and covered by a test.
  assert(chart);
  return std::move(*chart);
}

} // namespace

Lifecycle::Lifecycle(const VmContext& aContext)
  : m_context(aContext)
  , m_chart(LoadChart())
  , m_state(m_chart.Initial())
{
}

bool Lifecycle::Fire(std::string_view aEvent)
{
  const auto event = m_chart.FindEvent(aEvent);
  assert(event);
  std::lock_guard lock(m_mutex);
  for (const base::Transition& transition : m_chart.TransitionsOf(m_state)) {
    if (transition.m_event == *event) {
      Json::Value fields;
      fields["from"] = m_chart.StateName(m_state);
      fields["to"] = m_chart.StateName(transition.m_target);
      m_state = transition.m_target;
      m_context.m_events.Record("vm-state", fields);
      return true;
    }
  }
  return false;
}

std::string Lifecycle::State() const
{
  std::lock_guard lock(m_mutex);
  return m_chart.StateName(m_state);
}

} // namespace jaylane::entry
