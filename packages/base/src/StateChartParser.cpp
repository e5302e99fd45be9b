#include "StateChartParser.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <yaml-cpp/yaml.h>

namespace jaylane::base {

StateChartParser::StateChartParser(std::string_view aSource)
  : m_source(aSource)
{
}

Result<StateChart> StateChartParser::Parse(std::string_view aText)
{
  try {
    ReadChart(YAML::Load(std::string(aText)));
  } catch (const ParseError& error) {
    return MakeError(error.m_line, error.m_text);
  } catch (const YAML::Exception& error) {
    return MakeError(error.mark.line, error.msg);
  }
  return std::move(m_chart);
}

Error StateChartParser::MakeError(int aLine, const std::string& aText) const
{
  // yaml-cpp counts lines from 0 and reports -1 if it does not know the line.
  return { BaseErrc::InvalidStateChart,
           fmt::format("{}:{}: {}", m_source, std::max(aLine, 0) + 1, aText) };
}

void StateChartParser::Fail(const YAML::Node& aNode, const std::string& aText)
{
  throw ParseError{ aNode.Mark().line, aText };
}

void StateChartParser::CheckKeys(const YAML::Node& aMap,
                                 std::initializer_list<std::string_view> aKnown)
{
  if (!aMap.IsMap()) {
    Fail(aMap, "expected a map");
  }
  std::vector<std::string> seen;
  for (const auto& entry : aMap) {
    const auto key = ReadName(entry.first);
    if (std::find(aKnown.begin(), aKnown.end(), key) == aKnown.end()) {
      Fail(entry.first, "unknown key " + key);
    }
    if (std::find(seen.begin(), seen.end(), key) != seen.end()) {
      Fail(entry.first, "duplicate key " + key);
    }
    seen.push_back(key);
  }
}

YAML::Node StateChartParser::Require(const YAML::Node& aMap, const char* aKey)
{
  auto value = aMap[aKey];
  if (!value) {
    Fail(aMap, std::string("missing key ") + aKey);
  }
  return value;
}

std::string StateChartParser::ReadName(const YAML::Node& aNode)
{
  if (!aNode.IsScalar() || aNode.Scalar().empty()) {
    Fail(aNode, "expected a name");
  }
  return aNode.Scalar();
}

std::uint8_t StateChartParser::Intern(std::vector<std::string>& aNames,
                                      const std::string& aName,
                                      const YAML::Node& aNode)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  const auto index = static_cast<std::size_t>(found - aNames.begin());
  if (index > std::numeric_limits<std::uint8_t>::max()) {
    Fail(aNode, "more than 256 names");
  }
  if (found == aNames.end()) {
    aNames.push_back(aName);
  }
  return static_cast<std::uint8_t>(index);
}

void StateChartParser::ReadChart(const YAML::Node& aRoot)
{
  CheckKeys(aRoot, { "chart", "initial", "events", "states" });
  m_chart.m_name = ReadName(Require(aRoot, "chart"));
  ReadEvents(Require(aRoot, "events"));
  const auto states = Require(aRoot, "states");
  ReadStateNames(states);

  const auto initial = Require(aRoot, "initial");
  const auto found = m_chart.FindState(ReadName(initial));
  if (!found) {
    Fail(initial, "undefined initial state " + initial.Scalar());
  }
  m_chart.m_initial = *found;

  for (const auto& state : states) {
    std::vector<Transition> transitions;
    if (!state.second.IsSequence()) {
      Fail(state.first, "expected a list of transitions for state " + state.first.Scalar());
    }
    for (const auto& transition : state.second) {
      ReadTransition(transition, transitions);
    }
    m_chart.m_transitions.push_back(std::move(transitions));
  }
  CheckReachable(states);
}

void StateChartParser::ReadEvents(const YAML::Node& aEvents)
{
  if (!aEvents.IsSequence()) {
    Fail(aEvents, "expected a list of events");
  }
  for (const auto& event : aEvents) {
    if (m_chart.FindEvent(ReadName(event))) {
      Fail(event, "duplicate event " + event.Scalar());
    }
    Intern(m_chart.m_events, event.Scalar(), event);
  }
}

void StateChartParser::ReadStateNames(const YAML::Node& aStates)
{
  if (!aStates.IsMap()) {
    Fail(aStates, "expected a map of states");
  }
  for (const auto& state : aStates) {
    if (m_chart.FindState(ReadName(state.first))) {
      Fail(state.first, "duplicate state " + state.first.Scalar());
    }
    Intern(m_chart.m_states, state.first.Scalar(), state.first);
  }
}

void StateChartParser::ReadTransition(const YAML::Node& aNode,
                                      std::vector<Transition>& aTransitions)
{
  CheckKeys(aNode, { "on", "to", "if", "do" });
  Transition transition;
  const auto on = Require(aNode, "on");
  const auto event = m_chart.FindEvent(ReadName(on));
  if (!event) {
    Fail(on, "undefined event " + on.Scalar());
  }
  transition.m_event = *event;

  const auto to = Require(aNode, "to");
  const auto target = m_chart.FindState(ReadName(to));
  if (!target) {
    Fail(to, "undefined target " + to.Scalar());
  }
  transition.m_target = *target;

  if (const auto guard = aNode["if"]) {
    transition.m_guard = Intern(m_chart.m_guards, ReadName(guard), guard);
  }
  if (const auto actions = aNode["do"]) {
    if (!actions.IsSequence()) {
      Fail(actions, "expected a list of actions");
    }
    for (const auto& action : actions) {
      transition.m_actions.push_back(Intern(m_chart.m_actions, ReadName(action), action));
    }
  }
  for (const Transition& earlier : aTransitions) {
    // An earlier transition without a guard or with the same guard makes this one unreachable.
    if (earlier.m_event == transition.m_event &&
        (!earlier.m_guard || earlier.m_guard == transition.m_guard)) {
      Fail(aNode, "duplicate transition on " + on.Scalar());
    }
  }
  aTransitions.push_back(std::move(transition));
}

void StateChartParser::CheckReachable(const YAML::Node& aStates) const
{
  std::vector<bool> reached(m_chart.m_states.size());
  std::vector<StateId> open{ m_chart.m_initial };
  while (!open.empty()) {
    const StateId state = open.back();
    open.pop_back();
    if (reached[static_cast<std::size_t>(state)]) {
      continue;
    }
    reached[static_cast<std::size_t>(state)] = true;
    for (const Transition& transition : m_chart.TransitionsOf(state)) {
      open.push_back(transition.m_target);
    }
  }
  std::size_t index = 0;
  for (const auto& state : aStates) {
    if (!reached[index++]) {
      Fail(state.first, "unreachable state " + state.first.Scalar());
    }
  }
}

} // namespace jaylane::base
