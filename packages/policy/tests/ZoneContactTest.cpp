#include "jaylane/policy/ZoneContact.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

// Guards against taking contact to half of the zones, or to the own one, for contact to most.
TEST(ZoneContactTest, MoreThanHalfOfTheZonesMustBeHeard)
{
  const base::MonotonicTime now{ 100s };
  EXPECT_EQ(MostZonesHeardAt({}), std::nullopt);
  EXPECT_EQ(MostZonesHeardAt({ now }), now);
  EXPECT_EQ(MostZonesHeardAt({ now, std::nullopt }), std::nullopt);
  EXPECT_EQ(MostZonesHeardAt({ now, now - 4s }), now - 4s);
  EXPECT_EQ(MostZonesHeardAt({ now, now - 9s, now - 1s }), now - 1s);
  EXPECT_EQ(MostZonesHeardAt({ now - 2s, now, now - 1s, std::nullopt, now - 7s, std::nullopt }),
            now - 7s);
}

} // namespace
} // namespace jaylane::policy
