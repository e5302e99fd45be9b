#include "ConfigState.h"

#include "TestContext.h"
#include "TestTree.h"

#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

// Guards against an accepted configuration that reverts after an outage (G8).
TEST(ConfigState, OnlyAHigherGenerationTakesEffect)
{
  TestContext test;
  ConfigState state(test.m_context);
  int changes = 0;
  state.SetChangeHook([&](const Config&) { ++changes; });
  EXPECT_TRUE(state.Apply(TestDocument(5)));
  EXPECT_FALSE(state.Apply(TestDocument(4)));
  EXPECT_FALSE(state.Apply(TestDocument(5)));
  EXPECT_FALSE(state.Apply("not json"));
  EXPECT_EQ(state.Generation(), 5u);
  EXPECT_TRUE(state.Apply(TestDocument(6)));
  EXPECT_EQ(changes, 2);
}

// Guards against callers assigned to the wrong region, which decides the legal rules that apply.
TEST(ConfigState, FindsTheOriginOfACaller)
{
  TestContext test;
  ConfigState state(test.m_context);
  ASSERT_TRUE(state.Apply(TestDocument(1)));
  const auto config = state.Current();
  EXPECT_EQ(FindOrigin(*config, "10.1.2.3")->m_region, "east");
  EXPECT_EQ(FindOrigin(*config, "10.2.2.3")->m_region, "west");
  EXPECT_FALSE(FindOrigin(*config, "10.3.2.3"));
  // Guards against a large block that can only be moved as a whole.
  EXPECT_EQ(FindOrigin(*config, "10.1.2.3")->m_block, FindOrigin(*config, "10.1.2.9")->m_block);
  EXPECT_NE(FindOrigin(*config, "10.1.2.3")->m_block, FindOrigin(*config, "10.1.3.3")->m_block);
  EXPECT_FALSE(FindOrigin(*config, "caller"));
}

} // namespace
} // namespace jaylane::entry
