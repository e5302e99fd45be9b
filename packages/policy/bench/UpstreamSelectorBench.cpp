#include "DispatchSimulation.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <random>

namespace jaylane::policy {
namespace {

void Report(benchmark::State& aState, const DispatchScenario& aScenario)
{
  DispatchStats sum;
  constexpr int kSeeds = 3;
  for (auto _ : aState) {
    sum = {};
    for (int seed = 1; seed <= kSeeds; ++seed) {
      auto scenario = aScenario;
      scenario.m_seed = static_cast<std::uint64_t>(seed);
      const auto stats = Simulate(scenario);
      sum.m_p50Ms += stats.m_p50Ms / kSeeds;
      sum.m_p99Ms += stats.m_p99Ms / kSeeds;
      sum.m_slowShare += stats.m_slowShare / kSeeds;
      sum.m_overSecond += stats.m_overSecond / kSeeds;
      sum.m_secondsToFairShare += stats.m_secondsToFairShare / kSeeds;
    }
  }
  aState.counters["p50_ms"] = sum.m_p50Ms;
  aState.counters["p99_ms"] = sum.m_p99Ms;
  aState.counters["over_1s"] = sum.m_overSecond;
  aState.counters["slow_share"] = sum.m_slowShare;
  if (aScenario.m_joining > 0) {
    aState.counters["fair_s"] = sum.m_secondsToFairShare;
  }
}

struct NamedScenario
{
  std::string m_name;
  DispatchScenario m_scenario;
};

std::vector<NamedScenario> PolicyScenarios()
{
  std::vector<NamedScenario> scenarios;
  for (const double load : { 0.7, 0.85 }) {
    for (const std::size_t slow : { 3, 0 }) {
      const auto add = [&](const char* aName,
                           DispatchPolicy aPolicy,
                           LoadReports aReports,
                           std::size_t aSlotsPerVm = 4) {
        DispatchScenario scenario;
        scenario.m_slotsPerVm = aSlotsPerVm;
        scenario.m_policy = aPolicy;
        scenario.m_reports = aReports;
        scenario.m_slowUpstreams = slow;
        scenario.m_load = load;
        scenarios.push_back(
          { fmt::format("Policy/{}/slow:{}/load:{}", aName, slow, load), scenario });
      };
      add("RoundRobin", DispatchPolicy::RoundRobin, LoadReports::None);
      add("LeastConnections", DispatchPolicy::LeastConnections, LoadReports::None);
      add("SelectorNoReports", DispatchPolicy::Selector, LoadReports::None);
      add("SelectorLagging", DispatchPolicy::Selector, LoadReports::Lagging);
      add("SelectorWrong", DispatchPolicy::Selector, LoadReports::Wrong);
      add("SelectorLaggingOneSlot", DispatchPolicy::Selector, LoadReports::Lagging, 1);
    }
  }
  return scenarios;
}

// Six of 26 upstreams join with cold caches, and their capacity is needed.
std::vector<NamedScenario> RampScenarios()
{
  std::vector<NamedScenario> scenarios;
  for (const double missCost : { 4.0, 20.0 }) {
    const auto add = [&](const char* aName, double aInitialShare, int aSeconds) {
      DispatchScenario scenario;
      scenario.m_slowUpstreams = 0;
      scenario.m_joining = 6;
      scenario.m_cache.m_missCost = missCost;
      scenario.m_options.m_rampInitialShare = aInitialShare;
      scenario.m_options.m_rampDuration = std::chrono::seconds{ aSeconds };
      scenarios.push_back(
        { fmt::format("Ramp/{}/seconds:{}/miss:{}", aName, aSeconds, missCost), scenario });
    };
    add("None", 1, 1);
    for (const int seconds : { 12, 24, 48 }) {
      add("Linear", 0.1, seconds);
    }
  }
  return scenarios;
}

const bool kAreScenariosRegistered = [] {
  for (const auto& scenarios : { PolicyScenarios(), RampScenarios() }) {
    for (const auto& [name, scenario] : scenarios) {
      benchmark::RegisterBenchmark(
        name.c_str(), [scenario = scenario](benchmark::State& aState) { Report(aState, scenario); })
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);
    }
  }
  return true;
}();

// Time to choose an upstream for one request and to record its dispatch and its end.
// Argument: upstreams.
void Pick(benchmark::State& aState)
{
  std::mt19937_64 random(1);
  UpstreamSelector selector({}, [&random] { return random(); });
  std::vector<ListedUpstream> list;
  for (int i = 0; i < aState.range(0); ++i) {
    list.push_back({ fmt::format("upstream-{:05}", i), "1", 4, false });
  }
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  selector.ApplyList(list, now);
  selector.Advance(now += std::chrono::minutes{ 1 });
  for (auto _ : aState) {
    now += std::chrono::milliseconds{ 1 };
    const auto choice = selector.Pick([](std::string_view) { return true; }, {}, now);
    selector.Dispatched(*choice);
    selector.Finished(*choice, DispatchResult::Completed, std::chrono::milliseconds{ 60 }, now);
  }
  // Ids of up to 15 bytes are stored inside the object.
  aState.counters["bytes_per_upstream"] = sizeof(UpstreamState);
}
BENCHMARK(Pick)->Arg(20)->Arg(200)->Arg(2000);

} // namespace
} // namespace jaylane::policy
