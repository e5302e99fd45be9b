#include "jaylane/policy/AdmissionQueue.h"

#include <benchmark/benchmark.h>

namespace jaylane::policy {
namespace {

using std::chrono::milliseconds;

/// Argument: entries that wait.
void OfferTake(benchmark::State& aState)
{
  const AdmissionQueue::ServiceTimes service{ milliseconds{ 60 }, milliseconds{ 0 } };
  AdmissionQueue queue({ 100'000, AdmissionQueue::Order::Fifo });
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  std::uint64_t id = 0;
  for (; id < static_cast<std::uint64_t>(aState.range(0)); ++id) {
    queue.Offer({ id, now + std::chrono::hours{ 1 } }, service, now);
  }
  for (auto _ : aState) {
    queue.DropLate(service, now);
    queue.Offer({ id++, now + std::chrono::hours{ 1 } }, service, now);
    benchmark::DoNotOptimize(queue.Take());
  }
}

BENCHMARK(OfferTake)->Arg(16)->Arg(1'024)->Arg(16'384);

} // namespace
} // namespace jaylane::policy
