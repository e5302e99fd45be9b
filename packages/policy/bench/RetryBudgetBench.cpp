#include "jaylane/policy/RetryBudget.h"

#include "jaylane/policy/ConcurrencyLimit.h"

#include <benchmark/benchmark.h>

namespace jaylane::policy {
namespace {

/// Time to count a request and to ask for a retry.
void RequestAndRetry(benchmark::State& aState)
{
  RetryBudget budget({});
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  for (auto _ : aState) {
    now += std::chrono::microseconds{ 100 };
    budget.OnRequest(now);
    benchmark::DoNotOptimize(budget.TryRetry(now));
  }
  aState.counters["bytes/service"] = sizeof(RetryBudget);
}

/// Time to record a completed attempt and to read the limit.
void LimitOnCompleted(benchmark::State& aState)
{
  ConcurrencyLimit limit({});
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  for (auto _ : aState) {
    now += std::chrono::microseconds{ 100 };
    limit.OnCompleted(now - std::chrono::milliseconds{ 60 }, now, 2, 4);
    benchmark::DoNotOptimize(limit.Limit(4));
  }
  aState.counters["bytes/upstream"] = sizeof(ConcurrencyLimit);
}

BENCHMARK(RequestAndRetry);
BENCHMARK(LimitOnCompleted);

} // namespace
} // namespace jaylane::policy
