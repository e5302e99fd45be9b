#include "jaylane/policy/FailoverBudget.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <vector>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

constexpr base::MonotonicTime kStartedAt{ 1h };

struct AcquiredWeight
{
  base::MonotonicTime m_at;
  double m_weight;
};

// The weights acquired on all VMs must stay within the failover cap in any window, although each VM
// decides alone (as during a partition) and VMs are restarted in between.
RC_GTEST_PROP(FailoverBudget, SumStaysWithinCap, ())
{
  const auto vmCount = *rc::gen::inRange(1, 6);
  const FailoverLimits limits{ 0.05, 4000, 10s, static_cast<std::uint32_t>(vmCount) };
  std::vector<FailoverBudget> vms(vmCount, *FailoverBudget::Make(limits, kStartedAt));
  const auto script = *rc::gen::container<std::vector<std::uint32_t>>(
    300, rc::gen::inRange<std::uint32_t>(0, 0x7fff'ffff));
  std::vector<AcquiredWeight> acquiredWeights;
  auto now = kStartedAt;
  for (const auto event : script) {
    now += event / 8 % 400 * 1ms;
    auto& vm = vms[event % vmCount];
    if (event / 64 % 50 == 0) {
      vm = *FailoverBudget::Make(limits, now);
    }
    const double weight = 1 + event / 4096 % 10;
    for (int i = 0; i < 5; ++i) {
      if (vm.TryAcquire(weight, now)) {
        acquiredWeights.push_back({ now, weight });
      }
    }
  }
  for (const auto& first : acquiredWeights) {
    double sum = 0;
    for (const auto& later : acquiredWeights) {
      sum +=
        later.m_at >= first.m_at && later.m_at < first.m_at + limits.m_window ? later.m_weight : 0;
    }
    RC_ASSERT(sum <= limits.m_failoverCap * limits.m_windowLoad);
  }
}

// After the time that RetryAfter() returns, the weight must be available.
RC_GTEST_PROP(FailoverBudget, RetryAfterIsEnough, ())
{
  auto budget = *FailoverBudget::Make({ 0.1, 1000, 10s, 2 }, kStartedAt);
  auto now = kStartedAt + 10s;
  double acquired = 0;
  for (int i = 0; i < 20; ++i) {
    now += *rc::gen::inRange(0, 3000) * 1ms;
    const double weight = *rc::gen::inRange(1, 30);
    if (!budget.TryAcquire(weight, now)) {
      const auto wait = budget.RetryAfter(weight, now);
      RC_ASSERT(wait > 0ms);
      RC_ASSERT(wait <= 11s);
      now += wait;
      RC_ASSERT(budget.TryAcquire(weight, now));
    }
    acquired += weight;
  }
  RC_ASSERT(acquired > 0);
}

// A restarted process must not use the part of the share that the previous one may have used.
TEST(FailoverBudget, StartsWithoutBudget)
{
  auto budget = *FailoverBudget::Make({ 0.1, 1000, 10s, 2 }, kStartedAt);
  EXPECT_FALSE(budget.TryAcquire(1, kStartedAt + 9999ms));
  EXPECT_EQ(budget.RetryAfter(1, kStartedAt), 10s);
  EXPECT_TRUE(budget.TryAcquire(50, kStartedAt + 10s));
  EXPECT_FALSE(budget.TryAcquire(1, kStartedAt + 10s));
  EXPECT_EQ(budget.RetryAfter(51, kStartedAt + 10s), 10s);
}

// Limits that would make the share negative or infinite must be rejected.
TEST(FailoverBudget, RejectsInvalidLimits)
{
  EXPECT_FALSE(FailoverBudget::Make({ 1.5, 1000, 10s, 2 }, kStartedAt));
  EXPECT_FALSE(FailoverBudget::Make({ 0.1, -1, 10s, 2 }, kStartedAt));
  EXPECT_FALSE(FailoverBudget::Make({ 0.1, 1000, 0s, 2 }, kStartedAt));
  EXPECT_FALSE(FailoverBudget::Make({ 0.1, 1000, 10s, 0 }, kStartedAt));
  EXPECT_DOUBLE_EQ((ShiftCap{ 0.1, 0.04 }).Planned() + 0.04, 0.1);
}

} // namespace
} // namespace jaylane::policy
