#include "ShiftSimulation.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace jaylane::policy::testing {

using namespace std::chrono_literals;

namespace {

double PartLoad(const BucketLoad& aLoad, std::uint32_t aBucket, std::uint32_t aPart)
{
  const auto found = aLoad.m_parts.find(aBucket);
  return found == aLoad.m_parts.end() ? aLoad.m_buckets[aBucket] / kPartsPerBucket
                                      : found->second[aPart];
}

double TotalOf(const BucketLoad& aLoad)
{
  return std::accumulate(aLoad.m_buckets.begin(), aLoad.m_buckets.end(), 0.0);
}

} // namespace

Topology MakeTopology(int aRegions, double aSiteCapacity)
{
  Topology topology;
  for (int i = 0; i < aRegions; ++i) {
    const auto region = "r" + std::to_string(i);
    for (const auto* zone : { "a", "b" }) {
      topology.m_sites.push_back({ { region, zone }, SiteState::Live, aSiteCapacity, {} });
    }
    for (int j = 0; j < aRegions; ++j) {
      topology.m_latencies.push_back({ "r" + std::to_string(j), region, i == j ? 1ms : 20ms });
    }
  }
  return topology;
}

std::vector<std::string> MakeOrigins(int aCount)
{
  std::vector<std::string> origins;
  for (int i = 0; i < aCount; ++i) {
    origins.push_back("r" + std::to_string(i));
  }
  return origins;
}

PlanInput MakeInput(int aRegions, int aOrigins, double aTotalLoad, double aSiteCapacity)
{
  PlanInput input;
  input.m_topology = MakeTopology(aRegions, aSiteCapacity);
  const auto count = static_cast<std::size_t>(aOrigins) * kBucketsPerOrigin;
  input.m_load.m_buckets.assign(count, aTotalLoad / static_cast<double>(count));
  return input;
}

SteeringTable MakeTable(const PlanInput& aInput, int aOrigins)
{
  std::vector<SiteId> sites;
  for (const auto& site : aInput.m_topology.m_sites) {
    sites.push_back(site.m_id);
  }
  const auto empty = SteeringTable::Make("tables-svc", MakeOrigins(aOrigins), sites);
  return *ShiftPlanner::MakeInitial(*empty, aInput, kStart);
}

double MovedShare(const SteeringTable& aFrom, const SteeringTable& aTo, const BucketLoad& aLoad)
{
  double moved = 0;
  for (std::uint32_t bucket = 0; bucket < aFrom.BucketCount(); ++bucket) {
    if (!aFrom.IsSplit(bucket) && !aTo.IsSplit(bucket)) {
      moved += aFrom.SiteOf(bucket) != aTo.SiteOf(bucket) ? aLoad.m_buckets[bucket] : 0;
      continue;
    }
    for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
      if (aFrom.SiteOf(bucket, part) != aTo.SiteOf(bucket, part)) {
        moved += PartLoad(aLoad, bucket, part);
      }
    }
  }
  const auto total = TotalOf(aLoad);
  return total > 0 ? moved / total : 0;
}

std::vector<double> SiteLoads(const SteeringTable& aTable, const BucketLoad& aLoad)
{
  std::vector<double> loads(aTable.Sites().size());
  for (std::uint32_t bucket = 0; bucket < aTable.BucketCount(); ++bucket) {
    if (!aTable.IsSplit(bucket)) {
      loads[aTable.SiteOf(bucket)] += aLoad.m_buckets[bucket];
      continue;
    }
    for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
      loads[aTable.SiteOf(bucket, part)] += PartLoad(aLoad, bucket, part);
    }
  }
  return loads;
}

double MaxMovedInWindow(const std::vector<PublishedMove>& aMoves, milliseconds aWindow)
{
  double largest = 0;
  for (auto first = aMoves.begin(); first != aMoves.end(); ++first) {
    double sum = 0;
    for (auto move = first; move != aMoves.end() && move->m_at < first->m_at + aWindow; ++move) {
      sum += move->m_share;
    }
    largest = std::max(largest, sum);
  }
  return largest;
}

ShiftSimulation::ShiftSimulation(std::uint32_t aSeed, milliseconds aClockSpread)
  : m_random(aSeed)
  , m_input(MakeInput(kRegions, 1, 600, 250))
  , m_store(MakeTable(m_input, 1))
  , m_vms(kVms)
{
  auto& limits = m_input.m_limits;
  limits.m_window = 30s;
  limits.m_lookupLifetime = 2s;
  limits.m_maxClockDifference = aClockSpread;
  limits.m_recoveryHold = 20s;
  limits.m_recoveryFraction = 0.5;
  limits.m_latencyWeight = static_cast<double>(m_random() % 11) / 10;
  m_input.m_topology.m_regionLimits.push_back({ "r1", 400 });
  m_input.m_topology.m_linkLimits.push_back({ "r0", "r2", 350 });
  m_vms[0].m_offset = -aClockSpread / 2;
  m_vms[1].m_offset = aClockSpread / 2;
}

void ShiftSimulation::Run(const std::vector<std::uint32_t>& aScript)
{
  for (const auto event : aScript) {
    m_now += milliseconds{ event >> 8 & 0xfff };
    auto& vm = m_vms[(event >> 4) % kVms];
    const auto choice = event >> 20;
    switch (event % 16) {
      case 0:
      case 1:
        ChangeSite(choice);
        break;
      case 2:
        ChangeLoad(choice);
        break;
      case 3:
        ChangeRules(choice);
        break;
      case 4:
        PlanAt(vm, true);
        break;
      case 5:
      case 6:
        Publish(vm);
        break;
      case 7:
        // A quiet time, so that moves leave the window.
        m_now += milliseconds{ 20'000 + choice * 4 };
        break;
      default:
        // Also covers a writer that lost a response and plans again from the table it reads back.
        PlanAt(vm, false);
    }
  }
}

void ShiftSimulation::ChangeSite(std::uint32_t aChoice)
{
  auto& site = m_input.m_topology.m_sites[aChoice % m_input.m_topology.m_sites.size()];
  const auto old = site.m_state;
  site.m_state = static_cast<SiteState>(aChoice / 8 % 3);
  if (site.m_state == SiteState::Live && old != SiteState::Live) {
    site.m_liveSince = m_now;
  }
  site.m_capacity = 150 + aChoice % 7 * 40;
}

void ShiftSimulation::ChangeLoad(std::uint32_t aChoice)
{
  auto& buckets = m_input.m_load.m_buckets;
  std::exponential_distribution<double> spread(kBucketsPerOrigin / 600.0);
  for (auto& bucket : buckets) {
    bucket = aChoice % 3 == 0 ? 600.0 / kBucketsPerOrigin : spread(m_random);
  }
  for (std::uint32_t i = 0; i < aChoice % 5; ++i) {
    buckets[m_random() % buckets.size()] = static_cast<double>(m_random() % 200);
  }
  m_input.m_load.m_parts.clear();
  if (aChoice % 4 == 0) {
    return;
  }
  for (std::uint32_t bucket = 0; bucket < buckets.size(); ++bucket) {
    if (m_store.IsSplit(bucket)) {
      std::discrete_distribution<int> parts({ 1, 4, 9, 0 });
      auto& measured = m_input.m_load.m_parts[bucket];
      for (auto& part : measured) {
        part = parts(m_random);
      }
      const auto sum = std::accumulate(measured.begin(), measured.end(), 0.0);
      for (auto& part : measured) {
        part *= sum > 0 ? buckets[bucket] / sum : 0;
      }
    }
  }
}

void ShiftSimulation::ChangeRules(std::uint32_t aChoice)
{
  if (aChoice % 4 == 0) {
    m_rules.clear();
  } else {
    const auto first = "r" + std::to_string(aChoice % kRegions);
    const auto second = "r" + std::to_string(aChoice / 4 % kRegions);
    m_rules.push_back({ "rule", "", "r0", { first, second }, m_now + (aChoice % 64) * 1s });
  }
  m_input.m_legal = LegalFilter("tables-svc", m_rules, m_input.m_limits.m_maxClockDifference);
}

void ShiftSimulation::PlanAt(Vm& aVm, bool aDeferPublishing)
{
  const auto now = m_now + aVm.m_offset;
  if (aVm.m_seenGeneration != m_store.Generation()) {
    aVm.m_seenGeneration = m_store.Generation();
    aVm.m_seenAt = now;
  }
  auto plan = ShiftPlanner::PlanStep(m_store, aVm.m_seenAt, m_input, now);
  if (!plan) {
    m_violation = "planning failed";
    return;
  }
  if (plan->m_state != PlanState::Step) {
    return;
  }
  aVm.m_planned = std::move(plan->m_table);
  aVm.m_plannedBase = m_store.Generation();
  aVm.m_plannedInput = m_input;
  CheckTargets(*aVm.m_planned, m_input);
  if (!aDeferPublishing) {
    Publish(aVm);
  }
}

void ShiftSimulation::Publish(Vm& aVm)
{
  if (aVm.m_planned && aVm.m_plannedBase == m_store.Generation()) {
    Check(*aVm.m_planned, aVm.m_plannedInput);
    // Planners continue from the stored form.
    auto stored = SteeringTable::FromJson(aVm.m_planned->ToJson());
    if (!stored || *stored != *aVm.m_planned) {
      m_violation = "table differs after encoding and decoding";
      return;
    }
    m_store = std::move(*stored);
  }
  aVm.m_planned.reset();
}

void ShiftSimulation::Check(const SteeringTable& aNext, const PlanInput& aInput)
{
  m_moves.push_back({ m_now, MovedShare(m_store, aNext, aInput.m_load) });
  const auto& moves = aNext.Moves();
  if (!std::is_sorted(moves.begin(), moves.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.m_at < aRight.m_at;
      })) {
    m_violation = "times of moves decrease";
  }
}

void ShiftSimulation::CheckTargets(const SteeringTable& aNext, const PlanInput& aInput)
{
  std::set<SiteIndex> gained;
  for (std::uint32_t bucket = 0; bucket < aNext.BucketCount(); ++bucket) {
    const bool split = aNext.IsSplit(bucket) || m_store.IsSplit(bucket);
    for (std::uint32_t part = 0; part < (split ? kPartsPerBucket : 1); ++part) {
      if (aNext.SiteOf(bucket, part) != m_store.SiteOf(bucket, part)) {
        gained.insert(aNext.SiteOf(bucket, part));
      }
    }
  }
  const auto loads = SiteLoads(aNext, aInput.m_load);
  const auto loadOf = [&](const std::string& aRegion) {
    double sum = 0;
    for (std::size_t i = 0; i < loads.size(); ++i) {
      sum += aNext.Sites()[i].m_region == aRegion ? loads[i] : 0;
    }
    return sum;
  };
  const auto before = SiteLoads(m_store, aInput.m_load);
  const LegalFilter filter("tables-svc", m_rules, 0ms);
  for (const auto index : gained) {
    const auto& site = aInput.m_topology.m_sites[index];
    if (site.m_state != SiteState::Live) {
      m_violation = "target is not live";
    }
    // Rules are in force by the reference clock, without the planner's allowance for clocks.
    if (!filter.Allows("r0", site.m_id.m_region, m_now)) {
      m_violation = "target is not allowed";
    }
    const auto usable = 1 - aInput.m_limits.m_reserve + 1e-9;
    if (loads[index] > before[index] && loads[index] > site.m_capacity * usable) {
      m_violation = "site overloaded";
    }
    const auto zoneGain = loads[index] - before[index];
    const auto other = index ^ 1U;
    const bool regionGained = zoneGain + loads[other] - before[other] > 1e-9;
    const auto limit = site.m_id.m_region == "r1"   ? 400.0
                       : site.m_id.m_region == "r2" ? 350.0
                                                    : 1e9;
    if (regionGained && loadOf(site.m_id.m_region) > limit * usable) {
      m_violation = "region or link overloaded";
    }
  }
}

} // namespace jaylane::policy::testing
