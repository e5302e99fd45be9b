#include "jaylane/policy/RetryBudget.h"

#include <gtest/gtest.h>

#include <deque>
#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

using std::chrono::milliseconds;

struct Attempt
{
  base::MonotonicTime m_time;
  bool m_isRetry = false;
};

// The retries in any window must stay within the budget for the requests of the window that ends
// with the last of them. That window may be longer by a tenth (one bucket).
RC_GTEST_PROP(RetryBudget,
              RetriesAreBoundedInEveryWindow,
              (const std::vector<std::uint16_t>& aSteps, std::uint8_t aPerMille))
{
  const RetryBudget::Options options{ milliseconds{ 1000 }, aPerMille, 2 };
  RetryBudget budget(options);
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  std::vector<Attempt> attempts;
  for (const std::uint16_t step : aSteps) {
    now += milliseconds{ step % 7 == 0 ? step % 900 : step % 5 };
    for (int i = 0; i < 20; ++i) {
      budget.OnRequest(now);
      attempts.push_back({ now, false });
    }
    for (int i = 0; i < step % 40; ++i) {
      if (budget.TryRetry(now)) {
        attempts.push_back({ now, true });
      }
    }
  }
  for (auto last = attempts.begin(); last != attempts.end(); ++last) {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (auto attempt = attempts.begin(); last->m_isRetry && attempt <= last; ++attempt) {
      requests +=
        !attempt->m_isRetry && attempt->m_time > last->m_time - milliseconds{ 1100 } ? 1 : 0;
      retries +=
        attempt->m_isRetry && attempt->m_time > last->m_time - milliseconds{ 1000 } ? 1 : 0;
    }
    RC_ASSERT(retries <= requests * aPerMille / 1000 + options.m_minRetries);
  }
}

// A service with few requests must get a few retries as well.
TEST(RetryBudget, AlwaysAllowsAFewRetries)
{
  RetryBudget budget({});
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(budget.TryRetry(now));
  }
  EXPECT_FALSE(budget.TryRetry(now));
  EXPECT_TRUE(budget.TryRetry(now + std::chrono::seconds{ 12 }));
}

// Hedges must leave a part of the budget to requests whose first attempt failed.
TEST(RetryBudget, HedgesUseHalfOfTheBudget)
{
  RetryBudget budget({ milliseconds{ 1000 }, 100, 2 });
  const base::MonotonicTime now{ std::chrono::hours{ 1 } };
  for (int i = 0; i < 80; ++i) {
    budget.OnRequest(now);
  }
  int hedges = 0;
  int retries = 0;
  for (int i = 0; i < 20; ++i) {
    hedges += budget.TryHedge(now) ? 1 : 0;
  }
  for (int i = 0; i < 20; ++i) {
    retries += budget.TryRetry(now) ? 1 : 0;
  }
  EXPECT_EQ(hedges, 5);
  EXPECT_EQ(hedges + retries, 10);
}

} // namespace
} // namespace jaylane::policy
