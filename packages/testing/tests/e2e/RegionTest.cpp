#include "Deployment.h"

#include "jaylane/platform/HttpStore.h"
#include "jaylane/platform/JsonText.h"
#include "jaylane/policy/SteeringTable.h"
#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <numeric>
#include <thread>

namespace jaylane::testing {
namespace {

constexpr const char* kLostRegion = "r2";
constexpr const char* kLostZone = "r2-a";
constexpr const char* kZones[] = { "r0-a", "r1-a", kLostZone };
constexpr std::chrono::seconds kShiftTimeout{ 20 };
/// Interval in which entry VMs report their load and read the reports of the other zones.
constexpr std::chrono::seconds kLoadInterval{ 5 };
/// Callers of one region, each in a block of its own: a block whose share exceeds the cap never
/// moves.
constexpr unsigned kCallersPerRegion = 4;
constexpr std::size_t kCallerCount = std::size(kZones) * kCallersPerRegion;
/// Requests per second of all callers together.
constexpr double kTotalRate = 60;
constexpr std::chrono::seconds kCallerDuration{ 35 };
/// Most requests that may not be completed while the region is lost.
constexpr double kMaxNotCompleted = 320;

/// Collects the moves of all generations of the steering table by reading it repeatedly. Each
/// generation only keeps the moves of the last shift window.
class MoveCollector
{
public:
  explicit MoveCollector(const Scenario& aScenario)
    : m_store({ aScenario.Deployment().PlatformUrl() })
  {
  }

  /// Reads the table and keeps its moves.
  /// @return number of buckets assigned to the site of the lost region.
  std::uint64_t Read()
  {
    const auto object = m_store.Get(fmt::format("table/{}", kService), kTimeout);
    const auto table = object ? policy::SteeringTable::FromJson(object->m_value)
                              : base::Result<policy::SteeringTable>(base::Error{});
    if (!table) {
      ADD_FAILURE() << "no steering table";
      return 0;
    }
    for (const policy::MoveRecord& move : table->Moves()) {
      m_moves[move.m_generation] = move;
    }
    return CountBucketsAtLostSite(*table);
  }

  /// @return the largest share of the traffic moved in any sliding shift window.
  double LargestShareInWindow() const
  {
    double largest = 0;
    for (const auto& [generation, first] : m_moves) {
      double sum = 0;
      for (const auto& [other, move] : m_moves) {
        if (move.m_at >= first.m_at && move.m_at < first.m_at + kShiftWindow) {
          sum += move.m_share;
        }
      }
      largest = std::max(largest, sum);
    }
    return largest;
  }

  std::size_t MoveCount() const { return m_moves.size(); }

private:
  static std::uint64_t CountBucketsAtLostSite(const policy::SteeringTable& aTable)
  {
    const auto site = aTable.FindSite({ kLostRegion, kLostZone });
    std::uint64_t buckets = 0;
    for (std::uint32_t bucket = 0; bucket < aTable.BucketCount(); ++bucket) {
      buckets += site && aTable.SiteOf(bucket) == *site ? 1 : 0;
    }
    return buckets;
  }

  platform::HttpStore m_store;
  std::map<std::uint64_t, policy::MoveRecord> m_moves;
};

/// @return load of each zone in the last reports, in slots in use; 0 for a zone without a report.
std::map<std::string, double> ReadLoads(const Scenario& aScenario)
{
  platform::HttpStore store({ aScenario.Deployment().PlatformUrl() });
  std::map<std::string, double> loads;
  for (const char* zone : kZones) {
    const auto object = store.Get(fmt::format("load/{}", zone), kTimeout);
    const auto json = object ? platform::ParseJsonObject(object->m_value) : std::nullopt;
    double& load = loads[zone];
    for (const Json::Value& origin : json ? (*json)[kService] : Json::Value()) {
      load += origin["total"].asDouble();
    }
  }
  return loads;
}

double Sum(const std::map<std::string, double>& aLoads)
{
  return std::accumulate(aLoads.begin(), aLoads.end(), 0.0, [](double aSum, const auto& aLoad) {
    return aSum + aLoad.second;
  });
}

/// Waits until the reports contain most of the load and the planner has read them. The cap applies
/// to measured load: before, the planner would have to assume the share of the lost region.
/// @return loads of the zones.
std::map<std::string, double> WaitForMeasuredLoad(const Scenario& aScenario,
                                                  std::chrono::milliseconds aServiceTime)
{
  const double expected = kTotalRate * std::chrono::duration<double>(aServiceTime).count();
  EXPECT_TRUE(
    WaitFor([&] { return Sum(ReadLoads(aScenario)) >= 0.9 * expected; }, 4 * kLoadInterval))
    << "the load was not measured";
  std::this_thread::sleep_for(kLoadInterval);
  return ReadLoads(aScenario);
}

void StartCallers(Scenario& aScenario)
{
  for (unsigned region = 0; region < std::size(kZones); ++region) {
    for (unsigned i = 0; i < kCallersPerRegion; ++i) {
      CallerOptions caller = MakeCallerOptions(RegionName(region), i);
      caller.m_rate = kTotalRate / kCallerCount;
      caller.m_orders = 1;
      caller.m_duration = kCallerDuration;
      aScenario.StartCaller(caller);
    }
  }
}

/// Guards against shifts that exceed the cap when a region is lost and when it returns, and against
/// more requests in flight than the slots of the regions that take over allow (G1, G2, G5). Guards
/// also against callers that are sent to the restarted VM before it may use any slot: it rejected
/// all of them after a second in its queue.
TEST(Region, LossAndReturnKeepTheCap)
{
  TestDeploymentOptions options;
  options.m_regions = 3;
  options.m_entryVmsPerZone = 1;
  options.m_upstreamsPerZone = 1;
  // Slots of a killed VM stay unused for a request timeout and a lease.
  options.m_settings = "    lease_duration_ms: 2000\n";
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  StartCallers(*scenario);
  const auto loads = WaitForMeasuredLoad(*scenario, options.m_serviceTime);
  const double lostShare = loads.at(kLostZone) / Sum(loads);
  ASSERT_GT(lostShare, kPlannedShiftPart) << "one move could shift all traffic of the region";
  MoveCollector collector(*scenario);
  const std::uint64_t initialBuckets = collector.Read();
  ASSERT_GT(initialBuckets, 0u);
  deployment.FindProcess("r2-a-entry-0")->Kill();
  deployment.FindProcess("orders-svc-r2-a-0")->Kill();
  EXPECT_TRUE(WaitFor([&] { return collector.Read() == 0; }, kShiftTimeout))
    << "the traffic of the lost region was not shifted away";
  const std::size_t movesAway = collector.MoveCount();
  EXPECT_GE(movesAway, 2u);
  ASSERT_TRUE(deployment.RestartUpstream("orders-svc-r2-a-0"));
  ASSERT_TRUE(deployment.RestartEntry("r2-a-entry-0"));
  EXPECT_TRUE(WaitFor([&] { return collector.Read() > 0; }, kShiftTimeout))
    << "no traffic was shifted back to the region";
  const auto outcomes = SumOutcomes(scenario->JoinCallers());
  collector.Read();
  EXPECT_EQ(CountErrors(*scenario, kCallerCount, "overloaded"), 0u)
    << "callers were sent to a VM before it could use slots";
  EXPECT_LE(collector.LargestShareInWindow(), kPlannedShiftPart + 1e-9);
  EXPECT_GT(outcomes.at("completed"),
            kTotalRate * std::chrono::duration<double>(kCallerDuration).count() - kMaxNotCompleted);
  fmt::print("share of the lost region {:.4f}, moves away {}, total {}, largest share in a window "
             "{:.4f} of {:.2f}\n",
             lostShare,
             movesAway,
             collector.MoveCount(),
             collector.LargestShareInWindow(),
             kPlannedShiftPart);
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
