#include "jaylane/policy/ExecutionLedger.h"

#include "AllocationCount.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace jaylane::policy {
namespace {

/// Handles one request with a new key in a ledger that holds the given number of keys.
void BeginFinish(benchmark::State& aState)
{
  const auto count = static_cast<std::size_t>(aState.range(0));
  ExecutionLedgerOptions options;
  options.m_maxKeys = count + (std::size_t{ 1 } << 26);
  const base::MonotonicTime now{ std::chrono::hours{ 1 } };
  auto ledger = *ExecutionLedger::Make(options, { 1, 2 }, now);
  const auto scope = *ledger.CurrentScope(now);
  std::size_t next = 0;
  const auto run = [&] {
    const ExecutionKey key{ scope, fmt::format("{:016x}", next++) };
    benchmark::DoNotOptimize(ledger.Begin(key, now));
    ledger.Finish(key, { KeyState::Completed, 200 }, now);
  };
  const auto before = AllocatedBytes();
  while (next < count) {
    run();
  }
  aState.counters["bytes_per_key"] =
    static_cast<double>(AllocatedBytes() - before) / static_cast<double>(count);
  for (auto _ : aState) {
    run();
  }
}
BENCHMARK(BeginFinish)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Iterations(20'000);

} // namespace
} // namespace jaylane::policy
