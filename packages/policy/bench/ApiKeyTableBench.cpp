#include "jaylane/policy/ApiKeyTable.h"

#include <benchmark/benchmark.h>

#include <fmt/format.h>
#include <random>

namespace jaylane::policy {
namespace {

constexpr std::int64_t kMaxTeams = 86;

/// Creates keys of 40 characters that differ only near their ends.
Configuration MakeConfiguration(std::int64_t aKeys)
{
  Configuration configuration;
  configuration.m_teams.emplace(std::min(aKeys, kMaxTeams));
  std::vector<Team>& teams = *configuration.m_teams;
  for (std::int64_t i = 0; i < aKeys; ++i) {
    teams[i % teams.size()].m_apiKeys.push_back(fmt::format("{:0>40}", i));
  }
  return configuration;
}

void BuildApiKeyTable(benchmark::State& aState)
{
  const Configuration configuration = MakeConfiguration(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ApiKeyTable(configuration));
  }
}
BENCHMARK(BuildApiKeyTable)->Arg(10)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

void FindKeys(benchmark::State& aState, std::int64_t aFirstKey)
{
  const std::int64_t count = aState.range(0);
  const Configuration configuration = MakeConfiguration(count);
  const ApiKeyTable table(configuration);
  std::vector<std::string> keys;
  for (std::int64_t i = 0; i < count; ++i) {
    keys.push_back(fmt::format("{:0>40}", aFirstKey + i));
  }
  std::shuffle(keys.begin(), keys.end(), std::minstd_rand(1));
  std::size_t i = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.Find(keys[i]));
    i = i + 1 == keys.size() ? 0 : i + 1;
  }
  aState.SetItemsProcessed(aState.iterations());
}

void FindKnownKey(benchmark::State& aState)
{
  FindKeys(aState, 0);
}
BENCHMARK(FindKnownKey)->Arg(10)->Arg(1'000)->Arg(10'000);

void FindUnknownKey(benchmark::State& aState)
{
  FindKeys(aState, aState.range(0));
}
BENCHMARK(FindUnknownKey)->Arg(10)->Arg(1'000)->Arg(10'000);

} // namespace
} // namespace jaylane::policy
