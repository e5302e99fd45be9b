#include "jaylane/settings/EditMerger.h"

#include "SampleTree.h"

#include <gtest/gtest.h>

namespace jaylane::settings {
namespace {

SettingsDocument MakeDocument()
{
  SettingsDocument document;
  document.m_generation = 7;
  document.m_tree = *SettingsTree::ParseYaml(kSampleTree, "t");
  return document;
}

Edit MakeEdit(const std::string& aId, std::uint64_t aBase, const std::string& aKey, int aValue)
{
  return { aId, aBase, { { "/", aKey, Json::Value(aValue) } } };
}

EditContext ContextOf(const std::string& aAuthor)
{
  return { aAuthor, *ParseTime("2026-12-04T05:20:00Z"), "vm-1", "nonce-" + aAuthor };
}

SettingsDocument MergeAccepted(const SettingsDocument& aDocument, const Edit& aEdit)
{
  const MergeResult result = EditMerger::Merge(aDocument, aEdit, ContextOf("ann"));
  EXPECT_EQ(result.m_outcome, MergeOutcome::Accepted) << ToString(result.m_diagnostics);
  return result.m_document.value_or(aDocument);
}

// Guards against losing an edit that is based on an older generation, and against such an edit
// reverting a later one.
TEST(EditMergerTest, MergesEditsOfDifferentKeys)
{
  const SettingsDocument first =
    MergeAccepted(MakeDocument(), MakeEdit("a", 7, "retry_attempts", 3));
  const SettingsDocument second =
    MergeAccepted(first, MakeEdit("b", 7, "latency_weight_percent", 70));
  EXPECT_EQ(second.m_generation, 9u);
  EXPECT_EQ(second.m_nonce, "nonce-ann");
  EXPECT_EQ(second.m_tree.EffectiveAt("/")->m_retryAttempts, 3u);
  EXPECT_EQ(second.m_tree.EffectiveAt("/")->m_latencyWeightPercent, 70u);
}

// Guards against a conflict that does not show whose value the edit would have overwritten.
TEST(EditMergerTest, ConflictNamesBothValues)
{
  const SettingsDocument first =
    MergeAccepted(MakeDocument(), MakeEdit("a", 7, "retry_attempts", 3));
  const MergeResult result =
    EditMerger::Merge(first, MakeEdit("b", 7, "retry_attempts", 4), ContextOf("bob"));
  ASSERT_EQ(result.m_code, SettingsErrc::Conflict);
  EXPECT_EQ(*result.m_conflict->m_yours, Json::Value(4));
  EXPECT_EQ(*result.m_conflict->m_theirs, Json::Value(3));
  EXPECT_EQ(result.m_conflict->m_author, "ann");
  EXPECT_EQ(result.m_conflict->m_generation, 8u);
  EXPECT_EQ(FormatTime(result.m_conflict->m_time), "2026-12-04T05:20:00Z");
  MergeAccepted(first, MakeEdit("b", 8, "retry_attempts", 4));
}

// Guards against accepting edits that are valid individually but not in combination.
TEST(EditMergerTest, RejectsInvalidMerge)
{
  const SettingsDocument first =
    MergeAccepted(MakeDocument(), MakeEdit("a", 7, "shift_total_cap_percent", 10));
  const SettingsDocument second =
    MergeAccepted(first, MakeEdit("b", 7, "shift_planned_part_percent", 5));
  const MergeResult result =
    EditMerger::Merge(second, MakeEdit("c", 7, "shift_failover_part_percent", 6), ContextOf("bob"));
  EXPECT_EQ(result.m_code, SettingsErrc::InvalidTree);
  EXPECT_EQ(result.m_diagnostics.size(), 1u);
}

// Guards against applying an edit twice when it is retried after a lost response, and against two
// different edits with the same id.
TEST(EditMergerTest, AcceptsEachEditIdOnce)
{
  const Edit edit = MakeEdit("a", 7, "retry_attempts", 3);
  const SettingsDocument first = MergeAccepted(MakeDocument(), edit);
  const SettingsDocument second = MergeAccepted(first, MakeEdit("b", 8, "retry_attempts", 4));
  const MergeResult again = EditMerger::Merge(second, edit, ContextOf("ann"));
  EXPECT_EQ(again.m_outcome, MergeOutcome::AlreadyAccepted);
  EXPECT_EQ(again.m_generation, 8u);
  EXPECT_FALSE(again.m_document);
  EXPECT_EQ(
    EditMerger::Merge(second, MakeEdit("a", 9, "retry_attempts", 5), ContextOf("ann")).m_code,
    SettingsErrc::IdReused);
  EXPECT_EQ(EditMerger::Merge(second, edit, ContextOf("bob")).m_code, SettingsErrc::IdReused);
}

// Guards against accepting an edit again after it has been dropped from the history.
TEST(EditMergerTest, RejectsBaseOlderThanHistory)
{
  SettingsDocument document =
    MergeAccepted(MakeDocument(), MakeEdit("first", 7, "retry_attempts", 3));
  for (std::size_t i = 0; i < SettingsDocument::kMaxHistory; ++i) {
    const Edit edit = MakeEdit("e" + std::to_string(i), document.m_generation, "retry_attempts", 2);
    document = MergeAccepted(document, edit);
  }
  EXPECT_EQ(document.m_history.size(), SettingsDocument::kMaxHistory);
  const Edit first = MakeEdit("first", 7, "retry_attempts", 3);
  EXPECT_EQ(EditMerger::Merge(document, first, ContextOf("ann")).m_code, SettingsErrc::BaseTooOld);
  EXPECT_EQ(EditMerger::StatusOf(document, "first", 7), EditStatus::Unknown);
  EXPECT_EQ(EditMerger::StatusOf(document, "other", 8), EditStatus::NotAccepted);
  EXPECT_EQ(EditMerger::StatusOf(document, "e49", 8), EditStatus::Accepted);
  EXPECT_EQ(EditMerger::StatusOf(document, "other", 1000), EditStatus::Unknown);
  EXPECT_EQ(
    EditMerger::Merge(document, MakeEdit("x", 1000, "retry_attempts", 2), ContextOf("ann")).m_code,
    SettingsErrc::BaseInFuture);
}

// Guards against a document above the store's size limit: the history is shortened first, and an
// edit is rejected if the tree alone is too large.
TEST(EditMergerTest, KeepsDocumentWithinSizeLimit)
{
  SettingsDocument document = MakeDocument();
  for (int round = 0; round < 3; ++round) {
    Edit edit{ "r" + std::to_string(round), document.m_generation, {} };
    for (int i = 0; i < 3000; ++i) {
      Json::Value block;
      block["prefix"] =
        "10." + std::to_string(10 + round * 12 + i / 256) + "." + std::to_string(i % 256) + ".0/24";
      block["region"] = "north";
      edit.m_changes.push_back({ "@client_blocks", block["prefix"].asString(), block });
    }
    document = MergeAccepted(document, edit);
  }
  EXPECT_LE(document.Serialize().size(), SettingsDocument::kMaxBytes);
  EXPECT_LT(document.m_history.size(), 3u);
  EXPECT_EQ(document.m_tree.ClientBlocks().size(), 9001u);
  Edit huge{ "huge", document.m_generation, {} };
  for (int i = 0; i < 10'000; ++i) {
    Json::Value law;
    law["id"] = "law-" + std::to_string(i);
    law["origin_region"] = "north";
    law["allowed_regions"].append("north");
    law["effective_at"] = "2026-12-04T06:00:00Z";
    huge.m_changes.push_back({ "@laws", law["id"].asString(), law });
  }
  EXPECT_EQ(EditMerger::Merge(document, huge, ContextOf("ann")).m_code, SettingsErrc::TooLarge);
}

// Guards against writing a document that another VM cannot parse or parses differently.
TEST(EditMergerTest, DocumentRoundTripsThroughJson)
{
  SettingsDocument document = MergeAccepted(MakeDocument(), MakeEdit("a", 7, "retry_attempts", 3));
  document = MergeAccepted(document, { "b", 8, { { "/", "retry_attempts", std::nullopt } } });
  const auto copy = SettingsDocument::Parse(document.Serialize());
  ASSERT_TRUE(copy) << copy.GetError().Message();
  EXPECT_EQ(copy->ToJson(), document.ToJson());
  EXPECT_EQ(copy->m_history[1].m_edit, document.m_history[1].m_edit);
  Json::Value gap = document.ToJson();
  gap["generation"] = 12;
  EXPECT_FALSE(SettingsDocument::FromJson(gap)) << "history with a gap";
  EXPECT_FALSE(SettingsDocument::Parse("{"));
}

} // namespace
} // namespace jaylane::settings
