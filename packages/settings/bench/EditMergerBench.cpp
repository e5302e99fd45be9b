#include "jaylane/settings/EditMerger.h"

#include <benchmark/benchmark.h>

namespace jaylane::settings {
namespace {

SettingsDocument LoadExampleDocument()
{
  SettingsDocument document;
  document.m_tree =
    *SettingsTree::LoadYaml(JAYLANE_SOURCE_DIR "/examples/inyenyeri/tree.yaml").m_value;
  return document;
}

/// @return the document after a number of edits of one key.
SettingsDocument WithEdits(SettingsDocument aDocument, std::size_t aEdits)
{
  for (std::size_t i = 0; i < aEdits; ++i) {
    const Edit edit{ "e" + std::to_string(aDocument.m_generation),
                     aDocument.m_generation,
                     { { "/kigali", "retry_attempts", Json::Value(int(i % 2 + 1)) } } };
    aDocument = *EditMerger::Merge(aDocument, edit, { "ann", {}, "vm-1", "n" }).m_document;
  }
  return aDocument;
}

/// Creates a tree of the target size that section 1.5 of the design states: 14 regions, 43 zones.
SettingsDocument MakeLargeDocument()
{
  constexpr int kRegions = 14;
  constexpr int kServices = 40;
  Json::Value json(Json::objectValue);
  for (int i = 0; i < kRegions; ++i) {
    const std::string name = "region-" + std::to_string(i);
    Json::Value region;
    region["name"] = name;
    for (int zone = 0; zone < (i == 0 ? 4 : 3); ++zone) {
      region["zones"].append(name + "-" + std::to_string(zone));
    }
    json["regions"].append(region);
    for (int j = 0; j < kRegions; ++j) {
      if (i != j) {
        Json::Value link;
        link["from"] = name;
        link["to"] = "region-" + std::to_string(j);
        link["rate_mbit_s"] = 4000;
        link["one_way_delay_ms"] = 20;
        json["links"].append(link);
      }
    }
    for (int service = 0; service < kServices; ++service) {
      Json::Value& node = json["nodes"]["/" + name + "/service-" + std::to_string(service)];
      node["request_timeout_ms"] = 5000 + service;
      node["queue_limit_requests"] = 100 + service;
    }
    for (int block = 0; block < 100; ++block) {
      Json::Value entry;
      entry["prefix"] = "10." + std::to_string(i) + "." + std::to_string(block) + ".0/24";
      entry["region"] = name;
      json["client_blocks"].append(entry);
    }
    for (int law = 0; law < 30; ++law) {
      Json::Value entry;
      entry["id"] = name + "-law-" + std::to_string(law);
      entry["service"] = "service-" + std::to_string(law);
      entry["origin_region"] = name;
      entry["allowed_regions"].append(name);
      entry["effective_at"] = "2026-12-04T06:00:00Z";
      json["laws"].append(entry);
    }
  }
  for (int service = 0; service < kServices; ++service) {
    Json::Value entry;
    entry["name"] = "service-" + std::to_string(service);
    json["services"].append(entry);
  }
  SettingsDocument document;
  document.m_tree = *SettingsTree::FromJson(json);
  return document;
}

/// Merges an edit into the example tree; the argument is the number of edits in the history.
void MergeOneEdit(benchmark::State& aState)
{
  const SettingsDocument document = WithEdits(LoadExampleDocument(), aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(WithEdits(document, 1));
  }
}
BENCHMARK(MergeOneEdit)->Arg(0)->Arg(50);

/// Parses the example document with a full history, as a VM does for each new generation.
void ParseDocument(benchmark::State& aState)
{
  const std::string text = WithEdits(LoadExampleDocument(), 50).Serialize();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SettingsDocument::Parse(text));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseDocument);

/// Parses a document of the target size.
void ParseLargeDocument(benchmark::State& aState)
{
  const std::string text = MakeLargeDocument().Serialize();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SettingsDocument::Parse(text));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseLargeDocument)->Unit(benchmark::kMillisecond);

/// Merges an edit into a document of the target size.
void MergeIntoLargeDocument(benchmark::State& aState)
{
  const SettingsDocument document = MakeLargeDocument();
  const Edit edit{ "e", 0, { { "/region-0", "retry_attempts", Json::Value(2) } } };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EditMerger::Merge(document, edit, { "ann", {}, "vm-1", "n" }));
  }
}
BENCHMARK(MergeIntoLargeDocument)->Unit(benchmark::kMillisecond);

/// Resolves the effective settings of one service in one zone.
void ResolveEffective(benchmark::State& aState)
{
  const SettingsDocument document = LoadExampleDocument();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(document.m_tree.Effective("kigali", "tables-svc", "kigali-a"));
  }
}
BENCHMARK(ResolveEffective);

} // namespace
} // namespace jaylane::settings
