#include "../bench/SteeringModel.h"

#include <gtest/gtest.h>

namespace jaylane::policy::sim {
namespace {

using namespace std::chrono_literals;

/// Four VMs and ten upstreams of four slots. A warm key takes 144 ms, a cold one 480 ms.
ModelOptions OneRegion(double aPerSecond)
{
  ModelOptions options;
  options.m_regions = { { 10, 4, aPerSecond, 0 } };
  options.m_maxServedKeys = 1000;
  options.m_queueCapacity = 1000;
  options.m_serviceTimeDeviation = 0;
  options.m_localDelay = 0ms;
  options.m_timeout = 5000ms;
  options.m_deadline = 0ms; // Rejected callers do not retry.
  options.m_duration = 20s;
  return options;
}

/// Three equal regions whose demand waves are out of phase. The slots of a region serve 167
/// requests per second.
ModelOptions ThreeRegions(double aPerSecond)
{
  ModelOptions options;
  options.m_regions.clear();
  for (const double phase : { 0.0, 0.33, 0.67 }) {
    options.m_regions.push_back({ 6, 4, aPerSecond, phase });
  }
  options.m_maxServedKeys = 37;
  options.m_waveAmplitude = 0.55;
  return options;
}

/// @return requests per second that are served within the target latency.
double GoodputPerSecond(const ModelOptions& aOptions)
{
  const ModelResult result = SteeringModel(aOptions, Scheduler::PerVm).Run();
  const std::chrono::duration<double> counted = aOptions.m_duration - aOptions.m_warmup;
  return static_cast<double>(result.m_onTime) / counted.count();
}

// Steady load that uses two thirds of the slots if every key is served where it is warm. Keys must
// not be spread over upstreams where they are cold, as happened when the measured service times
// included queueing time. At least 90% of the requests must be served within the target latency.
TEST(SteeringModelTest, KeepsKeysOnWarmUpstreamsUnderLoad)
{
  const auto result = SteeringModel(OneRegion(185), Scheduler::PerVm).Run();
  EXPECT_GE(result.OnTimeShare(), 0.9);
  EXPECT_LE(result.m_coldRuns, result.m_requests / 20);
}

// Demand of 1.5 times the capacity. Rejections must keep the queues short enough for the accepted
// requests: at least half of the capacity of 278 requests per second must be served within the
// target latency.
TEST(SteeringModelTest, KeepsServingInTimeUnderOverload)
{
  const auto result = SteeringModel(OneRegion(416), Scheduler::PerVm).Run();
  EXPECT_GE(result.m_onTime, 278 * 15 / 2);
  EXPECT_GT(result.m_rejected, 0);
}

// Five times a demand that uses half of the slots. Queues must not become so long that all accepted
// requests complete late: goodput must be at least 95% of that at the single demand.
TEST(SteeringModelTest, GoodputHoldsAtFiveTimesTheDemand)
{
  const double single = GoodputPerSecond(ThreeRegions(82));
  EXPECT_GT(single, 0.9 * 3 * 82);
  EXPECT_GE(GoodputPerSecond(ThreeRegions(5 * 82)), 0.95 * single);
}

// The greedy scheduler with full knowledge must be an upper bound; otherwise comparisons with it
// are meaningless.
TEST(SteeringModelTest, FullKnowledgeIsAnUpperBound)
{
  for (const double load : { 82.0, 160.0, 410.0 }) {
    const auto bound = SteeringModel(ThreeRegions(load), Scheduler::FullKnowledge).Run();
    const auto actual = SteeringModel(ThreeRegions(load), Scheduler::PerVm).Run();
    EXPECT_GE(bound.OnTimeShare(), actual.OnTimeShare()) << load;
    EXPECT_EQ(bound.m_requests, actual.m_requests) << load;
  }
}

// The simulation must be deterministic.
TEST(SteeringModelTest, RepeatsWithTheSameSeed)
{
  const auto first = SteeringModel(ThreeRegions(200), Scheduler::PerVm).Run();
  const auto second = SteeringModel(ThreeRegions(200), Scheduler::PerVm).Run();
  EXPECT_EQ(first.m_onTime, second.m_onTime);
  EXPECT_EQ(first.m_coldRuns, second.m_coldRuns);
}

} // namespace
} // namespace jaylane::policy::sim
