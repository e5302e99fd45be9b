#include "jaylane/policy/AdmissionQueue.h"

#include <benchmark/benchmark.h>

namespace jaylane::policy {
namespace {

using std::chrono::milliseconds;

/// Adds and removes one entry. Argument: entries in the queue.
void OfferTake(benchmark::State& aState)
{
  const AdmissionQueue::ServiceTimes times{ milliseconds{ 60 }, milliseconds{ 0 } };
  AdmissionQueue queue({ 100'000, AdmissionQueue::Order::Fifo });
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  std::uint64_t id = 0;
  for (; id < static_cast<std::uint64_t>(aState.range(0)); ++id) {
    queue.Offer({ id, now + std::chrono::hours{ 1 } }, times, now);
  }
  for (auto _ : aState) {
    queue.DropLate(times, now);
    queue.Offer({ id++, now + std::chrono::hours{ 1 } }, times, now);
    benchmark::DoNotOptimize(queue.Take());
  }
}

BENCHMARK(OfferTake)->Arg(16)->Arg(1'024)->Arg(16'384);

} // namespace
} // namespace jaylane::policy
