#pragma once

#include <json/value.h>
#include <optional>
#include <string>

namespace jaylane::testing {

/// Exclusive bounds that a measured value should keep; without bounds it has no goal.
struct BenchGoal
{
  std::optional<double> m_below;
  std::optional<double> m_above;
};

/// Measured values of one run, printed as a table and written as JSON.
class BenchReport
{
public:
  /// Adds a value together with the current load average of the machine and prints its row.
  void Add(const std::string& aName, double aValue, const std::string& aUnit, BenchGoal aGoal = {});

  /// Records that a section failed and prints the reason.
  void Fail(const std::string& aName, const std::string& aReason);

  /// @param aPath file to write or replace; nothing is written if empty.
  /// @return false if the file could not be written.
  bool Write(const std::string& aPath) const;

  bool Failed() const { return m_failed; }

private:
  Json::Value m_rows{ Json::arrayValue };
  bool m_failed = false;
};

} // namespace jaylane::testing
