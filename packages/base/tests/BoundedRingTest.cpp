#include "jaylane/base/BoundedRing.h"

#include <gtest/gtest.h>
#include <thread>

namespace jaylane::base {
namespace {

// Guards against a ring that grows without bound when its consumer falls behind.
TEST(BoundedRing, RefusesWhenFull)
{
  BoundedRing<int> ring(2);
  EXPECT_TRUE(ring.TryPush(1));
  EXPECT_TRUE(ring.TryPush(2));
  EXPECT_FALSE(ring.TryPush(3));
  EXPECT_EQ(ring.TryPop(), 1);
  EXPECT_TRUE(ring.TryPush(3));
}

// Guards against losing values that were pushed before the ring was closed.
TEST(BoundedRing, DeliversWhatWasPushedBeforeClose)
{
  BoundedRing<int> ring(2);
  EXPECT_TRUE(ring.TryPush(7));
  ring.Close();
  EXPECT_FALSE(ring.TryPush(8));
  EXPECT_EQ(ring.Pop(std::chrono::seconds{ 1 }), 7);
  EXPECT_EQ(ring.Pop(std::chrono::seconds{ 1 }), std::nullopt);
}

// Guards against values that are lost, duplicated or reordered between concurrent threads.
TEST(BoundedRing, KeepsOrderBetweenThreads)
{
  constexpr int kCount = 10'000;
  BoundedRing<int> ring(16);
  std::thread producer([&ring] {
    for (int i = 0; i < kCount; ++i) {
      while (!ring.TryPush(int{ i })) {
        std::this_thread::yield();
      }
    }
    ring.Close();
  });
  int expected = 0;
  while (auto value = ring.Pop(std::chrono::seconds{ 5 })) {
    ASSERT_EQ(*value, expected++);
  }
  producer.join();
  EXPECT_EQ(expected, kCount);
}

} // namespace
} // namespace jaylane::base
