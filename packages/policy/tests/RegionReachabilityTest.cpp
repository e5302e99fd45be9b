#include "jaylane/policy/RegionReachability.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

class RegionReachabilityTest : public testing::Test
{
protected:
  bool Fail(int aUpstream) { return m_regions.OnFailure("far", "u" + std::to_string(aUpstream)); }
  double Share() const { return m_regions.KeyShare("far", m_clock.Monotonic()); }

  base::ManualClock m_clock;
  RegionReachability m_regions{ {} };
};

// A VM must not find out by a timeout for each of hundreds of upstreams that their region is cut
// off.
TEST_F(RegionReachabilityTest, AFewUpstreamsInARowMeanACut)
{
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(Fail(i));
    EXPECT_EQ(Share(), 1);
  }
  EXPECT_TRUE(Fail(3));
  EXPECT_EQ(Share(), 0);
  EXPECT_EQ(m_regions.KeyShare("other", m_clock.Monotonic()), 1);
}

// Crashes of single upstreams must not move the keys of the whole region.
TEST_F(RegionReachabilityTest, ResponsesInBetweenMeanCrashes)
{
  for (int i = 0; i < 50; ++i) {
    EXPECT_FALSE(Fail(i));
    if (i % 3 == 2) {
      m_regions.OnResponse("far", m_clock.Monotonic());
    }
  }
  EXPECT_EQ(Share(), 1);
}

// One unreachable upstream that many requests try says nothing about its region.
TEST_F(RegionReachabilityTest, OneUpstreamCountsOnce)
{
  for (int i = 0; i < 50; ++i) {
    EXPECT_FALSE(Fail(1));
  }
  EXPECT_EQ(Share(), 1);
}

// At most 0.15 of a region's requests may change their region within two seconds.
TEST_F(RegionReachabilityTest, KeysReturnSlowly)
{
  for (int i = 0; i < 4; ++i) {
    Fail(i);
  }
  m_clock.Advance(5s);
  EXPECT_EQ(Share(), 0);
  EXPECT_TRUE(m_regions.OnResponse("far", m_clock.Monotonic()));
  EXPECT_FALSE(m_regions.OnResponse("far", m_clock.Monotonic()));
  for (int i = 0; i < 20; ++i) {
    const double before = Share();
    m_clock.Advance(2s);
    EXPECT_LE(Share() - before, 0.15);
  }
  EXPECT_EQ(Share(), 1);
  EXPECT_FALSE(m_regions.IsReturning(m_clock.Monotonic()));
}

} // namespace
} // namespace jaylane::policy
