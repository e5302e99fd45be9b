#include "jaylane/policy/ShareTable.h"

#include "jaylane/policy/SlotError.h"

#include <gtest/gtest.h>

#include <json/reader.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace jaylane::policy {
namespace {

ShareTable MakeTable(const std::vector<std::pair<std::uint8_t, std::uint8_t>>& aAssignments)
{
  ShareTable table = *ShareTable::Make(32, "vm-0");
  for (const auto& [unit, owner] : aAssignments) {
    table.Assign(unit % 32, "vm-" + std::to_string(owner % 5), owner % 3);
  }
  return table;
}

using Assignments = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

// Guards against an owner or a reclaim id that changes when the table is encoded and decoded.
RC_GTEST_PROP(ShareTable, CodecKeepsOwnersAndReclaimIds, (const Assignments& aAssignments))
{
  ShareTable table = MakeTable(aAssignments);
  table.Stamp("writer", "nonce");
  const auto decoded = ShareTable::FromJson(table.ToJson());
  RC_ASSERT(bool(decoded));
  RC_ASSERT(decoded->WrittenBy("writer", "nonce"));
  RC_ASSERT(decoded->Owners() == table.Owners());
  for (std::uint32_t unit = 0; unit < table.Units(); ++unit) {
    RC_ASSERT(decoded->OwnerOf(unit) == table.OwnerOf(unit));
    RC_ASSERT(decoded->ReclaimIdOf(unit) == table.ReclaimIdOf(unit));
  }
}

// Guards against a slot that changes its owner when the units are doubled.
RC_GTEST_PROP(ShareTable,
              DoublingKeepsTheOwnerOfEverySlot,
              (const Assignments& aAssignments, std::uint64_t aHash))
{
  const ShareTable before = MakeTable(aAssignments);
  ShareTable after = before;
  after.Double();
  for (std::uint32_t slot = 0; slot < 100; ++slot) {
    RC_ASSERT(after.OwnerOf(after.UnitOf(aHash, slot)) ==
              before.OwnerOf(before.UnitOf(aHash, slot)));
  }
}

// Guards against a malformed object in the store that leaves slots without an owner or with two.
TEST(ShareTable, RejectsMalformedObjects)
{
  const char* const texts[] = {
    R"([])",
    R"({"units":2,"owners":["a"],"runs":[[2,0,0]],"writer":"w"})",
    R"({"units":2,"owners":["a"],"runs":[[1,0,0]],"writer":"w","nonce":"n"})",
    R"({"units":3,"owners":["a"],"runs":[[3,0,0]],"writer":"w","nonce":"n"})",
    R"({"units":2,"owners":["a"],"runs":[[2,1,0]],"writer":"w","nonce":"n"})",
    R"({"units":2,"owners":["a"],"runs":[[2,-1,0]],"writer":"w","nonce":"n"})",
    R"({"units":2,"owners":["a"],"runs":[[2,0]],"writer":"w","nonce":"n"})",
    R"({"units":2,"owners":["a","a"],"runs":[[2,0,0]],"writer":"w","nonce":"n"})",
    R"({"units":2,"owners":[""],"runs":[[2,0,0]],"writer":"w","nonce":"n"})",
    R"({"units":0,"owners":[],"runs":[],"writer":"w","nonce":"n"})",
    R"({"units":2,"owners":["a"],"runs":[[4000000000,0,0],[2,0,0]],"writer":"w","nonce":"n"})",
  };
  for (const char* const text : texts) {
    Json::Value json;
    ASSERT_TRUE(Json::Reader().parse(text, json)) << text;
    const auto table = ShareTable::FromJson(json);
    ASSERT_FALSE(table) << text;
    EXPECT_EQ(table.GetError().m_code, make_error_code(SlotErrc::InvalidShareTable));
  }
}

} // namespace
} // namespace jaylane::policy
