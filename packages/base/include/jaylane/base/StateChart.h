#pragma once

#include "jaylane/base/Error.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::base {

/// Index of a state in its chart.
enum class StateId : std::uint8_t
{
};

/// Index of an event in its chart.
enum class EventId : std::uint8_t
{
};

/// One transition. Of the transitions of a state for an event, the first whose guard holds is
/// taken.
struct Transition
{
  EventId m_event{};
  StateId m_target{};
  /// Index in StateChart::Guards(); empty if the transition has no guard.
  std::optional<std::uint8_t> m_guard;
  /// Indices in StateChart::Actions(), in the order of execution.
  std::vector<std::uint8_t> m_actions;
};

/// A state chart read from YAML. Immutable, so that any number of state machines can share it.
///
///     chart: lease
///     initial: idle
///     events: [granted, expired]
///     states:
///       idle:
///         - { on: granted, to: held, if: is-current, do: [start-timer] }
///       held:
///         - { on: expired, to: idle }
class StateChart
{
public:
  /// @param aText the YAML text.
  /// @param aSource name of the text in error messages.
  /// @return the chart, or InvalidStateChart with the line of the error. Unreachable states,
  ///   undefined targets or events, transitions that can never be taken and unknown keys are
  ///   errors.
  static Result<StateChart> Parse(std::string_view aText, std::string_view aSource);

  /// @param aPath YAML file to read.
  /// @return as Parse().
  static Result<StateChart> Load(const std::filesystem::path& aPath);

  const std::string& Name() const { return m_name; }
  StateId Initial() const { return m_initial; }
  const std::vector<std::string>& States() const { return m_states; }
  const std::vector<std::string>& Events() const { return m_events; }
  const std::vector<std::string>& Guards() const { return m_guards; }
  const std::vector<std::string>& Actions() const { return m_actions; }

  /// @return the transitions of a state, in the order of the file.
  const std::vector<Transition>& TransitionsOf(StateId aState) const;

  /// @return the name of a state.
  const std::string& StateName(StateId aState) const;

  /// @return the state of this name, or nothing.
  std::optional<StateId> FindState(std::string_view aName) const;

  /// @return the event of this name, or nothing.
  std::optional<EventId> FindEvent(std::string_view aName) const;

private:
  friend class StateChartParser;
  StateChart() = default;

  std::string m_name;
  StateId m_initial{};
  std::vector<std::string> m_states;
  std::vector<std::string> m_events;
  std::vector<std::string> m_guards;
  std::vector<std::string> m_actions;
  std::vector<std::vector<Transition>> m_transitions;
};

} // namespace jaylane::base
