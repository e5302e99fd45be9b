#include "jaylane/policy/ShareTable.h"

#include "jaylane/policy/DepartureTracker.h"
#include "jaylane/policy/SharePlans.h"

#include <benchmark/benchmark.h>

#include <json/writer.h>

namespace jaylane::policy {
namespace {

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

void Encode(benchmark::State& aState)
{
  const ShareTable table = EqualShares(Vms(aState.range(0)));
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.ToJson());
  }
  const auto bytes = static_cast<double>(Json::writeString(writer, table.ToJson()).size());
  aState.counters["bytes"] = bytes;
  aState.counters["bytes/unit"] = bytes / table.Units();
}

void Decode(benchmark::State& aState)
{
  const Json::Value json = EqualShares(Vms(aState.range(0))).ToJson();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ShareTable::FromJson(json));
  }
}

void Donation(benchmark::State& aState)
{
  const auto vms = Vms(aState.range(0));
  const ShareTable table = *MakeInitialShareTable(vms[0], vms.size());
  for (auto _ : aState) {
    const auto donation = PlanDonation(table, vms[0], vms);
    benchmark::DoNotOptimize(ApplyDonation(table, *donation));
  }
}

void Reclaim(benchmark::State& aState)
{
  const auto vms = Vms(aState.range(0));
  const ShareTable table = EqualShares(vms);
  const VmIncarnation gone[] = { vms[1] };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(PlanReclaim(table, 2, gone, vms));
  }
}

void ObserveList(benchmark::State& aState)
{
  const auto vms = Vms(aState.range(0));
  DepartureTracker tracker(std::chrono::seconds{ 30 });
  base::MonotonicTime now{ std::chrono::hours{ 1 } };
  tracker.ObserveTable(EqualShares(vms), now);
  for (auto _ : aState) {
    now += std::chrono::seconds{ 1 };
    tracker.ObserveList(vms, now);
  }
}

BENCHMARK(Encode)->Arg(2)->Arg(12)->Arg(147);
BENCHMARK(Decode)->Arg(2)->Arg(12)->Arg(147);
BENCHMARK(Donation)->Arg(2)->Arg(12)->Arg(147);
BENCHMARK(Reclaim)->Arg(2)->Arg(12)->Arg(147);
BENCHMARK(ObserveList)->Arg(2)->Arg(12)->Arg(147);

} // namespace
} // namespace jaylane::policy
