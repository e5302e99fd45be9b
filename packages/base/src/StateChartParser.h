#pragma once

#include "jaylane/base/StateChart.h"

#include <initializer_list>
#include <yaml-cpp/node/node.h>

namespace jaylane::base {

/// Builds one StateChart from YAML.
class StateChartParser
{
public:
  /// @param aSource name of the text in error messages.
  explicit StateChartParser(std::string_view aSource);

  /// Called once.
  Result<StateChart> Parse(std::string_view aText);

private:
  // Thrown inside the parser only; Parse() turns it into a Result.
  struct Fault
  {
    int m_line;
    std::string m_text;
  };

  [[noreturn]] static void Fail(const YAML::Node& aNode, const std::string& aText);
  static void CheckKeys(const YAML::Node& aMap, std::initializer_list<std::string_view> aKnown);
  static YAML::Node Need(const YAML::Node& aMap, const char* aKey);
  static std::string Name(const YAML::Node& aNode);
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
