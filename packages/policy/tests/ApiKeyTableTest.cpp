#include "jaylane/policy/ApiKeyTable.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

// Guards against a lookup that accepts a part of a key, a longer one or another case.
TEST(ApiKeyTableTest, OnlyTheWholeKeyFindsItsTeam)
{
  Configuration configuration;
  std::vector<Team>& teams = configuration.m_teams.emplace(2);
  teams[0].m_name = "a";
  teams[0].m_apiKeys = { "key-1", "key-2" };
  teams[1].m_name = "b";
  teams[1].m_apiKeys = { "key-10" };
  const ApiKeyTable table(configuration);
  ASSERT_TRUE(table.Find("key-2"));
  EXPECT_EQ(table.Find("key-1")->m_name, "a");
  EXPECT_EQ(table.Find("key-10")->m_name, "b");
  for (const char* key : { "", "key-", "key-100", "KEY-1", " key-1" }) {
    EXPECT_EQ(table.Find(key), nullptr) << key;
  }
  EXPECT_EQ(ApiKeyTable(Configuration{}).Find("key-1"), nullptr);
}

} // namespace
} // namespace jaylane::policy
