#include "jaylane/policy/SteeringTable.h"

#include "PlannerScenario.h"

#include <benchmark/benchmark.h>

namespace jaylane::policy {
namespace {

/// @return a table in the middle of a shift, which carries as many moves as the cap allows.
SteeringTable MakeTableDuringShift(std::int64_t aSites, std::int64_t aRegions)
{
  auto scenario = bench::MakePlannerScenario(aSites, aRegions);
  bench::SetRegion(scenario.m_input, "region0", SiteState::Dead);
  return ShiftPlanner::PlanStep(scenario.m_table, bench::kStart, scenario.m_input, bench::kStart)
    ->m_table;
}

void WriteTable(benchmark::State& aState)
{
  const auto table = MakeTableDuringShift(aState.range(0), aState.range(1));
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = table.ToJson().size();
  }
  aState.counters["json_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(WriteTable)
  ->Args({ 6, 3 })
  ->Args({ 150, 6 })
  ->Args({ 1500, 14 })
  ->Unit(benchmark::kMillisecond);

void ReadTable(benchmark::State& aState)
{
  const auto text = MakeTableDuringShift(aState.range(0), aState.range(1)).ToJson();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SteeringTable::FromJson(text));
  }
}
BENCHMARK(ReadTable)
  ->Args({ 6, 3 })
  ->Args({ 150, 6 })
  ->Args({ 1500, 14 })
  ->Unit(benchmark::kMillisecond);

/// Table with the largest stored form: no equal neighbours and all splits in use.
void WriteWorstTable(benchmark::State& aState)
{
  auto table = bench::MakePlannerScenario(1500, 14).m_table;
  for (std::uint32_t bucket = 0; bucket < table.BucketCount(); ++bucket) {
    table.Assign(bucket, static_cast<SiteIndex>(1000 + bucket % 500));
  }
  for (std::uint32_t bucket = 0; bucket < kMaxSplits; ++bucket) {
    table.Split(bucket);
    for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
      table.AssignPart(bucket, part, static_cast<SiteIndex>(1000 + part));
    }
  }
  std::size_t bytes = 0;
  for (auto _ : aState) {
    bytes = table.ToJson().size();
  }
  aState.counters["json_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(WriteWorstTable)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace jaylane::policy
