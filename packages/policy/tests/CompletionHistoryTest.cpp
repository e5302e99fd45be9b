#include "jaylane/policy/CompletionHistory.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

constexpr RequestFingerprint kFirst{ 1, 1 };
constexpr RequestFingerprint kSecond{ 2, 2 };

TEST(CompletionHistoryTest, ForgetsWhatCompletedLongAgo)
{
  CompletionHistory history({ 10s, 100 });
  base::MonotonicTime now{ 1h };
  for (int i = 0; i < 5; ++i) {
    history.Record(kFirst, now += 1s);
  }
  EXPECT_EQ(history.Count(kFirst, now), 5U);
  EXPECT_EQ(history.Count(kSecond, now), 0U);
  history.Record(kSecond, now += 8s);
  EXPECT_EQ(history.Count(kFirst, now), 5U);
  history.Record(kSecond, now += 10s);
  EXPECT_EQ(history.Count(kFirst, now), 0U);
  EXPECT_EQ(history.Count(kSecond, now + 1min), 0U);
}

// Guards against memory that grows with the number of different requests.
TEST(CompletionHistoryTest, CountsABoundedNumberOfRequests)
{
  CompletionHistory history({ 10s, 2 });
  const base::MonotonicTime now{ 1h };
  for (std::uint64_t i = 1; i <= 100; ++i) {
    history.Record({ i, i }, now);
  }
  history.Record(kFirst, now);
  EXPECT_EQ(history.Count(kFirst, now), 2U);
  EXPECT_EQ(history.Count(kSecond, now), 1U);
  EXPECT_EQ(history.Count({ 3, 3 }, now), 0U);
}

} // namespace
} // namespace jaylane::policy
