#include "jaylane/settings/SettingsTree.h"

#include "LocatedJson.h"
#include "SampleTree.h"

#include <gtest/gtest.h>

namespace jaylane::settings {
namespace {

using namespace std::chrono_literals;

void ExpectDiagnostic(const Parsed<SettingsTree>& aTree, const std::string& aProblem)
{
  const std::string problems = ToString(aTree.m_diagnostics);
  EXPECT_NE(problems.find(aProblem), std::string::npos) << aProblem << "\nin\n" << problems;
}

// Guards against inheriting whole nodes instead of single keys, and against reporting a wrong
// origin of a value.
TEST(SettingsTreeTest, InheritsPerKey)
{
  const auto tree = SettingsTree::ParseYaml(std::string(kSampleTree) + R"(nodes:
  /: { request_timeout_ms: 5000, latency_weight_percent: 80 }
  /north: { request_timeout_ms: 6000 }
  /north/tables/north-a: { retry_attempts: 3 }
)",
                                            "tree.yaml");
  ASSERT_TRUE(tree) << ToString(tree.m_diagnostics);
  const EffectiveSettings effective = tree->Effective("north", "tables", "north-a");
  EXPECT_EQ(effective.m_requestTimeout, 6s);
  EXPECT_EQ(effective.m_latencyWeightPercent, 80u);
  EXPECT_EQ(effective.m_retryAttempts, 3u);
  EXPECT_EQ(effective.m_origins.at("request_timeout_ms"), "/north");
  EXPECT_EQ(effective.m_origins.at("latency_weight_percent"), "/");
  EXPECT_EQ(effective.m_origins.at("retry_attempts"), "/north/tables/north-a");
  EXPECT_EQ(effective.m_origins.at("probe_interval_ms"), "default");
  EXPECT_EQ(tree->Effective("south", "tables", "south-a").m_requestTimeout, 5s);
  EXPECT_EQ(tree->EffectiveAt("/north/orders")->m_requestTimeout, 6s);
  EXPECT_FALSE(tree->EffectiveAt("north"));
}

// Guards against values that are lost or change their type when converted to YAML or JSON and back.
TEST(SettingsTreeTest, KeepsValuesThroughYamlAndJson)
{
  const auto tree = SettingsTree::ParseYaml(std::string(kSampleTree) + R"(laws:
  - { id: "1234", origin_region: north, allowed_regions: [north], transit_regions: [],
      effective_at: "2026-12-04T06:00:00Z" }
drains:
  - { upstream: "true", since: "2026-12-04T05:00:00Z" }
nodes:
  /: { health_path: /h, refusal_header_value: "1e3" }
)",
                                            "tree.yaml");
  ASSERT_TRUE(tree) << ToString(tree.m_diagnostics);
  const auto fromYaml = SettingsTree::ParseYaml(tree->ToYaml(), "emitted");
  ASSERT_TRUE(fromYaml) << ToString(fromYaml.m_diagnostics) << tree->ToYaml();
  EXPECT_EQ(*fromYaml, *tree);
  const auto fromJson = SettingsTree::FromJson(tree->ToJson());
  ASSERT_TRUE(fromJson);
  EXPECT_EQ(*fromJson, *tree);
  EXPECT_EQ(tree->Laws()[0].m_transitRegions->size(), 0u);
  EXPECT_EQ(FormatTime(tree->Laws()[0].m_effectiveAt), "2026-12-04T06:00:00Z");
  EXPECT_EQ(tree->FindLink("north", "south")->m_oneWayDelay, 20500us);
}

// Guards against reporting only the first problem, and against wrong line numbers.
TEST(SettingsTreeTest, ReportsAllProblemsWithLines)
{
  const auto tree = SettingsTree::ParseYaml(R"(regions:
  - { name: north, zones: [a] }
  - { name: south, zones: [a] }
  - { name: "not ok", zones: [] }
links:
  - from: north
    to: south
    rate_mbit_s: 0
client_blocks:
  - { prefix: 10.0.0.0/8, region: north }
  - { prefix: 10.1.0.0/16, region: east }
nodes:
  /:
    shift_total_cap_percent: 101
    shift_window: 5
  /west: { retry_attempts: 2 }
  /north:
    shift_planned_part_percent: 9
)",
                                            "t");
  ASSERT_FALSE(tree);
  for (const char* problem :
       { "t:3: error: @regions south zones: expected zone names unique over all regions, found a",
         "t:4: error: @regions not ok name: expected a name",
         "t:4: error: @regions not ok zones: expected a list of 1 or more",
         "t:8: error: @links north>south rate_mbit_s: expected a whole number from 1",
         "t:6: error: @links north>south one_way_delay_ms: expected a number from 0 to 10000; the",
         "t:5: error: @links: expected a link from south to north",
         "t:11: error: @client_blocks 10.1.0.0/16: expected no overlap, found one with 10.0.0.0/8",
         "t:11: error: @client_blocks 10.1.0.0/16 region: expected a known region, found east",
         "t:14: error: / shift_total_cap_percent: expected a whole number from 0 to 100, found 101",
         "t:15: error: / shift_window: expected a known key",
         "t:16: error: /west: expected a known region, found west",
         "t:18: error: /north shift_planned_part_percent: expected planned part 9 + failover part "
         "4 "
         "<= total cap 10" }) {
    ExpectDiagnostic(tree, problem);
  }
}

// Guards against missing a contradiction between a value of a node and an inherited value.
TEST(SettingsTreeTest, ChecksEffectiveValues)
{
  for (const char* node : { "{ lookup_lifetime_ms: 60001 }",
                            "{ probe_timeout_ms: 501 }",
                            "{ queue_limit_wait_ms: 30001 }",
                            "{ claim_lifetime_seconds: 29 }",
                            "{ shift_total_cap_percent: 9 }" }) {
    const std::string text = std::string(kSampleTree) + "nodes:\n  /north/tables: " + node + "\n";
    const auto tree = SettingsTree::ParseYaml(text, "t");
    EXPECT_FALSE(tree) << node;
    EXPECT_EQ(tree.m_diagnostics.size(), 1u) << ToString(tree.m_diagnostics);
  }
}

// Guards against a small file whose aliases expand to gigabytes: here, nine levels of nine aliases
// each.
TEST(SettingsTreeTest, BoundsExpandedAliases)
{
  std::string text = "a0: &a0 x\n";
  for (int level = 1; level <= 9; ++level) {
    const std::string alias = "*a" + std::to_string(level - 1);
    text += "a" + std::to_string(level) + ": &a" + std::to_string(level) + " [" + alias;
    for (int i = 1; i < 9; ++i) {
      text += ", " + alias;
    }
    text += "]\n";
  }
  const LocatedJson located = ReadYaml(text, "tree.yaml");
  ASSERT_FALSE(located.m_diagnostics.empty());
  EXPECT_NE(located.m_diagnostics.front().m_message.find("aliases"), std::string::npos);
}

// Guards against laws that alone or together leave callers without an allowed region unnoticed, and
// against a warning that the operator cannot suppress.
TEST(SettingsTreeTest, WarnsAboutLawsWithoutAllowedRegion)
{
  const std::string laws = std::string(kSampleTree) + R"(laws:
  - { id: l1, origin_region: north, allowed_regions: [north], effective_at: "2026-12-04T06:00:00Z" }
  - { id: l2, service: orders, origin_region: north, allowed_regions: [south],
      effective_at: "2026-12-04T06:00:00Z")";
  const auto tree = SettingsTree::ParseYaml(laws + " }\n", "t");
  ASSERT_TRUE(tree) << ToString(tree.m_diagnostics);
  ASSERT_EQ(tree.m_diagnostics.size(), 1u);
  ExpectDiagnostic(tree,
                   "warning: @laws l2 allowed_regions: leaves callers of north with no allowed "
                   "region for orders");
  EXPECT_TRUE(
    SettingsTree::ParseYaml(laws + ", confirm_no_region: true }\n", "t").m_diagnostics.empty());
}

// Guards against storing an entry under a key that differs from the one in its value.
TEST(SettingsTreeTest, RejectsEntryUnderDifferentKey)
{
  const auto tree = SettingsTree::ParseYaml(kSampleTree, "t");
  ASSERT_TRUE(tree);
  Json::Value service;
  service["name"] = "proofs";
  EXPECT_FALSE(tree->WithChanges({ { "@services", "tables2", service } }));
  EXPECT_TRUE(tree->WithChanges({ { "@services", "proofs", service } }));
  EXPECT_FALSE(tree->WithChanges({ { "@unknown", "proofs", service } }));
  EXPECT_FALSE(tree->WithChanges({ { "@regions", "south", std::nullopt } })) << "still referenced";
}

// Guards against a diff that does not turn one tree into the other.
TEST(SettingsTreeTest, DiffTurnsTreeIntoTarget)
{
  const auto from =
    SettingsTree::ParseYaml(std::string(kSampleTree) + "nodes: { /: { retry_attempts: 1 } }", "a");
  const auto to = SettingsTree::ParseYaml(
    std::string(kSampleTree) + "nodes: { /north: { retry_attempts: 1 } }", "b");
  ASSERT_TRUE(from && to);
  const auto changes = from->Diff(*to);
  EXPECT_EQ(changes.size(), 2u);
  EXPECT_EQ(*from->WithChanges(changes), *to);
  EXPECT_TRUE(to->Diff(*to).empty());
}

// Guards against accepting malformed prefixes and times.
TEST(SettingsTreeTest, ParsesPrefixesAndTimes)
{
  for (const char* text :
       { "10.0.0.1/8", "10.0.0/8", "10.0.0.0/33", "256.0.0.0/8", "1.2.3.4", "" }) {
    EXPECT_FALSE(Ipv4Prefix::Parse(text)) << text;
  }
  EXPECT_TRUE(Ipv4Prefix::Parse("0.0.0.0/0")->Overlaps(*Ipv4Prefix::Parse("9.0.0.0/8")));
  EXPECT_FALSE(Ipv4Prefix::Parse("9.0.0.0/8")->Overlaps(*Ipv4Prefix::Parse("10.0.0.0/8")));
  for (const char* text : { "2026-02-30T00:00:00Z",
                            "2026-1-01T00:00:00Z",
                            "2026-01-01T24:00:00Z",
                            "2026-01-01T00:00:00",
                            "2026-01-01 00:00:00Z" }) {
    EXPECT_FALSE(ParseTime(text)) << text;
  }
}

} // namespace
} // namespace jaylane::settings
