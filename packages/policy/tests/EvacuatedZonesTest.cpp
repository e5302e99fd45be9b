#include "jaylane/policy/EvacuatedZones.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using Zones = std::set<std::string>;

class EvacuatedZonesTest : public testing::Test
{
protected:
  void Replace(const Zones& aZones) { m_zones.Replace(aZones, m_clock.Monotonic()); }

  base::ManualClock m_clock;
  EvacuatedZones m_zones{ { 5s } };
};

TEST_F(EvacuatedZonesTest, AListEndsEvacuationsThatItLacks)
{
  Replace({ "a", "b" });
  Replace({ "b" });
  EXPECT_EQ(m_zones.Zones(), Zones{ "b" });
}

// The store returns from a copy of before the evacuation. Guards against requests to the zone until
// the operator has written the evacuation again (EVAC).
TEST_F(EvacuatedZonesTest, AnEvacuationThatAnOlderCopyLacksIsHeld)
{
  Replace({ "a", "b" });
  m_zones.OnStoreRestored(m_clock.Monotonic());
  m_clock.Advance(100ms);
  Replace({ "b" });
  EXPECT_EQ(m_zones.Zones(), (Zones{ "a", "b" }));
  m_clock.Advance(2s);
  m_zones.Put("a");
  m_clock.Advance(10s);
  EXPECT_FALSE(m_zones.RemoveExpired(m_clock.Monotonic()));
  EXPECT_EQ(m_zones.Zones(), (Zones{ "a", "b" }));
}

// Guards against a zone that stays unused because its evacuation had ended before the return.
TEST_F(EvacuatedZonesTest, AnEvacuationThatIsNotWrittenAgainEnds)
{
  Replace({ "a" });
  m_zones.OnStoreRestored(m_clock.Monotonic());
  Replace({});
  m_clock.Advance(4999ms);
  Replace({});
  EXPECT_FALSE(m_zones.RemoveExpired(m_clock.Monotonic()));
  m_clock.Advance(1ms);
  EXPECT_TRUE(m_zones.RemoveExpired(m_clock.Monotonic()));
  EXPECT_TRUE(m_zones.Zones().empty());
}

// Guards against holding an evacuation that the operator takes back after the return.
TEST_F(EvacuatedZonesTest, TheOperatorEndsAHeldEvacuation)
{
  Replace({ "a" });
  m_zones.OnStoreRestored(m_clock.Monotonic());
  Replace({});
  m_zones.Remove("a");
  EXPECT_TRUE(m_zones.Zones().empty());
}

// Guards against a second return that ends what the first one made this VM hold.
TEST_F(EvacuatedZonesTest, ASecondReturnHoldsLonger)
{
  Replace({ "a" });
  m_zones.OnStoreRestored(m_clock.Monotonic());
  Replace({});
  m_clock.Advance(3s);
  m_zones.OnStoreRestored(m_clock.Monotonic());
  Replace({});
  m_clock.Advance(3s);
  EXPECT_FALSE(m_zones.RemoveExpired(m_clock.Monotonic()));
  EXPECT_EQ(m_zones.Zones(), Zones{ "a" });
}

} // namespace
} // namespace jaylane::policy
