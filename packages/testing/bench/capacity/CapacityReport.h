#pragma once

#include <functional>
#include <json/value.h>
#include <string>
#include <vector>

namespace jaylane::testing {

/// Quantities measured at one size, by name with unit, such as "state bytes".
struct CapacityPoint
{
  double m_size = 0;
  std::vector<std::pair<std::string, double>> m_values;
};

/// Fits least-squares lines to quantities measured at several sizes, prints them and writes them as
/// JSON.
class CapacityReport
{
public:
  /// Prints and keeps the fit of each quantity over the sizes.
  /// @param aAxis what the sizes count, such as "client blocks".
  /// @param aPoints at three sizes or more, all with the same quantities.
  /// @param aTarget size of the target fleet, at which the line is evaluated.
  void Add(const std::string& aAxis, const std::vector<CapacityPoint>& aPoints, double aTarget);

  /// @param aPath file to write or replace; nothing is written if empty.
  /// @return false if the file could not be written.
  bool Write(const std::string& aPath) const;

private:
  Json::Value m_axes{ Json::arrayValue };
};

/// Repeats the call for a tenth of a second of CPU time.
/// @return average CPU time of one call in microseconds.
double CpuMicrosPerCall(const std::function<void()>& aCall);

/// @name Measurements
/// Each adds the axes of one part of the system.
/// @{
void MeasureSteering(CapacityReport& aReport);
void MeasureRequestState(CapacityReport& aReport);
void MeasureSettings(CapacityReport& aReport);
void MeasurePeers(CapacityReport& aReport);
/// @}

} // namespace jaylane::testing
