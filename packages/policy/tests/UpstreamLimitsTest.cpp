#include "jaylane/policy/UpstreamLimits.h"

#include "jaylane/policy/DemandShare.h"
#include "jaylane/policy/TicketSchedule.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

TEST(UpstreamLimitsTest, TheNewestObservationCounts)
{
  base::ManualClock clock;
  const auto start = clock.Monotonic();
  UpstreamLimits limits;
  EXPECT_FALSE(limits.Observe({ "u", std::nullopt, start })) << "an upstream without a limit";
  EXPECT_TRUE(limits.Observe({ "u", 6.5, start + 1s }));
  EXPECT_FALSE(limits.Observe({ "u", 6.5, start + 2s }));
  EXPECT_FALSE(limits.Observe({ "u", std::nullopt, start + 1500ms })) << "told late by another VM";
  EXPECT_EQ(limits.LimitOf("u"), 6.5);
  limits.RemoveExpired([](const std::string&) { return true; }, start + 10min);
  EXPECT_EQ(limits.LimitOf("u"), 6.5) << "a limit lasts until a response without one";
  EXPECT_TRUE(limits.Observe({ "u", std::nullopt, start + 3s }));
  EXPECT_FALSE(limits.LimitOf("u"));
  EXPECT_TRUE(limits.Observe({ "u", 6.5, start + 4s }));
  limits.RemoveExpired([](const std::string&) { return false; }, start + 5s);
  EXPECT_EQ(limits.LimitOf("u"), 6.5) << "its registration may still be on the way";
  limits.RemoveExpired([](const std::string&) { return false; }, start + 10min);
  EXPECT_FALSE(limits.LimitOf("u")) << "it has left";
}

// Guards against telling others what each of them renews more often.
TEST(UpstreamLimitsTest, OnlyRecentObservationsAreTold)
{
  base::ManualClock clock;
  UpstreamLimits limits;
  limits.Observe({ "a", 1.0, clock.Monotonic() });
  clock.Advance(8s);
  limits.Observe({ "b", 2.0, clock.Monotonic() });
  limits.Observe({ "b", std::nullopt, clock.Monotonic() + 1ms });
  EXPECT_EQ(limits.Recent(clock.Monotonic()).size(), 2U) << "the end of a limit is told as well";
  clock.Advance(8s);
  ASSERT_EQ(limits.Recent(clock.Monotonic()).size(), 1U);
  EXPECT_EQ(limits.Recent(clock.Monotonic())[0].m_upstream, "b");
  EXPECT_EQ(limits.Limited(), std::vector<std::string>{ "a" }) << "it lasts all the same";
}

TEST(DemandShareTest, DividesByDemand)
{
  base::ManualClock clock;
  const std::map<std::string, std::size_t> vms{ { "a", 2 }, { "b", 2 } };
  DemandShare share;
  EXPECT_DOUBLE_EQ(share.Share(vms, clock.Monotonic()), 0.25) << "nothing is known yet";
  for (int i = 0; i < 3; ++i) {
    share.OnOwnRate(60);
  }
  EXPECT_DOUBLE_EQ(share.Share(vms, clock.Monotonic()), 0.25) << "others count as equal";
  share.OnZoneDemand({ "a", 100, clock.Monotonic() });
  share.OnZoneDemand({ "b", 20, clock.Monotonic() });
  EXPECT_NEAR(share.Share(vms, clock.Monotonic()), 0.5, 0.01);
  share.OnOwnRate(600);
  EXPECT_NEAR(share.Share(vms, clock.Monotonic()), 0.5, 0.01)
    << "a rise counts when others know it";
  clock.Advance(1min);
  EXPECT_DOUBLE_EQ(share.Share(vms, clock.Monotonic()), 0.25) << "out of touch";
}

TEST(TicketScheduleTest, TicketsAreSpacedAndLost)
{
  base::ManualClock clock;
  TicketSchedule tickets(0.25, 0.5, clock.Monotonic());
  EXPECT_FALSE(tickets.HasTicket(clock.Monotonic()));
  clock.Advance(2s);
  EXPECT_TRUE(tickets.HasTicket(clock.Monotonic()));
  clock.Advance(1001ms);
  EXPECT_FALSE(tickets.HasTicket(clock.Monotonic())) << "not used in time";
  clock.Advance(3s);
  EXPECT_TRUE(tickets.HasTicket(clock.Monotonic()));
  tickets.Take(clock.Monotonic());
  EXPECT_FALSE(tickets.HasTicket(clock.Monotonic()));
  tickets.SetRate(1000, clock.Monotonic());
  clock.Advance(1s);
  EXPECT_TRUE(tickets.HasTicket(clock.Monotonic()));
  tickets.SetRate(0, clock.Monotonic());
  tickets.Take(clock.Monotonic());
  clock.Advance(1min);
  EXPECT_FALSE(tickets.HasTicket(clock.Monotonic()));
}

struct Fleet
{
  int m_zones = 0;
  int m_vmsPerZone = 0;
  /// VMs of each zone that lookups return.
  int m_usedPerZone = 0;
  double m_limit = 0;
  /// Least part of the limit that must be used in calm.
  double m_minUse = 0;
};

/// VMs of several zones with far more requests for one upstream than it takes. Announcements reach
/// the own zone within a second and other zones within three.
class LimitedUpstreamTest : public testing::TestWithParam<Fleet>
{
protected:
  struct Vm
  {
    std::string m_zone;
    int m_index = 0;
    bool m_isUsed = false;
    bool m_isRunning = true;
    bool m_isPartitioned = false;
    DemandShare m_share;
    UpstreamLimits m_limits;
    std::optional<TicketSchedule> m_tickets;
  };

  static constexpr std::chrono::milliseconds kStep{ 20 };

  void SetUp() override
  {
    const Fleet fleet = GetParam();
    for (int zone = 0; zone < fleet.m_zones; ++zone) {
      m_zoneVms["z" + std::to_string(zone)] = static_cast<std::size_t>(fleet.m_vmsPerZone);
      for (int i = 0; i < fleet.m_vmsPerZone; ++i) {
        Vm vm;
        vm.m_zone = "z" + std::to_string(zone);
        vm.m_index = static_cast<int>(m_vms.size());
        vm.m_isUsed = i < fleet.m_usedPerZone;
        m_vms.push_back(std::move(vm));
      }
    }
  }

  /// Zones differ two to one in demand; the requests for the upstream are half of all.
  double RateOf(const Vm& aVm) const
  {
    const double zone = 1 + static_cast<double>(aVm.m_index / GetParam().m_vmsPerZone % 2);
    return aVm.m_isUsed && aVm.m_isRunning ? m_demand * zone : 0;
  }

  void ExchangeDemand()
  {
    std::map<std::string, double> rates;
    for (const Vm& vm : m_vms) {
      rates[vm.m_zone] += RateOf(vm);
    }
    for (Vm& vm : m_vms) {
      vm.m_share.OnOwnRate(RateOf(vm));
      for (const auto& [zone, rate] : m_ratesBefore) {
        if (!vm.m_isPartitioned || zone == vm.m_zone) {
          vm.m_share.OnZoneDemand({ zone,
                                    zone == vm.m_zone ? rates[zone] : rate,
                                    m_clock.Monotonic() - (zone == vm.m_zone ? 0ms : 2000ms) });
        }
      }
    }
    m_ratesBefore = rates;
  }

  void ExchangeLimits()
  {
    for (int i = 0; i < 4 * static_cast<int>(m_vms.size()); ++i) {
      Vm& from = m_vms[m_random() % m_vms.size()];
      Vm& to = m_vms[m_random() % m_vms.size()];
      if (from.m_isRunning && to.m_isRunning && !from.m_isPartitioned && !to.m_isPartitioned) {
        for (const auto& observation : from.m_limits.Recent(m_clock.Monotonic())) {
          to.m_limits.Observe(observation);
        }
      }
    }
  }

  void Send(Vm& aVm)
  {
    const double perStep = RateOf(aVm) / 2 * std::chrono::duration<double>(kStep).count();
    if (std::uniform_real_distribution<>{}(m_random) >= perStep) {
      return;
    }
    const auto now = m_clock.Monotonic();
    if (const auto limit = aVm.m_limits.LimitOf("u")) {
      const double rate = *limit * aVm.m_share.Share(m_zoneVms, now);
      if (!aVm.m_tickets) {
        aVm.m_tickets.emplace(rate, std::uniform_real_distribution<>{}(m_random), now);
      }
      aVm.m_tickets->SetRate(rate, now);
      if (!aVm.m_tickets->HasTicket(now)) {
        return;
      }
      aVm.m_tickets->Take(now);
    } else {
      aVm.m_tickets.reset();
    }
    m_sent.push_back(now);
    aVm.m_limits.Observe(
      { "u", m_hasLimit ? std::optional{ GetParam().m_limit } : std::nullopt, now });
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    for (auto elapsed = 0ms; elapsed < aTime; elapsed += kStep) {
      if (m_steps % 50 == 0) {
        ExchangeDemand();
      }
      if (m_steps++ % 20 == 0) {
        ExchangeLimits();
      }
      for (Vm& vm : m_vms) {
        if (vm.m_isRunning) {
          Send(vm);
        }
      }
      m_clock.Advance(kStep);
    }
  }

  /// @return the most requests within four seconds since the last call.
  std::size_t MostInFourSeconds()
  {
    std::size_t most = 0;
    std::deque<base::MonotonicTime> window;
    for (const auto time : m_sent) {
      window.push_back(time);
      while (time - window.front() >= 4s) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    m_sent.clear();
    return most;
  }

  std::map<std::string, std::size_t> m_zoneVms;
  std::vector<Vm> m_vms;
  std::map<std::string, double> m_ratesBefore;
  base::ManualClock m_clock;
  std::minstd_rand m_random{ 11 };
  int m_steps = 0;
  double m_demand = 20;
  bool m_hasLimit = true;
  std::vector<base::MonotonicTime> m_sent;
};

// Guards against an upstream in need that gets more than one and a half times the limit which it
// has named, plus five requests, in four seconds (LIMIT): in calm, when demand rises at once, when
// VMs start and stop, and when they lose each other.
TEST_P(LimitedUpstreamTest, GetsNoMoreThanItsLimit)
{
  const double limit = GetParam().m_limit;
  const double bound = 1.5 * limit * 4 + 5;
  RunFor(3s); // From the first response that names the limit on.
  MostInFourSeconds();
  RunFor(20s);
  const double used = static_cast<double>(m_sent.size()) / 20;
  EXPECT_LE(static_cast<double>(MostInFourSeconds()), bound) << "calm";
  EXPECT_GE(used, GetParam().m_minUse * limit) << "a limit is no ban";
  m_demand *= 4;
  RunFor(15s);
  EXPECT_LE(static_cast<double>(MostInFourSeconds()), bound) << "demand rises";
  m_demand /= 40'000;
  RunFor(10s);
  m_demand *= 40'000;
  RunFor(15s);
  EXPECT_LE(static_cast<double>(MostInFourSeconds()), bound) << "after a lull";
  for (std::size_t i = 0; i < m_vms.size(); i += 3) {
    m_vms[i].m_isRunning = false;
  }
  RunFor(10s);
  for (std::size_t i = 0; i < m_vms.size(); i += 3) {
    m_vms[i].m_isRunning = true;
    m_vms[i].m_limits = {};
    m_vms[i].m_share = {};
    m_vms[i].m_tickets.reset();
  }
  ExchangeLimits(); // Before its first request, a VM hears of the limit from others.
  ExchangeLimits();
  RunFor(10s);
  EXPECT_LE(static_cast<double>(MostInFourSeconds()), bound) << "VMs stop and start";
  for (Vm& vm : m_vms) {
    vm.m_isPartitioned = true;
  }
  RunFor(60s);
  EXPECT_LE(static_cast<double>(MostInFourSeconds()), bound) << "VMs out of touch";
}

// Guards against keys that stay away when the upstream is well again.
TEST_P(LimitedUpstreamTest, GetsAllRequestsAgainWhenTheLimitEnds)
{
  RunFor(10s);
  m_hasLimit = false;
  RunFor(8s);
  m_sent.clear();
  RunFor(4s);
  double demand = 0;
  for (const Vm& vm : m_vms) {
    demand += RateOf(vm) / 2;
  }
  EXPECT_GE(static_cast<double>(m_sent.size()) / 4, 0.8 * demand);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         LimitedUpstreamTest,
                         testing::Values(Fleet{ 6, 2, 2, 5.8, 0.5 },
                                         Fleet{ 6, 2, 2, 9.8, 0.5 },
                                         Fleet{ 6, 2, 2, 0.5, 0.2 },
                                         Fleet{ 6, 12, 3, 5.8, 0.4 },
                                         Fleet{ 9, 22, 4, 5.8, 0.3 },
                                         Fleet{ 9, 22, 22, 5.8, 0.2 },
                                         Fleet{ 9, 33, 33, 2.5, 0.2 }));

} // namespace
} // namespace jaylane::policy
