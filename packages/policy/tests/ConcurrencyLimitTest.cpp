#include "jaylane/policy/ConcurrencyLimit.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

using std::chrono::milliseconds;

constexpr base::MonotonicTime kStart{ std::chrono::hours{ 1 } };

// A limit above the slots would overload the upstream. With a limit of zero, the recovery of the
// upstream would never be noticed.
RC_GTEST_PROP(ConcurrencyLimit,
              StaysBetweenOneAndTheSlots,
              (const std::vector<std::uint16_t>& aSteps))
{
  ConcurrencyLimit limit({});
  auto now = kStart;
  for (const std::uint16_t step : aSteps) {
    now += milliseconds{ step % 11 };
    const std::uint32_t slots = step % 9;
    const auto started = now - milliseconds{ step % 500 };
    if (step % 3 == 0) {
      limit.OnShed(started, now, slots);
    } else {
      limit.OnCompleted(started, now, step % 8, slots);
    }
    const std::uint32_t inUse = limit.Limit(slots);
    RC_ASSERT(inUse <= slots && (inUse > 0 || slots == 0));
  }
}

// Rejections of attempts that were in flight together must lower the limit only once.
TEST(ConcurrencyLimit, BacksOffOncePerRoundTripAndRecovers)
{
  ConcurrencyLimit limit({});
  EXPECT_EQ(limit.Limit(10), 10u);
  for (int i = 0; i < 10; ++i) {
    limit.OnShed(kStart, kStart + milliseconds{ 5 + i }, 10);
  }
  EXPECT_EQ(limit.Limit(10), 7u);
  for (int i = 0; i < 500; ++i) {
    limit.OnCompleted(kStart, kStart + milliseconds{ 60 }, limit.Limit(10), 10);
  }
  EXPECT_EQ(limit.Limit(10), 10u);
}

// The limit must fall when attempts of this VM slow each other down, without any load report.
TEST(ConcurrencyLimit, BacksOffWhenSharedAttemptsAreSlow)
{
  ConcurrencyLimit limit({});
  auto now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds{ 200 };
    limit.OnCompleted(now - milliseconds{ 50 }, now, 1, 4);
    limit.OnCompleted(now - milliseconds{ 180 }, now, 4, 4);
  }
  EXPECT_LT(limit.Limit(4), 4u);
}

} // namespace
} // namespace jaylane::policy
