#include "../bench/SteeringModel.h"

#include <gtest/gtest.h>

namespace jaylane::policy::sim {
namespace {

using namespace std::chrono_literals;

/// Four VMs share ten upstreams of four slots; a known key takes 144 ms, an unknown one 480 ms.
ModelOptions OneRegion(double aPerSecond)
{
  ModelOptions options;
  options.m_regions = { { 10, 4, aPerSecond, 0 } };
  options.m_keysKept = 1000;
  options.m_queue = 1000;
  options.m_spread = 0;
  options.m_nearDelay = 0ms;
  options.m_timeout = 5000ms;
  options.m_deadline = 0ms; // Rejected callers do not return.
  options.m_length = 20s;
  return options;
}

/// Three even regions with demand waves in turn; slots are worth 167 requests a second in each.
ModelOptions ThreeRegions(double aPerSecond)
{
  ModelOptions options;
  options.m_regions.clear();
  for (const double phase : { 0.0, 0.33, 0.67 }) {
    options.m_regions.push_back({ 6, 4, aPerSecond, phase });
  }
  options.m_keysKept = 37;
  options.m_swing = 0.55;
  return options;
}

double GoodputInTarget(const ModelOptions& aOptions)
{
  const ModelResult result = SteeringModel(aOptions, Scheduler::PerVm).Play();
  const std::chrono::duration<double> counted = aOptions.m_length - aOptions.m_warmup;
  return static_cast<double>(result.m_inTarget) / counted.count();
}

// Replays a busy steady state, two thirds of the slots in use if every key is known where it is
// served. Guards against spreading keys over upstreams that do not know them (service times that
// include queues did that). Target: 90% within the target latency.
TEST(SteeringModelTest, KeepsKeysWhereTheyAreKnownUnderLoad)
{
  const auto result = SteeringModel(OneRegion(185), Scheduler::PerVm).Play();
  EXPECT_GE(result.InTarget(), 0.9);
  EXPECT_LE(result.m_unknownRuns, result.m_requests / 20);
}

// Replays demand at one and a half times the capacity. Rejections must keep the queue short
// enough for those that are accepted. Target: slots are worth 278 requests a second; at least
// half of that completes within the target.
TEST(SteeringModelTest, KeepsServingInTimeUnderOverload)
{
  const auto result = SteeringModel(OneRegion(416), Scheduler::PerVm).Play();
  EXPECT_GE(result.m_inTarget, 278 * 15 / 2);
  EXPECT_GT(result.m_rejected, 0);
}

// Replays five times a demand that uses half of the slots. Guards against queues in which all
// accepted requests complete late. Target: goodput at least 95% of that at the single demand.
TEST(SteeringModelTest, GoodputHoldsAtFiveTimesTheDemand)
{
  const double single = GoodputInTarget(ThreeRegions(82));
  EXPECT_GT(single, 0.9 * 3 * 82);
  EXPECT_GE(GoodputInTarget(ThreeRegions(5 * 82)), 0.95 * single);
}

// Guards against an upper bound that the decisions exceed: it would say nothing.
TEST(SteeringModelTest, FullKnowledgeIsAnUpperBound)
{
  for (const double load : { 82.0, 160.0, 410.0 }) {
    const auto bound = SteeringModel(ThreeRegions(load), Scheduler::FullKnowledge).Play();
    const auto actual = SteeringModel(ThreeRegions(load), Scheduler::PerVm).Play();
    EXPECT_GE(bound.InTarget(), actual.InTarget()) << load;
    EXPECT_EQ(bound.m_requests, actual.m_requests) << load;
  }
}

// Guards against figures that differ from run to run.
TEST(SteeringModelTest, RepeatsWithTheSameSeed)
{
  const auto first = SteeringModel(ThreeRegions(200), Scheduler::PerVm).Play();
  const auto second = SteeringModel(ThreeRegions(200), Scheduler::PerVm).Play();
  EXPECT_EQ(first.m_inTarget, second.m_inTarget);
  EXPECT_EQ(first.m_unknownRuns, second.m_unknownRuns);
}

} // namespace
} // namespace jaylane::policy::sim
