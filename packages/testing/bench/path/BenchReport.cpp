#include "BenchReport.h"

#include "jaylane/base/Clock.h"
#include "jaylane/platform/JsonText.h"
#include "jaylane/settings/TreeSections.h"

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <thread>

namespace jaylane::testing {

namespace {

double LoadAverage()
{
  double load = 0;
  return getloadavg(&load, 1) == 1 ? load : -1;
}

std::string GoalText(const BenchGoal& aGoal)
{
  if (aGoal.m_below) {
    return fmt::format("< {:g}", *aGoal.m_below);
  }
  return aGoal.m_above ? fmt::format("> {:g}", *aGoal.m_above) : "";
}

bool IsMet(const BenchGoal& aGoal, double aValue)
{
  return (!aGoal.m_below || aValue < *aGoal.m_below) && (!aGoal.m_above || aValue > *aGoal.m_above);
}

} // namespace

void BenchReport::Add(const std::string& aName,
                      double aValue,
                      const std::string& aUnit,
                      BenchGoal aGoal)
{
  const std::string goal = GoalText(aGoal);
  Json::Value row;
  row["name"] = aName;
  row["value"] = aValue;
  row["unit"] = aUnit;
  row["load_average"] = LoadAverage();
  if (!goal.empty()) {
    row["goal"] = goal;
    row["met"] = IsMet(aGoal, aValue);
  }
  const char* verdict = goal.empty() ? "" : row["met"].asBool() ? "met" : "missed";
  fmt::print("{:<58}{:>14.4g} {:<14}{:>9} {:<7}load {:.1f}\n",
             aName,
             aValue,
             aUnit,
             goal,
             verdict,
             row["load_average"].asDouble());
  std::fflush(stdout);
  m_rows.append(std::move(row));
}

void BenchReport::Fail(const std::string& aName, const std::string& aReason)
{
  m_failed = true;
  Json::Value row;
  row["name"] = aName;
  row["error"] = aReason;
  fmt::print("{:<58} failed: {}\n", aName, aReason);
  m_rows.append(std::move(row));
}

bool BenchReport::Write(const std::string& aPath) const
{
  if (aPath.empty()) {
    return true;
  }
  Json::Value json;
  json["cores"] = std::thread::hardware_concurrency();
  json["at"] = settings::FormatTime(base::SystemClock::Get().Wall());
  json["figures"] = m_rows;
  std::ofstream file(aPath);
  file << platform::WriteJson(json) << '\n';
  return static_cast<bool>(file.flush());
}

} // namespace jaylane::testing
