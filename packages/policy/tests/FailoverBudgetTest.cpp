#include "jaylane/policy/FailoverBudget.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <vector>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

constexpr base::MonotonicTime kBoot{ 1h };

struct Spent
{
  base::MonotonicTime m_at;
  double m_weight;
};

// Guards against a sum over the VMs beyond the failover cap: in any window, for any partition
// (each VM decides alone) and with VMs that are replaced in the middle.
RC_GTEST_PROP(FailoverBudget, SumStaysWithinCap, ())
{
  const auto vmCount = *rc::gen::inRange(1, 6);
  const FailoverLimits limits{ 0.05, 4000, 10s, static_cast<std::uint32_t>(vmCount) };
  std::vector<FailoverBudget> vms(vmCount, *FailoverBudget::Make(limits, kBoot));
  const auto script = *rc::gen::container<std::vector<std::uint32_t>>(
    300, rc::gen::inRange<std::uint32_t>(0, 0x7fff'ffff));
  std::vector<Spent> spent;
  auto now = kBoot;
  for (const auto event : script) {
    now += event / 8 % 400 * 1ms;
    auto& vm = vms[event % vmCount];
    if (event / 64 % 50 == 0) {
      vm = *FailoverBudget::Make(limits, now);
    }
    const double weight = 1 + event / 4096 % 10;
    for (int i = 0; i < 5; ++i) {
      if (vm.TryAcquire(weight, now)) {
        spent.push_back({ now, weight });
      }
    }
  }
  for (const auto& first : spent) {
    double sum = 0;
    for (const auto& other : spent) {
      sum +=
        other.m_at >= first.m_at && other.m_at < first.m_at + limits.m_window ? other.m_weight : 0;
    }
    RC_ASSERT(sum <= limits.m_failoverCap * limits.m_windowLoad);
  }
}

// Guards against a budget that is never available, and a Retry-After that is too short.
RC_GTEST_PROP(FailoverBudget, RetryAfterIsEnough, ())
{
  auto budget = *FailoverBudget::Make({ 0.1, 1000, 10s, 2 }, kBoot);
  auto now = kBoot + 10s;
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

// Guards against a new process that spends what its predecessor has spent already.
TEST(FailoverBudget, StartsWithoutBudget)
{
  auto budget = *FailoverBudget::Make({ 0.1, 1000, 10s, 2 }, kBoot);
  EXPECT_FALSE(budget.TryAcquire(1, kBoot + 9999ms));
  EXPECT_EQ(budget.RetryAfter(1, kBoot), 10s);
  EXPECT_TRUE(budget.TryAcquire(50, kBoot + 10s));
  EXPECT_FALSE(budget.TryAcquire(1, kBoot + 10s));
  EXPECT_EQ(budget.RetryAfter(51, kBoot + 10s), 10s);
}

// Guards against limits that make the share infinite or negative.
TEST(FailoverBudget, RejectsInvalidLimits)
{
  EXPECT_FALSE(FailoverBudget::Make({ 1.5, 1000, 10s, 2 }, kBoot));
  EXPECT_FALSE(FailoverBudget::Make({ 0.1, -1, 10s, 2 }, kBoot));
  EXPECT_FALSE(FailoverBudget::Make({ 0.1, 1000, 0s, 2 }, kBoot));
  EXPECT_FALSE(FailoverBudget::Make({ 0.1, 1000, 10s, 0 }, kBoot));
  EXPECT_DOUBLE_EQ((ShiftCap{ 0.1, 0.04 }).Planned() + 0.04, 0.1);
}

} // namespace
} // namespace jaylane::policy
