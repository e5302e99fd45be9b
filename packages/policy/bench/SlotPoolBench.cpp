#include "jaylane/policy/SlotPool.h"

#include "jaylane/policy/SharePlans.h"
#include "jaylane/policy/SlotBorrower.h"

#include <benchmark/benchmark.h>
#include <map>
#include <memory>

namespace jaylane::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::MonotonicTime kNow{ std::chrono::hours{ 1 } };
constexpr std::uint32_t kSlots = 4;

std::vector<VmIncarnation> Vms(std::int64_t aCount)
{
  std::vector<VmIncarnation> vms;
  for (std::int64_t i = 0; i < aCount; ++i) {
    vms.push_back("0123456789abcdef0123456789abc" + std::to_string(100 + i));
  }
  return vms;
}

ShareTable EqualShares(const std::vector<VmIncarnation>& aVms)
{
  ShareTable table = *MakeInitialShareTable(aVms[0], aVms.size());
  while (const auto donation = PlanDonation(table, aVms[0], aVms)) {
    table = *ApplyDonation(table, *donation);
  }
  return table;
}

/// The benchmark's arguments are the number of entry VMs of the zone and of upstreams.
SlotPool MakePool(benchmark::State& aState, const VmIncarnation& aSelf, const ShareTable& aTable)
{
  SlotPool pool(aSelf, {});
  for (std::int64_t i = 0; i < aState.range(1); ++i) {
    pool.SetUpstream("upstream-" + std::to_string(i), kSlots);
  }
  pool.ApplyTable(aTable, 1, kNow);
  return pool;
}

/// @return the first upstream of which the VM owns a slot.
UpstreamIndex FindOwned(const SlotPool& aPool)
{
  UpstreamIndex upstream = 0;
  while (aPool.OwnedSlots(upstream, kNow) == 0) {
    ++upstream;
  }
  return upstream;
}

void AcquireRelease(benchmark::State& aState)
{
  const auto vms = Vms(aState.range(0));
  SlotPool pool = MakePool(aState, vms[1], EqualShares(vms));
  const UpstreamIndex upstream = FindOwned(pool);
  for (auto _ : aState) {
    const auto ticket = pool.Acquire(upstream, kNow, seconds{ 1 });
    pool.Release(*ticket);
  }
  double bytes = 0;
  for (UpstreamIndex i = 0; i < aState.range(1); ++i) {
    bytes += static_cast<double>(pool.BytesOf(i));
  }
  aState.counters["bytes/upstream"] = bytes / static_cast<double>(aState.range(1));
  aState.counters["bytes/unit"] = static_cast<double>(SlotPool::BytesPerUnit());
}

void ApplyTable(benchmark::State& aState)
{
  const auto vms = Vms(aState.range(0));
  const ShareTable table = EqualShares(vms);
  SlotPool pool = MakePool(aState, vms[1], table);
  std::uint64_t version = 1;
  for (auto _ : aState) {
    pool.ApplyTable(table, ++version, kNow);
  }
}

void CheckDrained(benchmark::State& aState)
{
  const auto vms = Vms(aState.range(0));
  const ShareTable table = EqualShares(vms);
  SlotPool pool = MakePool(aState, vms[1], table);
  const auto units = table.UnitsOf(vms[1]);
  pool.BeginDrain(units);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(pool.IsDrained(units, kNow));
  }
}

void RequestGrantReturn(benchmark::State& aState)
{
  const auto vms = Vms(aState.range(0));
  const ShareTable table = EqualShares(vms);
  SlotPool own = MakePool(aState, vms[1], table);
  SlotBorrower borrower(vms[1], own, {});
  auto now = kNow;
  UpstreamIndex upstream = 0;
  while (own.OwnedSlots(upstream, kNow) == kSlots) {
    ++upstream;
  }
  // Creates a lender for each owner of the upstream's slots.
  std::map<VmIncarnation, std::unique_ptr<SlotPool>> pools;
  std::map<VmIncarnation, std::unique_ptr<SlotLender>> lenders;
  for (std::uint32_t slot = 0; slot < kSlots; ++slot) {
    const VmIncarnation& owner = *own.OwnerOfSlot(upstream, slot);
    auto& pool = pools[owner] = std::make_unique<SlotPool>(MakePool(aState, owner, table));
    lenders[owner] = std::make_unique<SlotLender>(owner, *pool, SlotLender::Options{});
  }
  for (auto _ : aState) {
    now += milliseconds{ 50 };
    const auto request = borrower.MaybeRequestSlots(upstream, 2, now);
    SlotLender& lender = *lenders[request->m_lender];
    const auto grant = lender.OnRequest(request->m_request, 0, now);
    borrower.OnGrant(*grant, now);
    for (const SlotReturn& slotReturn : borrower.ReturnUnused(upstream, 0, now)) {
      lender.OnReturn(slotReturn);
    }
  }
}

void Sizes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->Args({ 2, 12 })->Args({ 12, 150 })->Args({ 147, 1500 });
}

BENCHMARK(AcquireRelease)->Apply(Sizes);
BENCHMARK(ApplyTable)->Apply(Sizes);
BENCHMARK(CheckDrained)->Apply(Sizes);
BENCHMARK(RequestGrantReturn)->Apply(Sizes);

} // namespace
} // namespace jaylane::policy
