#include "jaylane/policy/Forecast.h"

#include "PlannerScenario.h"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using bench::kStart;

/// One step while a region is drained.
void PlanDrainStep(benchmark::State& aState)
{
  auto scenario = bench::MakePlannerScenario(aState.range(0), aState.range(1));
  bench::SetRegion(scenario.m_input, "region0", SiteState::Drained);
  double moved = 0;
  for (auto _ : aState) {
    const auto plan = ShiftPlanner::PlanStep(scenario.m_table, kStart, scenario.m_input, kStart);
    moved = plan->m_movedShare;
  }
  aState.counters["moved_share"] = moved;
}
BENCHMARK(PlanDrainStep)
  ->Args({ 6, 3 })
  ->Args({ 150, 6 })
  ->Args({ 1500, 14 })
  ->Unit(benchmark::kMillisecond);

/// One step with nothing to move, the usual case.
void PlanIdleStep(benchmark::State& aState)
{
  const auto scenario = bench::MakePlannerScenario(aState.range(0), aState.range(1));
  double moved = 0;
  for (auto _ : aState) {
    moved =
      ShiftPlanner::PlanStep(scenario.m_table, kStart, scenario.m_input, kStart)->m_movedShare;
  }
  aState.counters["moved_share"] = moved;
}
BENCHMARK(PlanIdleStep)
  ->Args({ 6, 3 })
  ->Args({ 150, 6 })
  ->Args({ 1500, 14 })
  ->Unit(benchmark::kMillisecond);

/// Fraction of the cap that a drain uses while it lasts, on average and in the busiest window.
void CapUse(benchmark::State& aState)
{
  auto scenario = bench::MakePlannerScenario(6, 3);
  const auto state = aState.range(1) == 0 ? SiteState::Drained : SiteState::Dead;
  bench::SetRegion(scenario.m_input, "region0", state);
  for (auto& site : scenario.m_input.m_topology.m_sites) {
    site.m_capacity *= 2;
  }
  const std::chrono::milliseconds tick{ aState.range(0) };
  const auto& limits = scenario.m_input.m_limits;
  double moved = 0;
  double largest = 0;
  for (auto _ : aState) {
    auto table = scenario.m_table;
    auto seenAt = kStart;
    moved = 0;
    std::vector<std::pair<base::WallTime, double>> moves;
    for (auto now = kStart; now < kStart + 300s; now += tick) {
      auto plan = ShiftPlanner::PlanStep(table, seenAt, scenario.m_input, now);
      if (plan->m_state == PlanState::Step) {
        moved += plan->m_movedShare;
        moves.emplace_back(now, plan->m_movedShare);
        table = std::move(plan->m_table);
        seenAt = now;
      }
    }
    largest = 0;
    for (const auto& [from, unused] : moves) {
      double sum = 0;
      for (const auto& [at, share] : moves) {
        sum += at >= from && at < from + limits.m_window ? share : 0;
      }
      largest = std::max(largest, sum);
    }
  }
  aState.counters["average_use"] = moved / (300s / limits.m_window * limits.m_plannedCap);
  aState.counters["largest_window_use"] = largest / limits.m_plannedCap;
}
BENCHMARK(CapUse)
  ->ArgNames({ "tick_ms", "dead" })
  ->ArgsProduct({ { 1000, 3000, 5000, 10000 }, { 0, 1 } })
  ->Unit(benchmark::kMillisecond);

void ForecastDrain(benchmark::State& aState)
{
  auto scenario = bench::MakePlannerScenario(aState.range(0), aState.range(1));
  bench::SetRegion(scenario.m_input, "region0", SiteState::Drained);
  std::size_t steps = 0;
  for (auto _ : aState) {
    steps = MakeForecast(scenario.m_table, scenario.m_input, kStart)->m_steps.size();
  }
  aState.counters["steps"] = static_cast<double>(steps);
}
BENCHMARK(ForecastDrain)->Args({ 6, 3 })->Args({ 1500, 14 })->Unit(benchmark::kMillisecond);

} // namespace
} // namespace jaylane::policy
