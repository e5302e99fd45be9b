#include "CapacityReport.h"

#include "jaylane/platform/JsonText.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <fmt/format.h>
#include <fstream>

namespace jaylane::testing {

namespace {

constexpr double kMinCpuSeconds = 0.1;

struct Fit
{
  double m_slope = 0;
  double m_intercept = 0;
  /// Largest distance of a point from the line, relative to the largest value.
  double m_maxRelativeError = 0;
};

/// @param aQuantity index of the quantity in CapacityPoint::m_values.
Fit FitLine(const std::vector<CapacityPoint>& aPoints, std::size_t aQuantity)
{
  const auto count = static_cast<double>(aPoints.size());
  double meanX = 0;
  double meanY = 0;
  for (const CapacityPoint& point : aPoints) {
    meanX += point.m_size / count;
    meanY += point.m_values[aQuantity].second / count;
  }
  double covariance = 0;
  double variance = 0;
  double largest = 0;
  for (const CapacityPoint& point : aPoints) {
    const double value = point.m_values[aQuantity].second;
    covariance += (point.m_size - meanX) * (value - meanY);
    variance += (point.m_size - meanX) * (point.m_size - meanX);
    largest = std::max(largest, std::abs(value));
  }
  Fit fit{ covariance / variance, 0, 0 };
  fit.m_intercept = meanY - fit.m_slope * meanX;
  for (const CapacityPoint& point : aPoints) {
    const double line = fit.m_intercept + fit.m_slope * point.m_size;
    fit.m_maxRelativeError =
      std::max(fit.m_maxRelativeError,
               std::abs(line - point.m_values[aQuantity].second) / std::max(largest, 1e-12));
  }
  return fit;
}

double LoadAverage()
{
  double load = 0;
  return getloadavg(&load, 1) == 1 ? load : -1;
}

double CpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

} // namespace

void CapacityReport::Add(const std::string& aAxis,
                         const std::vector<CapacityPoint>& aPoints,
                         double aTarget)
{
  fmt::print("\n{} (load {:.1f})\n", aAxis, LoadAverage());
  Json::Value axis;
  axis["axis"] = aAxis;
  axis["load_average"] = LoadAverage();
  axis["target"] = aTarget;
  for (std::size_t i = 0; i < aPoints.front().m_values.size(); ++i) {
    const Fit fit = FitLine(aPoints, i);
    const std::string& name = aPoints.front().m_values[i].first;
    Json::Value& json = axis["quantities"][name];
    std::string measured;
    for (const CapacityPoint& point : aPoints) {
      measured += fmt::format(" {:g}:{:.4g}", point.m_size, point.m_values[i].second);
      json["measured"][fmt::format("{:g}", point.m_size)] = point.m_values[i].second;
    }
    json["slope"] = fit.m_slope;
    json["intercept"] = fit.m_intercept;
    json["error"] = fit.m_maxRelativeError;
    json["at_target"] = fit.m_intercept + fit.m_slope * aTarget;
    fmt::print("  {:<26} slope {:>10.4g}  error {:>5.1f}%  at {:g}: {:<10.4g} measured{}\n",
               name,
               fit.m_slope,
               100 * fit.m_maxRelativeError,
               aTarget,
               json["at_target"].asDouble(),
               measured);
  }
  m_axes.append(std::move(axis));
}

bool CapacityReport::Write(const std::string& aPath) const
{
  if (aPath.empty()) {
    return true;
  }
  std::ofstream file(aPath);
  file << platform::WriteJson(m_axes) << '\n';
  return static_cast<bool>(file.flush());
}

double CpuMicrosPerCall(const std::function<void()>& aCall)
{
  const double start = CpuSeconds();
  double elapsed = 0;
  unsigned calls = 0;
  while (elapsed < kMinCpuSeconds) {
    aCall();
    ++calls;
    elapsed = CpuSeconds() - start;
  }
  return 1e6 * elapsed / calls;
}

} // namespace jaylane::testing
