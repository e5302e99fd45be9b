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

/// Collects the moves of all generations of the steering table; each generation keeps those of
/// the last window.
class TableWatcher
{
public:
  explicit TableWatcher(const Scenario& aScenario)
    : m_store({ aScenario.Deployment().PlatformUrl() })
  {
  }

  /// Reads the table.
  /// @return parts assigned to the lost region's site.
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
    return CountLost(*table);
  }

  /// @return the largest share moved in any sliding window.
  double LargestWindow() const
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

  std::size_t Moves() const { return m_moves.size(); }

private:
  static std::uint64_t CountLost(const policy::SteeringTable& aTable)
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

/// Guards against shifts beyond the cap when a region is lost and when it returns, and against
/// requests beyond the slots of the regions that take over (G1, G2, G5).
TEST(Region, LossAndReturnKeepTheCap)
{
  SmallPlan plan;
  plan.m_regions = 3;
  plan.m_entryVmsPerZone = 1;
  plan.m_upstreamsPerZone = 1;
  const auto scenario = StartSmall(plan);
  ASSERT_TRUE(scenario);
  DeploymentHarness& deployment = scenario->Deployment();
  for (unsigned i = 0; i < 3; ++i) {
    CallerOptions caller = CallerOf(RegionName(i), i);
    caller.m_rate = 20;
    caller.m_orders = 1;
    caller.m_duration = std::chrono::seconds{ 12 };
    scenario->StartCaller(caller);
  }
  ASSERT_TRUE(WaitForWork(*scenario, 60));
  TableWatcher watcher(*scenario);
  const std::uint64_t all = watcher.Read();
  ASSERT_GT(all, 0u);
  deployment.FindProcess("r2-a-entry-0")->Kill();
  deployment.FindProcess("orders-svc-r2-a-0")->Kill();
  EXPECT_TRUE(WaitFor([&] { return watcher.Read() == 0; }, kShiftTimeout))
    << "the planned shift does not follow";
  const std::size_t away = watcher.Moves();
  EXPECT_GE(away, 2u);
  ASSERT_TRUE(deployment.RestartUpstream("orders-svc-r2-a-0"));
  ASSERT_TRUE(deployment.RestartEntry("r2-a-entry-0"));
  EXPECT_TRUE(WaitFor([&] { return watcher.Read() > 0; }, kShiftTimeout))
    << "nothing returns to the region";
  const auto outcomes = Outcomes(scenario->JoinCallers());
  watcher.Read();
  EXPECT_LE(watcher.LargestWindow(), kPlannedPart + 1e-9);
  EXPECT_GT(outcomes.at("completed"), 400u);
  fmt::print("moves away {}, in all {}, largest window {:.4f} of {:.2f}\n",
             away,
             watcher.Moves(),
             watcher.LargestWindow(),
             kPlannedPart);
  ExpectClean(*scenario);
}

} // namespace
} // namespace jaylane::testing
