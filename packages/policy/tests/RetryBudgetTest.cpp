#include "jaylane/policy/RetryBudget.h"

#include <gtest/gtest.h>

#include <deque>
#include <rapidcheck/gtest.h>

namespace jaylane::policy {
namespace {

using std::chrono::milliseconds;

struct Sent
{
  base::MonotonicTime m_time;
  bool m_retry = false;
};

// Guards against retries that multiply the load: in any window they are at most the fraction of
// the requests of the window before the last of them, which is at most a tenth longer.
RC_GTEST_PROP(RetryBudget,
              RetriesAreBoundedInEveryWindow,
              (const std::vector<std::uint16_t>& aSteps, std::uint8_t aPerMille))
{
  const RetryBudget::Options options{ milliseconds{ 1000 }, aPerMille, 2 };
  RetryBudget budget(options);
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  std::vector<Sent> sent;
  for (const std::uint16_t step : aSteps) {
    now += milliseconds{ step % 7 == 0 ? step % 900 : step % 5 };
    for (int i = 0; i < 20; ++i) {
      budget.OnRequest(now);
      sent.push_back({ now, false });
    }
    for (int i = 0; i < step % 40; ++i) {
      if (budget.TryRetry(now)) {
        sent.push_back({ now, true });
      }
    }
  }
  for (auto last = sent.begin(); last != sent.end(); ++last) {
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (auto one = sent.begin(); last->m_retry && one <= last; ++one) {
      requests += !one->m_retry && one->m_time > last->m_time - milliseconds{ 1100 } ? 1 : 0;
      retries += one->m_retry && one->m_time > last->m_time - milliseconds{ 1000 } ? 1 : 0;
    }
    RC_ASSERT(retries <= requests * aPerMille / 1000 + options.m_minRetries);
  }
}

// Guards against a service with few requests that never gets a retry.
TEST(RetryBudget, FloorAllowsAFewRetries)
{
  RetryBudget budget({});
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(budget.TryRetry(now));
  }
  EXPECT_FALSE(budget.TryRetry(now));
  EXPECT_TRUE(budget.TryRetry(now + std::chrono::seconds{ 12 }));
}

// Guards against second attempts that leave nothing for requests whose first attempt failed.
TEST(RetryBudget, HedgesUseHalfOfIt)
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
