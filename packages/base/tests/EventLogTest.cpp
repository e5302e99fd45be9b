#include "jaylane/base/EventLog.h"

#include <gtest/gtest.h>

namespace jaylane::base {
namespace {

// Guards against unbounded memory and against a reader that misses newer events.
TEST(EventLog, KeepsTheNewestWithinItsCapacity)
{
  ManualClock clock;
  HybridClock hybrid(clock);
  EventLog log("vm-1", hybrid, 3);
  for (int i = 1; i <= 5; ++i) {
    log.Record("tick");
  }
  const auto events = log.After(0);
  ASSERT_EQ(events.size(), 3u);
  EXPECT_EQ(events.front().m_sequence, 3u);
  EXPECT_LT(events[0].m_stamp, events[1].m_stamp);
  EXPECT_EQ(log.After(4).size(), 1u);
  EXPECT_EQ(events[0].ToJson()["process"].asString(), "vm-1");
}

} // namespace
} // namespace jaylane::base
