#include "Directory.h"

#include "TestContext.h"
#include "ZoneSlotPool.h"

#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

constexpr const char* kSelf = "00000000000000010000000000000002";
constexpr const char* kPeer = "00000000000000030000000000000004";

platform::VmEntry MakeEntryVm(const std::string& aIncarnation)
{
  platform::VmEntry vm;
  vm.m_id = aIncarnation;
  vm.m_region = "east";
  vm.m_zone = "east-a";
  vm.m_address = "127.0.0.1:1";
  vm.m_incarnation = aIncarnation;
  return vm;
}

// Guards against callers that are sent to a VM that waits for slots: it rejected them after a
// second in its queue. Guards also against a leaving or unreachable VM that counts as ready.
TEST(Directory, VmsAreReadyOnceTheyMayUseSlots)
{
  TestContext test;
  Directory directory(test.m_context);
  const policy::SiteId site{ "east", "east-a" };
  directory.Apply({ { MakeEntryVm(kSelf) } }, test.m_clock.Monotonic());
  const EntryVmRef vm = directory.Current()->m_entryVms.front();
  EXPECT_TRUE(directory.IsUsable(vm));
  EXPECT_FALSE(directory.IsReady(vm));
  EXPECT_FALSE(directory.MayReceiveUnits(vm));
  EXPECT_TRUE(directory.IsSiteUsable(site));
  EXPECT_FALSE(directory.IsSiteReady(site));

  directory.SetStates({ {}, { kSelf }, {} });
  EXPECT_TRUE(directory.MayReceiveUnits(vm));
  EXPECT_FALSE(directory.IsReady(vm));

  directory.SetStates({ {}, { kSelf }, { kSelf } });
  EXPECT_TRUE(directory.IsReady(vm));
  EXPECT_TRUE(directory.IsSiteReady(site));

  directory.SetStates({ { kSelf }, { kSelf }, { kSelf } });
  EXPECT_FALSE(directory.IsReady(vm));
  EXPECT_FALSE(directory.MayReceiveUnits(vm));
  EXPECT_FALSE(directory.IsSiteReady(site));
}

// Guards against a VM that announces that it is ready while its units are reclaimed ones that it
// may not use yet, and against requests passed to a VM that owns no slot of the upstream.
TEST(ZoneSlotPool, ReclaimedUnitsAreNotUsableAtFirst)
{
  using std::chrono::seconds;
  TestContext test;
  ZoneSlotPool pool(test.m_context, { seconds{ 5 } });
  UpstreamRef upstream;
  upstream.m_id = "upstream";
  upstream.m_slots = 4;
  pool.SetUpstreams({ upstream });
  EXPECT_FALSE(pool.HasUsableUnits());

  auto table = policy::ShareTable::Make(4, kPeer);
  ASSERT_TRUE(table);
  const auto apply = [&](std::uint64_t aVersion) {
    pool.WithLock([&](policy::SlotPool& aPool) {
      return aPool.ApplyTable(*table, aVersion, test.m_clock.Monotonic());
    });
  };
  apply(1);
  EXPECT_FALSE(pool.HasUsableUnits());
  EXPECT_EQ(pool.OwnersOf("upstream"), std::set<std::string>{ kPeer });
  table->Assign(0, kSelf, 7);
  apply(2);
  EXPECT_FALSE(pool.HasUsableUnits());
  EXPECT_EQ(pool.OwnersOf("upstream"), (std::set<std::string>{ kSelf, kPeer }));
  test.m_clock.Advance(seconds{ 5 });
  EXPECT_TRUE(pool.HasUsableUnits());
  EXPECT_TRUE(pool.OwnersOf("unknown").empty());
}

} // namespace
} // namespace jaylane::entry
