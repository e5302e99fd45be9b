#include "LinkRateLimiter.h"

#include "TestContext.h"
#include "TestTree.h"

#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

constexpr std::size_t kBlockBytes = 64 * 1024;
/// 100 Mbit/s of the test tree.
constexpr double kLinkBytesPerSecond = 12.5e6;

DirectoryView MakeView(std::size_t aVms)
{
  DirectoryView view;
  for (std::size_t i = 0; i < aVms; ++i) {
    view.m_entryVms.push_back(
      { "vm", std::to_string(i), { "east", "east-a" }, {}, {}, false, {}, {} });
  }
  return view;
}

class LinkRateLimiterTest : public testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(m_state.Apply(TestDocument(1))); }

  /// Draws as many bytes as possible for five seconds.
  /// @return bytes per second.
  double DrawnPerSecond(LinkRateLimiter& aLimiter, bool aBulk)
  {
    constexpr int kSeconds = 5;
    double drawn = 0;
    for (int i = 0; i < kSeconds * 100; ++i) {
      m_test.m_clock.Advance(std::chrono::milliseconds{ 10 });
      while (const auto bytes = aLimiter.Draw("west", aBulk, kBlockBytes)) {
        drawn += static_cast<double>(bytes);
      }
    }
    return drawn / kSeconds;
  }

  TestContext m_test;
  ConfigState m_state{ m_test.m_context };
};

// Guards against forwarded uploads that fill a link between regions.
TEST_F(LinkRateLimiterTest, KeepsToTheShareOfTheLink)
{
  LinkRateLimiter limiter(m_test.m_context);
  limiter.Apply(*m_state.Current(), MakeView(4));
  EXPECT_NEAR(DrawnPerSecond(limiter, false), kLinkBytesPerSecond / 4, kLinkBytesPerSecond / 40);
  // By default bulk transfers may use half of a link.
  EXPECT_NEAR(DrawnPerSecond(limiter, true), kLinkBytesPerSecond / 8, kLinkBytesPerSecond / 40);
  EXPECT_EQ(limiter.Draw("elsewhere", true, kBlockBytes), kBlockBytes);
}

// Guards against shares that add up to more than the link when a VM sees a shorter list.
TEST_F(LinkRateLimiterTest, ShorterListsDoNotRaiseTheShare)
{
  LinkRateLimiter limiter(m_test.m_context);
  limiter.Apply(*m_state.Current(), MakeView(4));
  limiter.Apply(*m_state.Current(), MakeView(1));
  EXPECT_NEAR(DrawnPerSecond(limiter, false), kLinkBytesPerSecond / 4, kLinkBytesPerSecond / 40);
}

} // namespace
} // namespace jaylane::entry
