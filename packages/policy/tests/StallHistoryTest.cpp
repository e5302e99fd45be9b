#include "jaylane/policy/StallHistory.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

// Guards against taking what was sent during a suspension for news of the moment at which it is
// read, also when another suspension follows.
TEST(StallHistoryTest, MessagesReadAfterAStallMayBeAsOldAsIt)
{
  const base::MonotonicTime start{ 100s };
  StallHistory stalls(400ms, 10s);
  for (const auto tick : { 0ms, 200ms, 400ms }) {
    stalls.OnTick(start + tick);
  }
  EXPECT_EQ(stalls.ArrivedAt(start + 390ms), start + 390ms);
  EXPECT_EQ(stalls.ArrivedAt(start + 4990ms), start + 400ms) << "the next tick is late";
  stalls.OnTick(start + 5000ms);
  EXPECT_EQ(stalls.ArrivedAt(start + 4990ms), start + 400ms) << "read before the first tick";
  EXPECT_EQ(stalls.ArrivedAt(start + 5100ms), start + 400ms) << "read a little later";
  stalls.OnTick(start + 6500ms);
  EXPECT_EQ(stalls.ArrivedAt(start + 6490ms), start + 400ms) << "unread through both stalls";
  stalls.OnTick(start + 6700ms);
  EXPECT_EQ(stalls.ArrivedAt(start + 6690ms), start + 400ms);
  EXPECT_EQ(stalls.ArrivedAt(start + 6710ms), start + 6710ms);
  stalls.OnTick(start + 7300ms);
  EXPECT_EQ(stalls.ArrivedAt(start + 7200ms), start + 6700ms) << "another stall";
}

// A VM that gets the processor for 300 ms and then waits for it for 500 ms, again and again, reads
// all messages each time. Guards against taking everything that it reads for as old as the first of
// these waits, so that it never again counts as informed.
TEST(StallHistoryTest, RepeatedShortStallsDoNotMakeAllMessagesOld)
{
  const base::MonotonicTime start{ 100s };
  StallHistory stalls(400ms, 3s);
  base::MonotonicTime now = start;
  for (int round = 0; round < 20; ++round) {
    for (int tick = 0; tick < 4; ++tick) {
      stalls.OnTick(now + tick * 100ms);
    }
    now += 800ms;
  }
  const base::MonotonicTime lastRead = now - 500ms;
  EXPECT_LE(lastRead - stalls.ArrivedAt(lastRead), 3s);
}

} // namespace
} // namespace jaylane::policy
