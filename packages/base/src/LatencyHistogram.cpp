#include "jaylane/base/LatencyHistogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <mutex>

namespace jaylane::base {

namespace {

namespace histogram = boost::histogram;

constexpr double kLowestSeconds = 10e-6;
constexpr double kHighestSeconds = 100.0;
// 20 bins per decade: adjacent edges differ by 12%, which bounds the error of a quantile.
constexpr unsigned kBins = 140;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto MakeHistogram()
{
  return histogram::make_histogram(LogAxis(kBins, kLowestSeconds, kHighestSeconds));
}

double Millis(std::chrono::nanoseconds aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace

struct LatencyHistogram::State
{
  mutable std::mutex m_mutex;
  decltype(MakeHistogram()) m_histogram = MakeHistogram();
  std::uint64_t m_count = 0;
  std::chrono::nanoseconds m_max{ 0 };
};

LatencyHistogram::LatencyHistogram()
  : m_state(std::make_unique<State>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(std::chrono::nanoseconds aDuration)
{
  std::lock_guard lock(m_state->m_mutex);
  m_state->m_histogram(std::chrono::duration<double>(aDuration).count());
  ++m_state->m_count;
  m_state->m_max = std::max(m_state->m_max, aDuration);
}

std::chrono::nanoseconds LatencyHistogram::Quantile(double aQuantile) const
{
  std::lock_guard lock(m_state->m_mutex);
  const double wanted = aQuantile * static_cast<double>(m_state->m_count);
  double seen = 0;
  for (auto&& bin : histogram::indexed(m_state->m_histogram, histogram::coverage::all)) {
    seen += *bin;
    if (seen >= wanted && seen > 0) {
      const auto upper =
        std::chrono::duration<double>(std::min(bin.bin().upper(), kHighestSeconds));
      return std::min(std::chrono::duration_cast<std::chrono::nanoseconds>(upper), m_state->m_max);
    }
  }
  return m_state->m_max;
}

std::uint64_t LatencyHistogram::Count() const
{
  std::lock_guard lock(m_state->m_mutex);
  return m_state->m_count;
}

Json::Value LatencyHistogram::ToJson() const
{
  Json::Value json(Json::objectValue);
  json["count"] = Json::UInt64(Count());
  json["p50_ms"] = Millis(Quantile(0.5));
  json["p99_ms"] = Millis(Quantile(0.99));
  json["max_ms"] = Millis(Quantile(1.0));
  return json;
}

} // namespace jaylane::base
