#include "jaylane/policy/CatchUp.h"

#include "PlannerScenario.h"

#include <benchmark/benchmark.h>

namespace jaylane::policy {
namespace {

/// First step of a VM whose applied table differs from the newest one in half of the buckets.
void CatchUpStep(benchmark::State& aState)
{
  const auto scenario = bench::MakePlannerScenario(aState.range(0), aState.range(1));
  const auto applied = MakeInitialAppliedTable(scenario.m_table);
  auto newest = scenario.m_table;
  for (std::uint32_t bucket = 0; bucket < newest.BucketCount(); bucket += 2) {
    newest.Assign(bucket, static_cast<SiteIndex>((newest.SiteOf(bucket) + 1) % aState.range(0)));
  }
  newest.SetGeneration(1000);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(CatchUp(applied, newest, scenario.m_input, bench::kStart));
  }
}
BENCHMARK(CatchUpStep)
  ->Args({ 6, 3 })
  ->Args({ 150, 6 })
  ->Args({ 1500, 14 })
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace jaylane::policy
