#include "jaylane/policy/QuarantineList.h"

#include "AllocationCount.h"

#include <benchmark/benchmark.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

QuarantineList MakeFilledList(std::size_t aStrikes, base::MonotonicTime aNow)
{
  QuarantineOptions options;
  options.m_maxStrikes = 1 << 20;
  QuarantineList list(options, 1);
  std::vector<Strike> strikes;
  for (std::size_t i = 0; i < aStrikes; ++i) {
    const auto left = std::chrono::milliseconds{ 300'000 + i % 300'000 };
    strikes.push_back({ { i, i }, i, i % 20, left, false, false, 0 });
  }
  list.Merge(strikes, aNow);
  return list;
}

/// Argument of all benchmarks of the list: strikes held.
void IsQuarantined(benchmark::State& aState)
{
  const base::MonotonicTime now{ 1h };
  const auto count = static_cast<std::size_t>(aState.range(0));
  const auto before = AllocatedBytes();
  const auto list = MakeFilledList(count, now);
  aState.counters["bytes_per_fingerprint"] =
    static_cast<double>(AllocatedBytes() - before) / static_cast<double>(count);
  std::uint64_t next = 0;
  for (auto _ : aState) {
    ++next;
    benchmark::DoNotOptimize(list.IsQuarantined({ next % (2 * count), next % (2 * count) }, now));
  }
}
BENCHMARK(IsQuarantined)->Arg(64)->Arg(512)->Arg(4096);

void StrikesToAnnounce(benchmark::State& aState)
{
  const base::MonotonicTime now{ 1h };
  const auto list = MakeFilledList(static_cast<std::size_t>(aState.range(0)), now);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(list.StrikesToAnnounce(24, now));
  }
}
BENCHMARK(StrikesToAnnounce)->Arg(64)->Arg(512)->Arg(4096);

void RecordLoss(benchmark::State& aState)
{
  const base::MonotonicTime now{ 1h };
  auto list = MakeFilledList(static_cast<std::size_t>(aState.range(0)), now);
  std::uint64_t next = 0;
  for (auto _ : aState) {
    list.RecordLoss({ next++ % 16, 7 }, next % 20, now);
  }
}
BENCHMARK(RecordLoss)->Arg(64)->Arg(512)->Arg(4096)->Iterations(200);

/// Argument: bytes of the body.
void Fingerprint(benchmark::State& aState)
{
  const std::vector<std::byte> body(static_cast<std::size_t>(aState.range(0)));
  for (auto _ : aState) {
    BodyHasher hasher;
    hasher.Update(body);
    benchmark::DoNotOptimize(RequestFingerprint::Of("tables-svc", "GET", "/tide", hasher.Digest()));
  }
}
BENCHMARK(Fingerprint)->Arg(0)->Arg(4096)->Arg(65536);

} // namespace
} // namespace jaylane::policy
