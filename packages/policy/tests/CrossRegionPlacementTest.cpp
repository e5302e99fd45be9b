#include "jaylane/policy/CrossRegionPlacement.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

class CrossRegionPlacementTest : public testing::Test
{
protected:
  /// Lets the placement follow the times for a while.
  void Follow(std::chrono::milliseconds aSaved, std::chrono::milliseconds aTime)
  {
    for (auto elapsed = 0ms; elapsed < aTime; elapsed += 100ms) {
      m_placement.Update(aSaved, 80ms, m_clock.Monotonic());
      m_clock.Advance(100ms);
    }
  }

  base::ManualClock m_clock;
  CrossRegionPlacement m_placement{ {} };
};

// Requests must not change their region in the first seconds only because the placement starts
// from a fixed share.
TEST_F(CrossRegionPlacementTest, TheFirstTimesDecideAtOnce)
{
  m_placement.Update(300ms, 80ms, m_clock.Monotonic());
  EXPECT_EQ(m_placement.Share(), 1);
  CrossRegionPlacement far{ {} };
  far.Update(100ms, 80ms, m_clock.Monotonic());
  EXPECT_EQ(far.Share(), 0);
}

// At most 0.15 of a region's requests may change their region within two seconds.
TEST_F(CrossRegionPlacementTest, FollowsChangedTimesInSmallSteps)
{
  Follow(300ms, 1000ms);
  for (int i = 0; i < 60; ++i) {
    const double before = m_placement.Share();
    Follow(20ms, 2000ms);
    EXPECT_LE(before - m_placement.Share(), 0.15);
  }
  EXPECT_EQ(m_placement.Share(), 0);
}

// Times that fluctuate around a threshold must not move keys back and forth.
TEST_F(CrossRegionPlacementTest, KeepsItsShareBetweenTheThresholds)
{
  Follow(300ms, 1000ms);
  Follow(120ms, 20'000ms);
  EXPECT_EQ(m_placement.Share(), 1);
}

// A key must not move only because another key does.
TEST_F(CrossRegionPlacementTest, ASmallerShareContainsNoOtherKeys)
{
  Follow(300ms, 1000ms);
  Follow(20ms, 12'000ms);
  const double larger = m_placement.Share();
  std::vector<bool> before;
  for (std::uint64_t key = 0; key < 1000; ++key) {
    before.push_back(m_placement.Contains(key));
  }
  Follow(20ms, 4000ms);
  ASSERT_LT(m_placement.Share(), larger);
  int count = 0;
  for (std::uint64_t key = 0; key < 1000; ++key) {
    count += m_placement.Contains(key) ? 1 : 0;
    EXPECT_TRUE(before[key] || !m_placement.Contains(key));
  }
  EXPECT_NEAR(count, 1000 * m_placement.Share(), 60);
}

} // namespace
} // namespace jaylane::policy
