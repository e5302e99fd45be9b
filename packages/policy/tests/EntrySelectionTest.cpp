#include "jaylane/policy/EntrySelection.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

/// A zone of three VMs with half a core and 18 with a tenth.
class EntrySelectionTest : public testing::Test
{
protected:
  EntrySelectionTest()
  {
    for (int i = 0; i < 21; ++i) {
      m_vms.push_back({ "vm-" + std::to_string(i), i % 7 == 3 ? 0.5 : 0.1, 0 });
    }
  }

  /// Spreads the demand over the VMs that were selected last.
  void SetDemand(double aRequestsPerSecond)
  {
    for (EntrySelection::Vm& vm : m_vms) {
      const bool isSelected = std::ranges::count(m_selected, vm.m_name) > 0;
      vm.m_requestsPerSecond =
        isSelected ? aRequestsPerSecond / static_cast<double>(m_selected.size()) : 0;
    }
  }

  std::size_t Select(std::chrono::milliseconds aAfter = 1s)
  {
    m_clock.Advance(aAfter);
    m_selected = m_selection.Select(m_vms, m_clock.Monotonic());
    return m_selected.size();
  }

  base::ManualClock m_clock;
  std::vector<EntrySelection::Vm> m_vms;
  std::vector<std::string> m_selected;
  EntrySelection m_selection{ {} };
};

// Requests spread over all VMs meet each upstream so rarely that no connection can be kept.
TEST_F(EntrySelectionTest, TheLargestVmsServeUsualDemand)
{
  Select();
  SetDemand(260);
  EXPECT_EQ(Select(), 3U);
  for (const std::string& name : m_selected) {
    const auto vm = std::ranges::find(m_vms, name, &EntrySelection::Vm::m_name);
    EXPECT_EQ(vm->m_cores, 0.5) << name;
  }
}

// A burst must not overload the selected VMs for longer than a lookup is kept.
TEST_F(EntrySelectionTest, ABurstAddsVmsAtOnce)
{
  Select();
  SetDemand(260);
  Select();
  SetDemand(1300);
  const std::size_t count = Select();
  EXPECT_GT(count, 3U);
  EXPECT_GE(static_cast<double>(count) * 0.1 * 700, 1300);
}

// Callers close their connections to VMs that are left out, so demand that swings must not change
// the selection all the time.
TEST_F(EntrySelectionTest, FewerVmsAreSelectedAfterAWhile)
{
  Select();
  SetDemand(1300);
  const std::size_t busy = Select();
  for (int i = 0; i < 8; ++i) {
    SetDemand(i % 2 == 0 ? 260 : 1200);
    EXPECT_EQ(Select(2s), busy);
  }
  SetDemand(260);
  for (int i = 0; i < 9; ++i) {
    EXPECT_EQ(Select(), busy);
  }
  Select(2s);
  EXPECT_EQ(Select(), 3U);
}

// Selected VMs that stop must be replaced in the next lookup.
TEST_F(EntrySelectionTest, StoppedVmsAreReplaced)
{
  Select();
  const std::vector<std::string> before = m_selected;
  std::erase_if(m_vms, [&](const auto& aVm) { return aVm.m_name == before[0]; });
  EXPECT_GE(Select(), 3U);
  EXPECT_EQ(std::ranges::count(m_selected, before[0]), 0);
  EXPECT_EQ(std::ranges::count(m_selected, before[1]), 1);
}

TEST_F(EntrySelectionTest, VmsOfAZoneAgree)
{
  Select();
  std::ranges::reverse(m_vms);
  EntrySelection other{ {} };
  EXPECT_EQ(other.Select(m_vms, m_clock.Monotonic()), m_selected);
}

// Without their sizes nothing is known about what the VMs can serve.
TEST_F(EntrySelectionTest, VmsOfUnknownSizeAreAllSelected)
{
  for (EntrySelection::Vm& vm : m_vms) {
    vm.m_cores = 0;
  }
  EXPECT_EQ(Select(), m_vms.size());
}

TEST_F(EntrySelectionTest, SmallZonesUseAllVms)
{
  m_vms.resize(2);
  EXPECT_EQ(Select(), 2U);
  m_vms.clear();
  EXPECT_EQ(Select(), 0U);
}

} // namespace
} // namespace jaylane::policy
