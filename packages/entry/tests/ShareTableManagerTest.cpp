#include "ShareTableManager.h"

#include "TestContext.h"
#include "jaylane/base/JsonText.h"
#include "jaylane/platform/FakeStore.h"

#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

using std::chrono::milliseconds;

constexpr const char* kPredecessor = "00000000000000090000000000000009";
constexpr milliseconds kTimeout{ 100 };

platform::VmEntry MakeEntryVm(const std::string& aIncarnation)
{
  platform::VmEntry vm;
  vm.m_id = "vm";
  vm.m_region = "east";
  vm.m_zone = "east-a";
  vm.m_address = "127.0.0.1:1";
  vm.m_incarnation = aIncarnation;
  return vm;
}

class ShareTableManagerTest : public testing::Test
{
protected:
  TestContext m_test;
  platform::FakeStore m_store;
  Directory m_directory{ m_test.m_context };
  ZoneSlotPool m_slotPool{ m_test.m_context, {} };
  ShareTableManager m_shares{ m_test.m_context, m_store, m_directory, m_slotPool };

  const std::string& Self() const { return m_test.m_context.m_incarnationText; }

  void ReceiveList(const std::vector<std::string>& aIncarnations)
  {
    platform::VmList list;
    VmStates states;
    for (const std::string& incarnation : aIncarnations) {
      list.m_vms.push_back(MakeEntryVm(incarnation));
      states.m_heard.insert(incarnation);
    }
    m_directory.Apply(list, m_test.m_clock.Monotonic());
    m_directory.SetStates(states);
    m_shares.ObserveList(*m_directory.Current());
  }

  /// Stores a table in which this VM owns all units, and delivers it.
  void OwnAllUnits()
  {
    auto table = policy::ShareTable::Make(16, Self());
    table->Stamp("donor", "1");
    const std::string text = base::WriteJson(table->ToJson());
    const auto version = m_store.Put(m_shares.Key(), text, platform::kAbsent, kTimeout);
    ASSERT_TRUE(version);
    m_shares.Receive(text, *version);
  }

  /// @return number of units that the stored table assigns to the incarnation.
  std::size_t StoredUnits(const std::string& aIncarnation)
  {
    const auto object = m_store.Get(m_shares.Key(), kTimeout);
    if (!object) {
      return 0;
    }
    const auto json = base::ParseJson(object->m_value);
    const auto table =
      json ? policy::ShareTable::FromJson(*json) : base::Result<policy::ShareTable>(base::Error{});
    return table ? table->UnitsOf(aIncarnation).size() : 0;
  }
};

// Guards against a restarted VM that receives units from a peer before its own VM list shows it: it
// took itself for leaving and donated all of them to its predecessor, which had ended. They stayed
// unused until they were reclaimed, plus the longest request and a lease.
TEST_F(ShareTableManagerTest, KeepsUnitsUntilTheListShowsThisVm)
{
  ReceiveList({ kPredecessor });
  OwnAllUnits();
  m_shares.Run();
  EXPECT_EQ(StoredUnits(Self()), 16u);
  ReceiveList({ Self() });
  m_shares.Run();
  EXPECT_EQ(StoredUnits(Self()), 16u);
}

// Guards against units that stay with a VM that the platform has removed from its list.
TEST_F(ShareTableManagerTest, DonatesAllUnitsOnceItIsNoLongerListed)
{
  ReceiveList({ Self() });
  OwnAllUnits();
  ReceiveList({ kPredecessor });
  m_shares.Run();
  EXPECT_EQ(StoredUnits(Self()), 0u);
}

// Guards against donations to a listed VM that has never been heard of, since the list may still
// name an incarnation that has ended.
TEST_F(ShareTableManagerTest, DonatesOnlyToVmsThatWereHeard)
{
  ReceiveList({ Self(), kPredecessor });
  OwnAllUnits();
  VmStates states;
  states.m_heard = { Self() };
  m_directory.SetStates(states);
  m_shares.Run();
  EXPECT_EQ(StoredUnits(Self()), 16u);
  states.m_heard.insert(kPredecessor);
  m_directory.SetStates(states);
  m_shares.Run();
  EXPECT_EQ(StoredUnits(kPredecessor), 8u);
}

} // namespace
} // namespace jaylane::entry
