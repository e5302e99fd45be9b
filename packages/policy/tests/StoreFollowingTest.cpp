#include "jaylane/policy/StoreFollowing.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

/// A zone whose VMs decide every 200 ms and hear each other's announcements once per second.
class StoreFollowingTest : public testing::Test
{
protected:
  void AddVms(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const std::string name = "vm-" + std::to_string(i);
      m_vms.emplace(name, StoreFollowing{ {}, name });
      m_running.push_back(name);
    }
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    for (auto elapsed = 0ms; elapsed < aTime; elapsed += 200ms) {
      if (m_round++ % 5 == 0) {
        Announce();
      }
      for (const std::string& name : m_running) {
        std::vector<std::string> others = m_running;
        std::erase(others, name);
        m_roles[name] = m_vms.at(name).Decide(others, m_clock.Monotonic());
      }
      m_clock.Advance(200ms);
    }
  }

  std::ptrdiff_t Count(StoreRole aRole)
  {
    return std::ranges::count_if(m_running,
                                 [&](const auto& aName) { return m_roles[aName] == aRole; });
  }

  void StopElected()
  {
    std::erase_if(m_running,
                  [&](const auto& aName) { return m_roles[aName] == StoreRole::Elected; });
  }

  base::ManualClock m_clock;
  std::map<std::string, StoreFollowing> m_vms;
  std::vector<std::string> m_running;
  std::map<std::string, StoreRole> m_roles;
  bool m_isStoreReachable = true;

private:
  void Announce()
  {
    for (const std::string& sender : m_running) {
      const auto role = m_roles.find(sender);
      const bool isFollowing = role == m_roles.end() || role->second != StoreRole::Relying;
      for (const std::string& receiver : m_running) {
        if (isFollowing && m_isStoreReachable && receiver != sender) {
          m_vms.at(receiver).OnFollowerHeard(m_clock.Monotonic());
        }
      }
    }
  }

  int m_round = 0;
};

// The number of calls to the store must not grow with the number of VMs.
TEST_F(StoreFollowingTest, TwoVmsOfAZoneFollowTheStore)
{
  AddVms(21);
  RunFor(10s);
  EXPECT_EQ(Count(StoreRole::Elected), 2);
  EXPECT_EQ(Count(StoreRole::Fallback), 0);
}

// In a small zone nothing depends on another VM.
TEST_F(StoreFollowingTest, AllVmsOfASmallZoneFollowTheStore)
{
  AddVms(2);
  RunFor(10s);
  EXPECT_EQ(Count(StoreRole::Elected), 2);
}

// The VMs that watch the store are killed. The others must not stay without changes.
TEST_F(StoreFollowingTest, OthersTakeOverFromElectedVmsThatStop)
{
  AddVms(21);
  RunFor(10s);
  StopElected();
  RunFor(1s);
  EXPECT_EQ(Count(StoreRole::Elected), 2);
}

// The elected VMs cannot reach the store, for example because it turns them away. The others must
// try it themselves, and rely on the elected ones again afterwards.
TEST_F(StoreFollowingTest, VmsWatchThemselvesWhileNoElectedVmSucceeds)
{
  AddVms(21);
  RunFor(10s);
  m_isStoreReachable = false;
  RunFor(5s);
  EXPECT_EQ(Count(StoreRole::Relying), 0);
  m_isStoreReachable = true;
  RunFor(2s);
  EXPECT_EQ(Count(StoreRole::Relying), 19);
}

// A VM that has just started and has heard nobody must not wait for others.
TEST_F(StoreFollowingTest, AVmAloneFollowsTheStore)
{
  const StoreFollowing alone{ {}, "vm" };
  EXPECT_EQ(alone.Decide({}, m_clock.Monotonic()), StoreRole::Elected);
  const StoreFollowing unheard{ {}, "vm-1" };
  EXPECT_NE(unheard.Decide({ "a", "b", "c", "d" }, m_clock.Monotonic()), StoreRole::Relying);
}

} // namespace
} // namespace jaylane::policy
