#pragma once

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <memory>

namespace jaylane::base {

/// Histogram of durations with logarithmic bins from 10 us to 100 s. Thread safe.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();

  /// @param aDuration value to count.
  void Record(std::chrono::nanoseconds aDuration);

  /// @param aQuantile between 0 and 1.
  /// @return upper edge of the bin that contains the quantile, but at most the longest recorded
  ///   duration; zero if nothing was recorded.
  std::chrono::nanoseconds Quantile(double aQuantile) const;

  /// @return number of values recorded.
  std::uint64_t Count() const;

  /// @return {"count","p50_ms","p99_ms","max_ms"}.
  Json::Value ToJson() const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace jaylane::base
