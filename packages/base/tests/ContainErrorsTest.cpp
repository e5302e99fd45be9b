#include "jaylane/base/ContainErrors.h"

#include "jaylane/base/AsyncLog.h"

#include <gtest/gtest.h>
#include <stdexcept>

namespace jaylane::base {
namespace {

// Guards against a process that ends because one message caused an unexpected error.
TEST(ContainErrorsTest, ReportsAndLogsWhatATaskThrows)
{
  std::string lines;
  {
    AsyncLog log(
      "vm", SystemClock::Get(), { 64, 1000, [&lines](std::string_view aLine) { lines += aLine; } });
    EXPECT_TRUE(ContainErrors(log, "first", [] {}));
    EXPECT_FALSE(ContainErrors(log, "second", [] { throw std::out_of_range("beyond"); }));
  }
  EXPECT_EQ(lines.find("first"), std::string::npos);
  EXPECT_NE(lines.find("unexpected_error"), std::string::npos) << lines;
  EXPECT_NE(lines.find("second"), std::string::npos) << lines;
  EXPECT_NE(lines.find("beyond"), std::string::npos) << lines;
}

} // namespace
} // namespace jaylane::base
