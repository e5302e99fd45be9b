#include "jaylane/settings/EditMerger.h"

#include <benchmark/benchmark.h>

namespace jaylane::settings {
namespace {

SettingsDocument LoadExample()
{
  SettingsDocument document;
  document.m_tree =
    *SettingsTree::LoadYaml(JAYLANE_SOURCE_DIR "/examples/inyenyeri/tree.yaml").m_value;
  return document;
}

SettingsDocument Edited(SettingsDocument aDocument, std::size_t aEdits)
{
  for (std::size_t i = 0; i < aEdits; ++i) {
    const Edit edit{ "e" + std::to_string(aDocument.m_generation),
                     aDocument.m_generation,
                     { { "/kigali", "retry_attempts", Json::Value(int(i % 2 + 1)) } } };
    aDocument = *EditMerger::Merge(aDocument, edit, { "ann", {}, "vm-1", "n" }).m_document;
  }
  return aDocument;
}

/// One edit of a document whose history holds the given number of edits.
void MergeOneEdit(benchmark::State& aState)
{
  const SettingsDocument document = Edited(LoadExample(), aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(Edited(document, 1));
  }
}
BENCHMARK(MergeOneEdit)->Arg(0)->Arg(50);

/// What a VM does when it receives a new generation.
void ParseDocument(benchmark::State& aState)
{
  const std::string text = Edited(LoadExample(), 50).Serialize();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SettingsDocument::Parse(text));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseDocument);

void ResolveEffective(benchmark::State& aState)
{
  const SettingsDocument document = LoadExample();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(document.m_tree.Effective("kigali", "tables-svc", "kigali-a"));
  }
}
BENCHMARK(ResolveEffective);

} // namespace
} // namespace jaylane::settings
