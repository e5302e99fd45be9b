#include "Deployment.h"

#include "jaylane/platform/HttpStore.h"
#include "jaylane/policy/SteeringTable.h"
#include "jaylane/testing/WaitFor.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace jaylane::testing {
namespace {

constexpr const char* kLostRegion = "r2";
constexpr const char* kLostZone = "r2-a";
constexpr std::chrono::seconds kShiftTimeout{ 20 };

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

/// Guards against shifts that exceed the cap when a region is lost and when it returns, and against
/// more requests in flight than the slots of the regions that take over allow (G1, G2, G5).
TEST(Region, LossAndReturnKeepTheCap)
{
  TestDeploymentOptions options;
  options.m_regions = 3;
  options.m_entryVmsPerZone = 1;
  options.m_upstreamsPerZone = 1;
  const auto scenario = StartTestDeployment(options);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  for (unsigned i = 0; i < 3; ++i) {
    CallerOptions caller = MakeCallerOptions(RegionName(i), i);
    caller.m_rate = 20;
    caller.m_orders = 1;
    caller.m_duration = std::chrono::seconds{ 12 };
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForExecutedRequests(*scenario, 60));
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
  EXPECT_LE(collector.LargestShareInWindow(), kPlannedShiftPart + 1e-9);
  EXPECT_GT(outcomes.at("completed"), 400u);
  fmt::print("moves away {}, total {}, largest share in a window {:.4f} of {:.2f}\n",
             movesAway,
             collector.MoveCount(),
             collector.LargestShareInWindow(),
             kPlannedShiftPart);
  ExpectNoViolations(*scenario);
}

} // namespace
} // namespace jaylane::testing
