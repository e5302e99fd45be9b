#include "jaylane/base/LatencyHistogram.h"

#include <gtest/gtest.h>

namespace jaylane::base {
namespace {

using std::chrono::milliseconds;

// Guards against quantiles with an error of more than the width of a bin (12%).
TEST(LatencyHistogram, QuantilesWithinBinWidth)
{
  LatencyHistogram histogram;
  EXPECT_EQ(histogram.Quantile(0.5), milliseconds{ 0 });
  for (int i = 1; i <= 1000; ++i) {
    histogram.Record(milliseconds{ i });
  }
  EXPECT_EQ(histogram.Count(), 1000u);
  EXPECT_NEAR(histogram.Quantile(0.5) / milliseconds{ 1 }, 500, 60);
  EXPECT_NEAR(histogram.Quantile(0.99) / milliseconds{ 1 }, 990, 119);
  EXPECT_EQ(histogram.Quantile(1.0), milliseconds{ 1000 });
}

// Guards against values beyond the axis that are missing from the count.
TEST(LatencyHistogram, CountsValuesBeyondTheAxis)
{
  LatencyHistogram histogram;
  histogram.Record(std::chrono::nanoseconds{ 1 });
  histogram.Record(std::chrono::hours{ 1 });
  EXPECT_EQ(histogram.ToJson()["count"].asUInt64(), 2u);
}

} // namespace
} // namespace jaylane::base
