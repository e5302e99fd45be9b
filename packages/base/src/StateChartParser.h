#pragma once

#include "jaylane/base/StateChart.h"

#include <initializer_list>
#include <yaml-cpp/node/node.h>

namespace jaylane::base {

/// Builds a StateChart from YAML text.
class StateChartParser
{
public:
  /// @param aSource name of the text in error messages.
  explicit StateChartParser(std::string_view aSource);

  /// Must not be called more than once.
  Result<StateChart> Parse(std::string_view aText);

private:
  // Thrown inside the parser; Parse() converts it into an Error.
  struct ParseError
  {
    int m_line;
    std::string m_text;
  };

  [[noreturn]] static void Fail(const YAML::Node& aNode, const std::string& aText);
  static void CheckKeys(const YAML::Node& aMap, std::initializer_list<std::string_view> aKnown);
  /// @return the value of a key; fails if it is missing.
  static YAML::Node Require(const YAML::Node& aMap, const char* aKey);
  /// @return the text of a scalar; fails if it is empty or not a scalar.
  static std::string ReadName(const YAML::Node& aNode);
  /// Adds a name to a list unless it is there already.
  /// @return its index.
  static std::uint8_t Intern(std::vector<std::string>& aNames,
                             const std::string& aName,
                             const YAML::Node& aNode);
  void ReadChart(const YAML::Node& aRoot);
  void ReadEvents(const YAML::Node& aEvents);
  void ReadStateNames(const YAML::Node& aStates);
  void ReadTransition(const YAML::Node& aNode, std::vector<Transition>& aTransitions);
  void CheckReachable(const YAML::Node& aStates) const;
  Error MakeError(int aLine, const std::string& aText) const;

  std::string m_source;
  StateChart m_chart;
};

} // namespace jaylane::base
