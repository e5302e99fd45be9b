#pragma once

#include "VmContext.h"
#include "jaylane/base/StateChart.h"

#include <mutex>
#include <string>
#include <string_view>

namespace jaylane::entry {

/// State of this process, driven by charts/entry-vm.yaml. Thread safe.
class Lifecycle
{
public:
  explicit Lifecycle(const VmContext& aContext);

  /// Fires an event of the chart and records the transition in the event log.
  /// @return whether the current state has a transition for the event.
  bool Fire(std::string_view aEvent);

  /// @return name of the current state.
  std::string State() const;

private:
  const VmContext& m_context;
  const base::StateChart m_chart;
  mutable std::mutex m_mutex;
  base::StateId m_state;
};

} // namespace jaylane::entry
