#include "jaylane/platform/VmList.h"

#include "jaylane/platform/PlatformError.h"

#include <gtest/gtest.h>

namespace jaylane::platform {
namespace {

// Guards against fields that are lost or swapped by encoding or parsing.
TEST(VmList, RoundTrip)
{
  VmEntry vm{ "u1",  VmRole::Upstream, "svc", "r", "z",          "a:1", "a:2",
              "a:3", VmState::Leaving, 3,     400, "incarnation" };
  const VmList list{ { vm, VmEntry{} } };
  EXPECT_FALSE(VmList::Parse(list.ToJson()));
  const VmList valid{ { vm } };
  const auto parsed = VmList::Parse(valid.ToJson());
  ASSERT_TRUE(parsed);
  EXPECT_EQ(*parsed, valid);
}

// Guards against a malformed list that is taken for an empty one, as if all VMs had stopped.
TEST(VmList, RejectsMalformedLists)
{
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"vms":{}})",
                            R"({"vms":[1]})",
                            R"({"vms":[{"id":"a","role":"x","state":"running"}]})",
                            R"({"vms":[{"id":"a","role":"entry"}]})" }) {
    const auto parsed = VmList::Parse(std::string_view(text));
    ASSERT_FALSE(parsed) << text;
    EXPECT_EQ(parsed.GetError().m_code, PlatformErrc::Malformed);
  }
}

} // namespace
} // namespace jaylane::platform
