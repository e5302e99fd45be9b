#include "jaylane/policy/HoldQueue.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

constexpr base::MonotonicTime kNow{ 100s };

HoldQueue::Situation MakeSituation(std::uint32_t aPriority, std::chrono::milliseconds aExpectedWait)
{
  return { aPriority, 4000ms, kNow, aExpectedWait, 800ms };
}

// Guards against holding requests that will be rejected anyway, whose callers lose the time in
// which another VM could serve them.
TEST(HoldQueueTest, RejectsAtOnceWhatCannotBeSentInTime)
{
  const HoldQueue queue({});
  EXPECT_TRUE(queue.Assess(1, MakeSituation(2, 100ms), kNow));
  EXPECT_FALSE(queue.Assess(1, MakeSituation(2, 1000ms), kNow));
  EXPECT_FALSE(queue.Assess(1, MakeSituation(2, 0ms), kNow + 1000ms));
  HoldQueue::Situation late = MakeSituation(2, 0ms);
  late.m_latency = 3900ms;
  EXPECT_FALSE(queue.Assess(1, late, kNow + 200ms));
}

// Guards against rejecting a request although the rate at which others are sent shows that its turn
// comes in time, and against holding it for long without that.
TEST(HoldQueueTest, HoldsLongerWhileRequestsAreBeingSent)
{
  HoldQueue queue({});
  EXPECT_LE(queue.Assess(1, MakeSituation(2, 0ms), kNow)->m_holdUntil, kNow + 1000ms);
  for (std::uint64_t id = 10; id < 20; ++id) {
    queue.OnSent(id, kNow);
  }
  EXPECT_GT(queue.Assess(1, MakeSituation(2, 0ms), kNow)->m_holdUntil, kNow + 1000ms);
  EXPECT_LE(queue.Assess(1, MakeSituation(2, 0ms), kNow)->m_holdUntil, kNow + 3200ms);
}

// Guards against less urgent requests taking a slot that a more urgent one waits for.
TEST(HoldQueueTest, OrdersByPriorityThenByLatestStart)
{
  HoldQueue queue({});
  queue.Put({ 1, 2, kNow + 1s, kNow + 1s });
  queue.Put({ 2, 0, kNow + 3s, kNow + 3s });
  queue.Put({ 3, 0, kNow + 2s, kNow + 2s });
  EXPECT_EQ(queue.InOrder(), (std::vector<std::uint64_t>{ 3, 2, 1 }));
  queue.Remove(3);
  EXPECT_EQ(queue.InOrder(), (std::vector<std::uint64_t>{ 2, 1 }));
}

// Guards against an unbounded queue, and against patient requests that keep urgent ones out of it.
TEST(HoldQueueTest, AFullQueueRejectsTheLeastUrgentRequest)
{
  HoldQueue queue({ 2, 0.125 });
  EXPECT_FALSE(queue.Put({ 1, 2, kNow + 1s, kNow + 1s }));
  EXPECT_FALSE(queue.Put({ 2, 1, kNow + 1s, kNow + 1s }));
  EXPECT_EQ(queue.Put({ 3, 0, kNow + 1s, kNow + 1s }), 1U);
  EXPECT_EQ(queue.Put({ 4, 3, kNow + 1s, kNow + 1s }), 4U);
  EXPECT_EQ(queue.size(), 2U);
}

} // namespace
} // namespace jaylane::policy
