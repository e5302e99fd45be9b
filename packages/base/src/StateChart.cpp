#include "jaylane/base/StateChart.h"

#include "StateChartParser.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace jaylane::base {

namespace {

template<typename Id>
std::optional<Id> FindName(const std::vector<std::string>& aNames, std::string_view aName)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  if (found == aNames.end()) {
    return std::nullopt;
  }
  return static_cast<Id>(found - aNames.begin());
}

} // namespace

Result<StateChart> StateChart::Parse(std::string_view aText, std::string_view aSource)
{
  return StateChartParser(aSource).Parse(aText);
}

Result<StateChart> StateChart::Load(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return Error{ BaseErrc::InvalidStateChart, "cannot read " + aPath.string() };
  }
  return Parse(text.str(), aPath.string());
}

const std::vector<Transition>& StateChart::TransitionsOf(StateId aState) const
{
  return m_transitions[static_cast<std::size_t>(aState)];
}

const std::string& StateChart::StateName(StateId aState) const
{
  return m_states[static_cast<std::size_t>(aState)];
}

std::optional<StateId> StateChart::FindState(std::string_view aName) const
{
  return FindName<StateId>(m_states, aName);
}

std::optional<EventId> StateChart::FindEvent(std::string_view aName) const
{
  return FindName<EventId>(m_events, aName);
}

} // namespace jaylane::base
