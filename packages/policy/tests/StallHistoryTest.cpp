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
  stalls.OnTick(start + 5000ms);
  EXPECT_EQ(stalls.ArrivedAt(start + 4990ms), start + 400ms) << "read before the first tick";
  EXPECT_EQ(stalls.ArrivedAt(start + 5300ms), start + 400ms) << "read a little later";
  EXPECT_EQ(stalls.ArrivedAt(start + 5500ms), start + 5500ms);
  stalls.OnTick(start + 5200ms);
  stalls.OnTick(start + 6500ms);
  EXPECT_EQ(stalls.ArrivedAt(start + 6490ms), start + 400ms) << "unread through both stalls";
  EXPECT_EQ(stalls.ArrivedAt(start + 7000ms), start + 7000ms);
}

} // namespace
} // namespace jaylane::policy
