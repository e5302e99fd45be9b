#pragma once

#include "jaylane/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::policy::sim {

using Time = std::chrono::nanoseconds;

/// Event queue and clock of a discrete-event simulation.
class Events
{
public:
  base::MonotonicTime Now() const { return base::MonotonicTime{ m_now }; }
  Time Elapsed() const { return m_now; }

  void After(Time aDelay, std::function<void()> aEvent)
  {
    m_events.emplace(m_now + aDelay, std::move(aEvent));
  }

  /// Runs until no event is left.
  void Run()
  {
    while (!m_events.empty()) {
      const auto node = m_events.extract(m_events.begin());
      m_now = node.key();
      node.mapped()();
    }
  }

private:
  Time m_now{ 0 };
  std::multimap<Time, std::function<void()>> m_events;
};

/// Random numbers from a fixed seed.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  /// @return an exponentially distributed time.
  Time Exponential(Time aMean)
  {
    const double mean = std::chrono::duration<double, std::nano>(aMean).count();
    return Time{ static_cast<std::int64_t>(std::exponential_distribution<>(1 / mean)(m_engine)) };
  }
  /// @return an integer from 0 to aLimit - 1.
  std::size_t Below(std::size_t aLimit) { return m_engine() % aLimit; }
  /// @return a number from 0 to 1.
  double Unit() { return std::uniform_real_distribution<>(0, 1)(m_engine); }

private:
  std::mt19937_64 m_engine;
};

/// @param aTimes values, which are reordered.
/// @param aQuantile from 0 to 1.
/// @return the quantile in milliseconds, 0 if there are no values.
inline double QuantileMs(std::vector<Time>& aTimes, double aQuantile)
{
  if (aTimes.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(aQuantile * static_cast<double>(aTimes.size() - 1));
  const auto place = aTimes.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(aTimes.begin(), place, aTimes.end());
  return std::chrono::duration<double, std::milli>(*place).count();
}

/// Result of one simulation, printed as a table and as JSON.
struct Table
{
  struct Row
  {
    std::string m_label;
    std::vector<double> m_values;
  };

  std::string m_title;
  std::vector<std::string> m_columns;
  std::vector<Row> m_rows;
};

Table SimulateLending();
Table SimulateLendingOptions();
Table SimulateAdmission();
Table SimulateRetries();
Table SimulateLimits();

} // namespace jaylane::policy::sim
