#include "jaylane/policy/LookupScope.h"

#include "AnnouncementModel.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using State = AnnouncementModel::State;
using Kind = LookupScope::Kind;
using Names = std::vector<std::string>;

struct Site
{
  std::size_t m_vms;
  std::size_t m_zones;
};

class LookupReplayTest : public testing::TestWithParam<Site>
{
protected:
  AnnouncementModel MakeModel(std::uint32_t aSeed) const
  {
    return { GetParam().m_vms, GetParam().m_zones, aSeed };
  }

  static void StartAll(AnnouncementModel& aModel, std::size_t aExceptEach = SIZE_MAX)
  {
    for (std::size_t i = 0; i < aModel.Size(); ++i) {
      if (i % aExceptEach != aExceptEach - 1) {
        aModel.SetState(i, State::Starting);
      }
    }
  }

  /// One request in 20 may be sent to another region because a lookup named it. A VM that was
  /// stopped or killed may be named for stableWindowMs and 3 s, 6 s where it is shortest.
  static void ExpectCallersStayInTheirRegion(const AnnouncementModel& aModel, const char* aEvent)
  {
    EXPECT_EQ(aModel.Own().m_otherRegion, 0U) << aEvent;
    EXPECT_LE(aModel.Other().OtherRegionShare(), 0.05) << aEvent;
    EXPECT_LT(aModel.LongestDeadNamed(), 6s) << aEvent;
  }
};

// Guards against lookups that send more than one request in 20 to another region while the caller's
// region has VMs that are ready: VMs hear those of other regions only now and then.
TEST_P(LookupReplayTest, PlannedWorkKeepsCallersInTheirRegion)
{
  for (const std::uint32_t seed : { 1U, 2U, 3U }) {
    AnnouncementModel model = MakeModel(seed);
    StartAll(model, 6);
    model.RunFor(3s);
    ExpectCallersStayInTheirRegion(model, "all start");
    model.RunFor(5s);
    model.ResetCounts();
    for (std::size_t i = 5; i < model.Size(); i += 6) {
      model.SetState(i, State::Starting);
    }
    model.RunFor(5s);
    ExpectCallersStayInTheirRegion(model, "additions");
    model.ResetCounts();
    model.Roll(0.45, 6, 1300ms);
    model.RunFor(20s);
    ExpectCallersStayInTheirRegion(model, "roll");
  }
}

// Guards against lookups that go on naming a lost region because its VMs were heard recently, and
// against dead VMs in them for longer than allowed.
TEST_P(LookupReplayTest, ALostRegionIsLeft)
{
  AnnouncementModel model = MakeModel(1);
  StartAll(model);
  model.RunFor(8s);
  for (std::size_t i = 0; i < model.Size(); ++i) {
    if (i % 3 == 0 || i % 5 == 1) {
      model.SetState(i, State::Down);
    }
  }
  model.RunFor(3s);
  EXPECT_LT(model.LongestDeadNamed(), 6s);
  model.RunFor(3s);
  model.ResetCounts();
  model.RunFor(2s);
  EXPECT_EQ(model.Own().m_deadNames + model.Other().m_deadNames, 0U);
  EXPECT_GT(model.Other().m_fewestOutside, 0U);
}

// A region is lost and its callers ask the VMs of one zone of another region, which serves as many
// requests itself. Guards against that zone getting all of them while VMs of its region are free.
TEST_P(LookupReplayTest, ALostRegionIsSpreadOverTheNextOne)
{
  AnnouncementModel model = MakeModel(1);
  StartAll(model);
  model.RunFor(8s);
  for (std::size_t i = 0; i < model.Size(); i += 3) {
    model.SetState(i, State::Down);
  }
  model.RunFor(4s);
  std::set<std::size_t> zones;
  double asked = 0;
  std::map<std::string, double> load;
  for (std::size_t i = 1; i < model.Size(); i += GetParam().m_zones) {
    const LookupScope::Decision decision = model.Decide(i, 0);
    ++asked;
    for (const std::string& name : decision.m_names) {
      load[name] += 1.0 / static_cast<double>(decision.m_names.size());
    }
  }
  for (const auto& [name, part] : load) {
    EXPECT_LT(part / asked, 1 / asked) << name << " gets as much as from its zone alone";
    zones.insert(std::stoul(name) % GetParam().m_zones);
  }
  EXPECT_EQ(zones.size(), GetParam().m_zones / 3);
}

INSTANTIATE_TEST_SUITE_P(
  Sites,
  LookupReplayTest,
  testing::Values(Site{ 11, 6 }, Site{ 72, 6 }, Site{ 129, 6 }, Site{ 195, 9 }),
  [](const auto& aInfo) { return std::to_string(aInfo.param.m_vms); });

// Guards against naming another region while anything is known of a VM of the caller's region, and
// against uncertain VMs before certain ones.
TEST(LookupScopeTest, PrefersTheCallersRegion)
{
  const LookupScope scope({ "r", { "r", "far" } });
  const std::vector<LookupScope::Vm> own{ { "own", "a", "r", true, false, 0ns, 1800ms } };
  std::vector<LookupScope::Vm> vms = own;
  vms.push_back({ "ended", "x", "far", true, false, 5100ms, 1800ms });
  vms.push_back({ "stopping", "x", "far", true, true, 200ms, 1800ms });
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 60s).m_names, Names{ "own" });
  vms.push_back({ "overdue", "y", "far", true, false, 2900ms, 1800ms });
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 60s).m_names, Names{ "overdue" });
  vms.push_back({ "starting", "y", "far", false, false, 200ms, 1800ms });
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 60s).m_names, Names{ "starting" });
  vms.push_back({ "other-zone", "y", "far", true, false, 200ms, 1800ms });
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 60s).m_names, Names{ "other-zone" });
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 60s).m_kind, Kind::Region);
  vms.push_back({ "zone", "x", "far", true, false, 200ms, 1800ms });
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 60s).m_names, Names{ "zone" });
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 60s).m_kind, Kind::Zone);
}

// Guards against a VM that takes a region for lost because it has just started, and against one
// that never answers callers of a region without VMs.
TEST(LookupScopeTest, AStartingVmLeavesOtherRegionsToOtherVms)
{
  const LookupScope scope({ "r", { "r", "far" } });
  const std::vector<LookupScope::Vm> vms{ { "own", "a", "r", false, false, 0ns, 1800ms } };
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 2s).m_kind, Kind::None);
  EXPECT_EQ(scope.Decide(vms, { "x", "far" }, 6s).m_kind, Kind::OtherRegion);
  EXPECT_EQ(scope.Decide(vms, { "x", "unknown" }, 2s).m_kind, Kind::OtherRegion);
  EXPECT_EQ(scope.Decide(vms, { "a", "r" }, 2s).m_names, Names{ "own" });
}

// The last VM of a region is stopping. Guards against lookups that name other regions for that:
// the caller asks another VM, or keeps the VMs that it has.
TEST(LookupScopeTest, AStoppingVmDoesNotNameOtherRegions)
{
  const LookupScope scope({ "r", { "r", "far" } });
  const std::vector<LookupScope::Vm> vms{ { "own", "a", "r", false, true, 0ns, 1800ms },
                                          { "far", "x", "far", true, false, 100ms, 1800ms } };
  EXPECT_EQ(scope.Decide(vms, { "a", "r" }, 60s).m_kind, Kind::None);
}

} // namespace
} // namespace jaylane::policy
