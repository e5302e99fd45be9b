#include "jaylane/policy/LeadWatcher.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// VMs of three regions that decide each 200 ms and announce what they know to random others each
/// 400 ms, with random phases. A VM that starts or stops to lead tells all that may lead at once.
class Fleet
{
public:
  Fleet(std::size_t aVms, std::size_t aWatching, milliseconds aDelay, unsigned aSeed)
    : m_random(aSeed)
    , m_delay(aDelay)
    , m_watching(aWatching)
  {
    m_clock.Advance(100s);
    for (std::size_t i = 0; i < aVms; ++i) {
      m_vms.push_back({ MakeWatcher(i), i < aWatching });
      m_vms.back().m_phase = m_random();
    }
  }

  void RunFor(milliseconds aTime)
  {
    for (auto elapsed = 0ms; elapsed < aTime; elapsed += kTick) {
      Step();
    }
  }

  /// Runs until a VM of each part leads.
  /// @return the time that took, aLimit at most.
  milliseconds TimeUntilLed(milliseconds aLimit)
  {
    auto elapsed = 0ms;
    do {
      Step();
      elapsed += kTick;
    } while (elapsed < aLimit && (Leads(0).empty() || (m_isDivided && Leads(1).empty())));
    return elapsed;
  }

  /// @param aPart part of the fleet while it is divided.
  std::vector<std::size_t> Leads(std::size_t aPart) const
  {
    std::vector<std::size_t> leads;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      if (m_vms[i].m_isLead && (!m_isDivided || i % 2 == aPart)) {
        leads.push_back(i);
      }
    }
    return leads;
  }

  /// Times that a VM began to lead.
  std::size_t Starts() const { return m_starts; }

  LeadWatcher& Watcher(std::size_t aVm) { return m_vms[aVm].m_watcher; }

  /// The VM ends without a message.
  void Kill(std::size_t aVm)
  {
    m_vms[aVm].m_isRunning = false;
    m_vms[aVm].m_isLead = false;
  }
  void Restart(std::size_t aVm) { m_vms[aVm] = { MakeWatcher(aVm), true }; }
  void SetWatching(std::size_t aVm, bool aIsWatching) { m_vms[aVm].m_isWatching = aIsWatching; }
  /// Even and odd VMs do not hear each other.
  void SetDivided(bool aIsDivided) { m_isDivided = aIsDivided; }

private:
  static constexpr milliseconds kTick{ 50 };
  static constexpr std::size_t kDecideTicks = 4;
  static constexpr std::size_t kAnnounceTicks = 8;
  static constexpr std::size_t kRecipients = 12;
  static constexpr std::size_t kRegions = 3;

  struct Vm
  {
    LeadWatcher m_watcher;
    bool m_isWatching = false;
    bool m_isRunning = true;
    bool m_isLead = false;
    std::size_t m_phase = 0;
  };
  struct Message
  {
    base::MonotonicTime m_due;
    std::size_t m_to;
    LeadWatcher::Heartbeat m_heartbeat;
    bool m_isResignation;
  };

  LeadWatcher MakeWatcher(std::size_t aVm) const
  {
    return LeadWatcher({}, "vm-" + std::to_string(aVm), m_clock.Monotonic());
  }

  void Step()
  {
    m_clock.Advance(kTick);
    const base::MonotonicTime now = m_clock.Monotonic();
    Deliver(now);
    ++m_steps;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
      Vm& vm = m_vms[i];
      if (vm.m_isRunning && (m_steps + vm.m_phase) % kDecideTicks == 0) {
        Decide(i, now);
      }
      if (vm.m_isRunning && (m_steps + vm.m_phase) % kAnnounceTicks == 0) {
        for (std::size_t sent = 0; sent < kRecipients; ++sent) {
          Send(i, m_random() % m_vms.size(), false, now);
        }
      }
    }
  }

  void Decide(std::size_t aVm, base::MonotonicTime aNow)
  {
    Vm& vm = m_vms[aVm];
    const bool isLead = vm.m_watcher.Decide(vm.m_isWatching, aNow);
    m_starts += isLead && !vm.m_isLead ? 1 : 0;
    const bool hasResigned = !isLead && vm.m_isLead && !vm.m_watcher.Current(aNow);
    if ((isLead && !vm.m_isLead) || hasResigned) {
      for (std::size_t to = 0; to < m_watching; ++to) {
        Send(aVm, to, hasResigned, aNow);
      }
    }
    vm.m_isLead = isLead;
  }

  void Send(std::size_t aFrom, std::size_t aTo, bool aIsResignation, base::MonotonicTime aNow)
  {
    const auto heartbeat = m_vms[aFrom].m_watcher.Current(aNow);
    if (aTo == aFrom || (m_isDivided && aTo % 2 != aFrom % 2) || (!heartbeat && !aIsResignation)) {
      return;
    }
    const milliseconds delay = aFrom % kRegions == aTo % kRegions ? 1ms : m_delay;
    m_messages.push_back(
      { aNow + delay,
        aTo,
        heartbeat.value_or(LeadWatcher::Heartbeat{ m_vms[aFrom].m_watcher.Rank(), 0, 0 }),
        aIsResignation });
  }

  void Deliver(base::MonotonicTime aNow)
  {
    std::deque<Message> waiting;
    for (const Message& message : m_messages) {
      Vm& vm = m_vms[message.m_to];
      if (message.m_due > aNow) {
        waiting.push_back(message);
      } else if (vm.m_isRunning && message.m_isResignation) {
        vm.m_watcher.OnResigned(message.m_heartbeat.m_rank, aNow);
      } else if (vm.m_isRunning) {
        vm.m_watcher.OnHeartbeat(message.m_heartbeat, aNow);
      }
    }
    m_messages = std::move(waiting);
  }

  base::ManualClock m_clock;
  std::minstd_rand m_random;
  milliseconds m_delay;
  std::size_t m_watching;
  std::vector<Vm> m_vms;
  std::deque<Message> m_messages;
  bool m_isDivided = false;
  std::size_t m_steps = 0;
  std::size_t m_starts = 0;
};

/// Longest time without a lead watcher after one was killed: the timeout, the spread, one decision,
/// and the way of the last beat through the fleet, which the timeout starts with.
constexpr milliseconds kMaxTakeoverTime = 2000ms + 1000ms + 200ms + 1200ms;
/// The same after one has resigned: the spread, a decision on both sides, and the way of the
/// message.
constexpr milliseconds kMaxHandoverTime = 1000ms + 2 * 200ms + 200ms;

struct FleetCase
{
  std::size_t m_vms;
  milliseconds m_delay;
};

class LeadWatcherTest : public testing::TestWithParam<FleetCase>
{
protected:
  static constexpr unsigned kSeeds = 10;

  Fleet MakeFleet(unsigned aSeed) const
  {
    return Fleet(GetParam().m_vms, Watching(), GetParam().m_delay, aSeed);
  }
  /// In small fleets each VM watches the store, in large ones a few of each zone.
  std::size_t Watching() const
  {
    return GetParam().m_vms <= 24 ? GetParam().m_vms : GetParam().m_vms / 10;
  }
};

// Guards against a store that goes silent while each VM waits for a long watch, and against the
// calls of several VMs with short ones.
TEST_P(LeadWatcherTest, OneVmLeads)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet = MakeFleet(seed);
    EXPECT_LE(fleet.TimeUntilLed(10s), 2000ms + kMaxTakeoverTime) << "seed " << seed;
    fleet.RunFor(3s);
    const std::size_t starts = fleet.Starts();
    fleet.RunFor(30s);
    EXPECT_EQ(fleet.Leads(0).size(), 1U) << "seed " << seed;
    EXPECT_EQ(fleet.Starts(), starts) << "seed " << seed;
  }
}

// Guards against a lead watcher that is kept alive by heartbeats which are still passed on.
TEST_P(LeadWatcherTest, AnotherVmTakesOverFromOneThatIsKilled)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet = MakeFleet(seed);
    fleet.RunFor(10s);
    ASSERT_EQ(fleet.Leads(0).size(), 1U);
    const std::size_t killed = fleet.Leads(0).front();
    fleet.Kill(killed);
    EXPECT_LE(fleet.TimeUntilLed(10s), kMaxTakeoverTime) << "seed " << seed;
    fleet.RunFor(3s);
    EXPECT_EQ(fleet.Leads(0).size(), 1U) << "seed " << seed;
    fleet.Restart(killed);
    fleet.RunFor(10s);
    EXPECT_EQ(fleet.Leads(0).size(), 1U) << "seed " << seed;
  }
}

TEST_P(LeadWatcherTest, AnotherVmTakesOverSoonFromOneThatLosesTheStore)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet = MakeFleet(seed);
    fleet.RunFor(10s);
    ASSERT_EQ(fleet.Leads(0).size(), 1U);
    const std::size_t first = fleet.Leads(0).front();
    fleet.SetWatching(first, false);
    fleet.RunFor(200ms);
    const auto leads = fleet.Leads(0);
    EXPECT_FALSE(std::ranges::count(leads, first));
    EXPECT_LE(fleet.TimeUntilLed(10s), kMaxHandoverTime) << "seed " << seed;
    fleet.RunFor(3s);
    ASSERT_EQ(fleet.Leads(0).size(), 1U) << "seed " << seed;
    EXPECT_NE(fleet.Leads(0).front(), first);
  }
}

// Guards against a takeover in which each VM of a lower rank takes over from the one before.
TEST_P(LeadWatcherTest, FewVmsTakeOver)
{
  // The takeovers of many VMs lie closer together than the time until they hear of each other.
  const std::size_t mostStarts = std::max<std::size_t>(6, Watching() / 10);
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet = MakeFleet(seed);
    fleet.RunFor(10s);
    const std::size_t starts = fleet.Starts();
    fleet.Kill(fleet.Leads(0).front());
    fleet.RunFor(8s);
    EXPECT_LE(fleet.Starts() - starts, mostStarts) << "seed " << seed;
  }
}

TEST_P(LeadWatcherTest, EachPartOfADividedFleetHasALeadWatcher)
{
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet = MakeFleet(seed);
    fleet.RunFor(10s);
    fleet.SetDivided(true);
    EXPECT_LE(fleet.TimeUntilLed(10s), kMaxTakeoverTime) << "seed " << seed;
    fleet.RunFor(2s);
    fleet.SetDivided(false);
    fleet.RunFor(4s);
    EXPECT_EQ(fleet.Leads(0).size(), 1U) << "seed " << seed;
  }
}

// Guards against VMs whose connections stay silent after the lead watcher has replaced its own, so
// that they learn of nothing if it ends.
TEST_P(LeadWatcherTest, ASilenceIsToldToAllVmsOnce)
{
  Fleet fleet = MakeFleet(1);
  fleet.RunFor(10s);
  ASSERT_EQ(fleet.Leads(0).size(), 1U);
  const std::size_t lead = fleet.Leads(0).front();
  for (std::size_t i = 0; i < GetParam().m_vms; ++i) {
    fleet.Watcher(i).TakeSilence();
  }
  const base::MonotonicTime now{ 1000s };
  fleet.Watcher(lead).OnSilence(now);
  fleet.Watcher(lead).OnSilence(now + 1s);
  for (const bool isExpected : { true, false }) {
    fleet.RunFor(2s);
    for (std::size_t i = 0; i < GetParam().m_vms; ++i) {
      EXPECT_EQ(fleet.Watcher(i).TakeSilence(), isExpected && i != lead) << i;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         LeadWatcherTest,
                         testing::Values(FleetCase{ 3, 35ms },
                                         FleetCase{ 12, 35ms },
                                         FleetCase{ 195, 20ms },
                                         FleetCase{ 195, 150ms },
                                         FleetCase{ 1000, 60ms }));

TEST(LeadWatcherHeartbeatTest, AVmAloneLeads)
{
  base::ManualClock clock;
  LeadWatcher vm({}, "vm", clock.Monotonic());
  EXPECT_FALSE(vm.Decide(true, clock.Monotonic())) << "it listens first";
  clock.Advance(5s);
  EXPECT_FALSE(vm.Decide(false, clock.Monotonic()));
  EXPECT_TRUE(vm.Decide(true, clock.Monotonic()));
}

TEST(LeadWatcherHeartbeatTest, ABeatThatDoesNotRiseExpires)
{
  base::ManualClock clock;
  LeadWatcher vm({}, "vm", clock.Monotonic());
  vm.OnHeartbeat({ vm.Rank() - 1, 7, 0 }, clock.Monotonic());
  clock.Advance(1900ms);
  vm.OnHeartbeat({ vm.Rank() - 1, 7, 0 }, clock.Monotonic());
  ASSERT_TRUE(vm.Current(clock.Monotonic()));
  clock.Advance(100ms);
  EXPECT_FALSE(vm.Current(clock.Monotonic()));
  vm.OnHeartbeat({ vm.Rank() - 1, 7, 0 }, clock.Monotonic());
  EXPECT_FALSE(vm.Current(clock.Monotonic())) << "an echo";
  vm.OnHeartbeat({ vm.Rank() - 1, 8, 0 }, clock.Monotonic());
  EXPECT_TRUE(vm.Current(clock.Monotonic()));
  vm.OnResigned(vm.Rank() - 1, clock.Monotonic());
  EXPECT_FALSE(vm.Current(clock.Monotonic()));
}

// Guards against a VM that is ignored for good because its clock has started anew.
TEST(LeadWatcherHeartbeatTest, ABeatThatStartsAnewCountsAfterAWhile)
{
  base::ManualClock clock;
  LeadWatcher vm({}, "vm", clock.Monotonic());
  vm.OnHeartbeat({ vm.Rank() + 1, 5000, 0 }, clock.Monotonic());
  clock.Advance(10s);
  vm.OnHeartbeat({ vm.Rank() + 1, 1, 0 }, clock.Monotonic());
  EXPECT_TRUE(vm.Current(clock.Monotonic()));
}

// Guards against a rank out of range, from a VM of another version or damaged bytes, that no VM
// can take over from.
TEST(LeadWatcherHeartbeatTest, IgnoresAnImpossibleRankAndItsOwnEcho)
{
  base::ManualClock clock;
  LeadWatcher vm({}, "vm", clock.Monotonic());
  vm.OnHeartbeat({ LeadWatcher::kRanks, 1, 0 }, clock.Monotonic());
  vm.OnHeartbeat({ vm.Rank(), 1, 0 }, clock.Monotonic());
  EXPECT_FALSE(vm.Current(clock.Monotonic()));
}

} // namespace
} // namespace jaylane::policy
