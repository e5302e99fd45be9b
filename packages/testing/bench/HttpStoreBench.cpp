#include "jaylane/platform/HttpStore.h"

#include "jaylane/testing/PlatformStandIn.h"

#include <benchmark/benchmark.h>

namespace jaylane::testing {
namespace {

constexpr std::chrono::milliseconds kTimeout{ 5000 };

/// Platform stand-in and store client of one benchmark run. The argument of the benchmarks is the
/// size of the value in bytes.
struct Fixture
{
  explicit Fixture(benchmark::State& aState)
    : m_standIn(std::move(*PlatformStandIn::Make({})))
    , m_store({ "http://" + m_standIn->Address() })
    , m_value(static_cast<std::size_t>(aState.range(0)), 'x')
  {
  }

  std::unique_ptr<PlatformStandIn> m_standIn;
  platform::HttpStore m_store;
  std::string m_value;
};

void Get(benchmark::State& aState)
{
  Fixture fixture(aState);
  (void)fixture.m_store.Put("k", fixture.m_value, platform::kAbsent, kTimeout);
  for (auto _ : aState) {
    if (!fixture.m_store.Get("k", kTimeout)) {
      aState.SkipWithError("get failed");
    }
  }
}
BENCHMARK(Get)->Arg(100)->Arg(1'000'000)->UseRealTime()->Unit(benchmark::kMicrosecond);

void Put(benchmark::State& aState)
{
  Fixture fixture(aState);
  platform::Version version = platform::kAbsent;
  for (auto _ : aState) {
    const auto written = fixture.m_store.Put("k", fixture.m_value, version, kTimeout);
    if (!written) {
      aState.SkipWithError("put failed");
      break;
    }
    version = *written;
  }
}
BENCHMARK(Put)->Arg(100)->Arg(1'000'000)->UseRealTime()->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace jaylane::testing
