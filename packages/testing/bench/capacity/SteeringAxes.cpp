#include "CapacityReport.h"

#include "PlannerScenario.h"
#include "jaylane/policy/BlockIndex.h"
#include "jaylane/policy/ShareTable.h"

namespace jaylane::testing {

namespace {

constexpr std::int64_t kRegions = 14;

/// @return client blocks of prefix length 24, spread evenly over the IPv4 address space.
std::vector<policy::ClientBlock> MakeBlocks(std::uint32_t aCount)
{
  std::vector<policy::ClientBlock> blocks;
  const auto stride = static_cast<std::uint32_t>((std::uint64_t{ 1 } << 32) / aCount) & ~0xffU;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    blocks.push_back({ i * stride, 24, static_cast<policy::OriginIndex>(i % kRegions) });
  }
  return blocks;
}

CapacityPoint MeasureBlocks(std::uint32_t aCount)
{
  const auto blocks = MakeBlocks(aCount);
  std::size_t bytes = 0;
  const double build =
    CpuMicrosPerCall([&] { bytes = policy::BlockIndex::Make(blocks)->MemoryBytes(); });
  return { static_cast<double>(aCount),
           { { "state bytes", static_cast<double>(bytes) }, { "build us", build } } };
}

CapacityPoint MeasureSites(std::int64_t aSites)
{
  const auto scenario = policy::bench::MakePlannerScenario(aSites, kRegions);
  const auto start = policy::bench::kStart;
  const std::string text = scenario.m_table.ToJson();
  const double plan = CpuMicrosPerCall([&] {
    (void)policy::ShiftPlanner::PlanStep(scenario.m_table, start, scenario.m_input, start);
  });
  const double parse = CpuMicrosPerCall([&] { (void)policy::SteeringTable::FromJson(text); });
  return { static_cast<double>(aSites),
           { { "table bytes", static_cast<double>(text.size()) },
             { "idle plan us", plan },
             { "parse us", parse } } };
}

} // namespace

void MeasureSteering(CapacityReport& aReport)
{
  aReport.Add("client blocks",
              { MeasureBlocks(10'000),
                MeasureBlocks(100'000),
                MeasureBlocks(400'000),
                MeasureBlocks(1'100'000) },
              1'100'000);
  aReport.Add("sites, 14 regions, one service",
              { MeasureSites(150), MeasureSites(500), MeasureSites(1000), MeasureSites(1500) },
              1500);
}

} // namespace jaylane::testing
