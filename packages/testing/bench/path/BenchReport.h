#pragma once

#include <json/value.h>
#include <optional>
#include <string>

namespace jaylane::testing {

/// Goal of a figure; without bounds the figure has none.
struct BenchGoal
{
  std::optional<double> m_below;
  std::optional<double> m_above;
};

/// Figures of one run, printed as a table and written as JSON.
class BenchReport
{
public:
  /// Adds a figure with the load average at this moment and prints its row.
  void Add(const std::string& aName, double aValue, const std::string& aUnit, BenchGoal aGoal = {});

  /// Notes that a section could not run.
  void Fail(const std::string& aName, const std::string& aReason);

  /// @param aPath file that is replaced; empty for none.
  /// @return whether the file was written.
  bool Write(const std::string& aPath) const;

  bool Failed() const { return m_failed; }

private:
  Json::Value m_rows{ Json::arrayValue };
  bool m_failed = false;
};

} // namespace jaylane::testing
