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

/// Least-squares lines through measured points.
class CapacityReport
{
public:
  /// Prints and keeps the fit of each quantity over the sizes.
  /// @param aAxis what the sizes count, such as "client blocks".
  /// @param aPoints at three sizes or more, all with the same quantities.
  /// @param aTarget size of the target fleet, at which the line is evaluated.
  void Add(const std::string& aAxis, const std::vector<CapacityPoint>& aPoints, double aTarget);

  /// @return whether the file was written.
  bool Write(const std::string& aPath) const;

private:
  Json::Value m_axes{ Json::arrayValue };
};

/// @return CPU time of this process in microseconds for one call, averaged over a tenth of a
/// second.
double CpuMicros(const std::function<void()>& aCall);

/// @name Axes
/// @{
void MeasureSteering(CapacityReport& aReport);
void MeasureRequestState(CapacityReport& aReport);
void MeasureSettings(CapacityReport& aReport);
void MeasurePeers(CapacityReport& aReport);
/// @}

} // namespace jaylane::testing
