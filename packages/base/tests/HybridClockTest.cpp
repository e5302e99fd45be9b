#include "jaylane/base/HybridClock.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace jaylane::base {
namespace {

// Guards against an effect of a message that is ordered before the message.
RC_GTEST_PROP(HybridClock, ReceiverIsLaterThanSender, (const std::vector<std::uint16_t>& aSteps))
{
  ManualClock slow;
  ManualClock fast;
  HybridClock sender(fast);
  HybridClock receiver(slow);
  for (const auto step : aSteps) {
    fast.Advance(std::chrono::milliseconds{ step % 300 });
    const auto sent = sender.Now();
    receiver.Observe(sent);
    const auto ahead = std::chrono::milliseconds{ sent.m_millis } - slow.Wall().time_since_epoch();
    if (ahead <= HybridClock::kMaxAhead) {
      RC_ASSERT(receiver.Now() > sent);
    }
  }
}

// Guards against one VM with a wrong clock that advances the clocks of all others.
TEST(HybridClock, IgnoresStampsFarAhead)
{
  ManualClock clock;
  HybridClock hybrid(clock);
  auto farAhead = hybrid.Now();
  farAhead.m_millis += 3'600'000;
  hybrid.Observe(farAhead);
  EXPECT_LT(hybrid.Now(), farAhead);
}

// Guards against accepting malformed stamps from peers.
TEST(HybridStamp, RejectsMalformedText)
{
  const HybridStamp stamp{ 1234, 5 };
  EXPECT_EQ(HybridStamp::Parse(stamp.ToString()), stamp);
  for (const char* text : { "", ".", "1", "1.", "1.2x", "-1.2", "1.99999999999" }) {
    EXPECT_EQ(HybridStamp::Parse(text), std::nullopt) << text;
  }
}

} // namespace
} // namespace jaylane::base
