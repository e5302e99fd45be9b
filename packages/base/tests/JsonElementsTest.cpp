#include "jaylane/base/JsonElements.h"

#include "jaylane/base/JsonText.h"

#include <gtest/gtest.h>
#include <random>

namespace jaylane::base {
namespace {

TEST(JsonElements, SeparatesElementsFromTheirObject)
{
  const std::string text =
    R"( { "x" : {"list":[1,2]}, "list" : [ {"a":"],["} , [1,[2]] ,"b\"]", 1e999 ], "y":5 } )";
  const auto parsed = ParseJsonElements(text, "list");
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->m_elements,
            (std::vector<std::string_view>{ R"({"a":"],["})", "[1,[2]]", R"("b\"]")", "1e999" }));
  EXPECT_EQ(parsed->m_object["y"], 5);
  EXPECT_EQ(parsed->m_object["x"]["list"].size(), 2U);
  EXPECT_TRUE(parsed->m_object["list"].empty());
  const auto empty = ParseJsonElements(R"({"list":[]})", "list");
  ASSERT_TRUE(empty);
  EXPECT_TRUE(empty->m_elements.empty());
}

TEST(JsonElements, FindsMembers)
{
  const std::string text = R"({"a":{"b":1}, "b" : "x,}", "c":[1,2]})";
  const JsonMembers members(text);
  EXPECT_EQ(members.Text("a"), R"({"b":1})");
  EXPECT_EQ(members.Text("b"), R"("x,}")");
  EXPECT_EQ(members.Text("c"), "[1,2]");
  EXPECT_EQ(members.Text("d"), "");
  EXPECT_EQ(JsonMembers("[1]").Text("a"), "");
}

// Guards against VMs that read different values from the same text.
TEST(JsonElements, OddMembersAreReadInOneWay)
{
  const JsonMembers members(R"({"\u0061":1,"a":2,"a":3,"b" 4,,"b":5,c:6,"d":7})");
  EXPECT_EQ(members.Text("a"), "2") << "the first one without escapes";
  EXPECT_EQ(members.Text("b"), "5") << "the first one with a colon";
  EXPECT_EQ(members.Text("d"), "") << "behind text that is no member";
}

// Guards against an entry that ends the process because it is nested deeply.
TEST(JsonElements, NestingCostsNoStack)
{
  const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
  const std::string text = R"({"list":[{"a":1},)" + deep + R"(,{"a":2}],"y":5})";
  const auto parsed = ParseJsonElements(text, "list");
  ASSERT_TRUE(parsed);
  ASSERT_EQ(parsed->m_elements.size(), 3U);
  EXPECT_EQ(parsed->m_elements[2], R"({"a":2})");
  EXPECT_FALSE(ParseJson(parsed->m_elements[1]));
}

// Guards against reads beyond the text.
TEST(JsonElements, AnyTextIsReadOrRejected)
{
  const std::string text = R"({"x":"y\"","list":[{"a":"b"},[1,2],3],"y":5})";
  std::minstd_rand random{ 5 };
  constexpr std::string_view kBytes = "{}[]\",:\\ a1";
  for (int i = 0; i < 20'000; ++i) {
    std::string changed = text.substr(0, random() % (text.size() + 1));
    for (int change = 0; change < 3 && !changed.empty(); ++change) {
      changed[random() % changed.size()] = kBytes[random() % kBytes.size()];
    }
    if (const auto parsed = ParseJsonElements(changed, "list")) {
      for (const std::string_view element : parsed->m_elements) {
        ASSERT_GE(element.data(), changed.data());
        ASSERT_LE(element.data() + element.size(), changed.data() + changed.size());
      }
    }
  }
}

} // namespace
} // namespace jaylane::base
