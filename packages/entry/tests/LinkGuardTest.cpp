#include "LinkGuard.h"

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

class LinkGuardTest : public testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(m_state.Apply(TestDocument(1))); }

  /// Draws as much as possible for five seconds.
  double DrawnPerSecond(LinkGuard& aGuard, bool aBulk)
  {
    constexpr int kSeconds = 5;
    double drawn = 0;
    for (int i = 0; i < kSeconds * 100; ++i) {
      m_test.m_clock.Advance(std::chrono::milliseconds{ 10 });
      while (const auto bytes = aGuard.Acquire("west", aBulk, kBlockBytes)) {
        drawn += static_cast<double>(bytes);
      }
    }
    return drawn / kSeconds;
  }

  TestContext m_test;
  ConfigState m_state{ m_test.m_context };
};

// Guards against forwarded uploads that fill a link between regions.
TEST_F(LinkGuardTest, KeepsToTheShareOfTheLink)
{
  LinkGuard guard(m_test.m_context);
  guard.Apply(*m_state.Current(), MakeView(4));
  EXPECT_NEAR(DrawnPerSecond(guard, false), kLinkBytesPerSecond / 4, kLinkBytesPerSecond / 40);
  // The default leaves half of a link to other traffic.
  EXPECT_NEAR(DrawnPerSecond(guard, true), kLinkBytesPerSecond / 8, kLinkBytesPerSecond / 40);
  EXPECT_EQ(guard.Acquire("elsewhere", true, kBlockBytes), kBlockBytes);
}

// Guards against shares that add up to more than the link when a VM sees a shorter list.
TEST_F(LinkGuardTest, ShorterListsDoNotRaiseTheShare)
{
  LinkGuard guard(m_test.m_context);
  guard.Apply(*m_state.Current(), MakeView(4));
  guard.Apply(*m_state.Current(), MakeView(1));
  EXPECT_NEAR(DrawnPerSecond(guard, false), kLinkBytesPerSecond / 4, kLinkBytesPerSecond / 40);
}

} // namespace
} // namespace jaylane::entry
