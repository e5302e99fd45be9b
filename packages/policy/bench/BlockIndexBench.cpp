#include "jaylane/policy/BlockIndex.h"
#include "jaylane/policy/SteeringTable.h"

#include <benchmark/benchmark.h>

#include <random>

namespace jaylane::policy {
namespace {

constexpr OriginIndex kOrigins = 14;

/// Creates blocks of /20 to /24 with gaps, spread over the address space.
std::vector<ClientBlock> MakeBlocks(std::int64_t aCount)
{
  std::mt19937 random(1);
  std::vector<ClientBlock> blocks;
  const auto stride = static_cast<std::uint32_t>((std::uint64_t{ 1 } << 32) / aCount) & ~0xffU;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    const std::uint8_t length = stride > 0x1000 ? 20 + random() % 5 : 24;
    const auto mask = ~std::uint32_t{ 0 } << (32 - length);
    blocks.push_back(
      { (i * stride) & mask, length, static_cast<OriginIndex>(random() % kOrigins) });
  }
  return blocks;
}

std::vector<std::uint32_t> MakeAddresses(const std::vector<ClientBlock>& aBlocks)
{
  std::mt19937 random(2);
  std::vector<std::uint32_t> addresses;
  for (int i = 0; i < 1 << 16; ++i) {
    addresses.push_back(aBlocks[random() % aBlocks.size()].m_address + random() % 256);
  }
  return addresses;
}

void BuildBlockIndex(benchmark::State& aState)
{
  const auto blocks = MakeBlocks(aState.range(0));
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const auto index = BlockIndex::Make(blocks);
    bytes = index->MemoryBytes();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["bytes_per_block"] = static_cast<double>(bytes) / blocks.size();
}
BENCHMARK(BuildBlockIndex)
  ->Arg(10'000)
  ->Arg(100'000)
  ->Arg(1'100'000)
  ->Unit(benchmark::kMillisecond);

void FindBlock(benchmark::State& aState)
{
  const auto blocks = MakeBlocks(aState.range(0));
  const auto index = BlockIndex::Make(blocks);
  const auto addresses = MakeAddresses(blocks);
  std::size_t i = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(index->Find(addresses[i++ % addresses.size()]));
  }
  aState.SetItemsProcessed(aState.iterations());
}
BENCHMARK(FindBlock)->Arg(10'000)->Arg(100'000)->Arg(1'100'000);

/// Complete lookup, from a caller's address to its site.
void LookUp(benchmark::State& aState)
{
  const auto blocks = MakeBlocks(aState.range(0));
  const auto index = BlockIndex::Make(blocks);
  const auto addresses = MakeAddresses(blocks);
  std::vector<std::string> origins;
  for (int i = 0; i < kOrigins; ++i) {
    origins.push_back("r" + std::to_string(i));
  }
  auto table = *SteeringTable::Make("s", origins, { { "r0", "a" }, { "r0", "b" } });
  for (std::uint32_t bucket = 0; bucket < table.BucketCount(); bucket += 2) {
    table.Assign(bucket, 1);
  }
  std::size_t i = 0;
  for (auto _ : aState) {
    if (const auto match = index->Find(addresses[i++ % addresses.size()])) {
      benchmark::DoNotOptimize(table.Lookup(*match));
    }
  }
  aState.SetItemsProcessed(aState.iterations());
}
BENCHMARK(LookUp)->Arg(10'000)->Arg(100'000)->Arg(1'100'000);

} // namespace
} // namespace jaylane::policy
