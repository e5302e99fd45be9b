#include "jaylane/policy/UpstreamSelector.h"

#include "../bench/DispatchSimulation.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <numeric>
#include <random>
#include <set>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;

const UpstreamSelector::HasFreeSlot kAnySlot = [](std::string_view) { return true; };

class Fixture
{
public:
  explicit Fixture(std::size_t aCount, const UpstreamSelectorOptions& aOptions = {})
    : m_selector(aOptions, [this] { return m_random(); })
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      m_list.push_back({ "u" + std::to_string(i), "1", 4, false });
    }
    m_selector.ApplyList(m_list, m_now);
  }

  void Activate()
  {
    for (const auto& listed : m_list) {
      m_selector.ApplyProbe(listed.m_id, listed.m_incarnation, ProbeResult::Active, m_now);
    }
  }

  void Finish(const std::string& aId,
              DispatchResult aResult,
              std::chrono::nanoseconds aLatency = 60ms)
  {
    const UpstreamChoice choice{ aId, m_selector.Find(aId)->m_incarnation };
    m_selector.Dispatched(choice);
    m_selector.Finished(choice, aResult, aLatency, m_now);
  }

  std::map<std::string, int> Count(int aPicks)
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < aPicks; ++i) {
      if (const auto choice = m_selector.Pick(kAnySlot, {}, m_now)) {
        ++counts[choice->m_id];
      }
    }
    return counts;
  }

  UpstreamPhase Phase(const std::string& aId) const { return m_selector.Find(aId)->Phase(); }

  base::MonotonicTime m_now{ 1h };
  std::mt19937_64 m_random{ 1 };
  UpstreamSelector m_selector;
  std::vector<ListedUpstream> m_list;
};

// Guards against states and events that differ between the chart and the enums.
TEST(UpstreamState, MatchesItsChart)
{
  const std::vector<std::string> states{ "joining", "warming", "active",
                                         "suspect", "leaving", "gone" };
  const std::vector<std::string> events{ "ready", "warmed", "fail", "recover",
                                         "leave", "vanish", "list" };
  EXPECT_EQ(UpstreamChart().Chart().States(), states);
  EXPECT_EQ(UpstreamChart().Chart().Events(), events);
}

// Guards against requests to a leaving upstream, and against the loss of a service by wrong
// probes, under any order of signals from lagging lists, probes and own results.
RC_GTEST_PROP(UpstreamSelector, LeavingWinsAndMostUpstreamsStay, ())
{
  Fixture world(10);
  auto& selector = world.m_selector;
  std::set<std::pair<std::string, std::string>> left;
  const auto byte = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<int>(0, 256));
  const auto steps = *rc::gen::scale(
    10, rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(byte, byte)));
  for (const auto& [kind, which] : steps) {
    auto& listed = world.m_list[static_cast<std::size_t>(which) % 10];
    switch (kind % 8) {
      case 0:
        // A new incarnation that the list knows.
        listed.m_incarnation = std::to_string(std::stoi(listed.m_incarnation) + (which % 16 == 0));
        selector.ApplyList(world.m_list, world.m_now);
        break;
      case 1: {
        // A lagging list: an old incarnation, or none, or one that leaves.
        auto lagging = world.m_list;
        auto& old = lagging[static_cast<std::size_t>(which) % 10];
        old.m_incarnation = std::to_string(std::max(std::stoi(old.m_incarnation) - 1, 1));
        old.m_leaving = which % 8 == 0;
        if (which % 3 == 0) {
          std::erase_if(lagging, [&](const auto& aItem) { return aItem.m_id == listed.m_id; });
        }
        selector.ApplyList(lagging, world.m_now);
        if (which % 3 != 0 && old.m_leaving) {
          left.emplace(old.m_id, old.m_incarnation);
        }
        break;
      }
      case 2: {
        const auto result = which % 32 == 0 ? ProbeResult::Leaving : ProbeResult::Unreachable;
        selector.ApplyProbe(listed.m_id, listed.m_incarnation, result, world.m_now);
        // Counts only if the selector knows this incarnation already.
        const auto seen = selector.Find(listed.m_id);
        if (result == ProbeResult::Leaving && seen != nullptr && seen->m_left) {
          left.emplace(listed.m_id, listed.m_incarnation);
        }
        break;
      }
      case 3:
        selector.ApplyProbe(listed.m_id, listed.m_incarnation, ProbeResult::Active, world.m_now);
        break;
      case 4:
        world.m_now += std::chrono::milliseconds{ which * 20 };
        break;
      default:
        if (selector.Find(listed.m_id) != nullptr) {
          world.Finish(listed.m_id,
                       which % 2 == 0 ? DispatchResult::Failed : DispatchResult::Completed);
        }
    }
    selector.ApplyList(world.m_list, world.m_now);
    std::size_t suspects = 0;
    for (const auto& state : selector.Upstreams()) {
      suspects += state.Phase() == UpstreamPhase::Suspect ? 1 : 0;
    }
    RC_ASSERT(suspects <= 3u);
    if (const auto choice = selector.Pick(kAnySlot, {}, world.m_now)) {
      const auto* const state = selector.Find(choice->m_id);
      RC_ASSERT(!state->m_left);
      const auto current =
        std::find_if(world.m_list.begin(), world.m_list.end(), [&](const auto& aItem) {
          return aItem.m_id == choice->m_id;
        });
      RC_ASSERT(!left.contains({ choice->m_id, current->m_incarnation }));
    }
  }
}

// Guards against a wrong health endpoint emptying a service whose requests complete.
TEST(UpstreamSelector, OwnSuccessOutweighsProbesAndList)
{
  Fixture world(4);
  world.Activate();
  for (int round = 0; round < 10; ++round) {
    world.Finish("u0", DispatchResult::Completed);
    world.m_selector.ApplyProbe("u0", "1", ProbeResult::Unreachable, world.m_now);
    world.m_selector.ApplyList({}, world.m_now);
    world.m_now += 1s;
  }
  EXPECT_EQ(world.Phase("u0"), UpstreamPhase::Active);
  EXPECT_EQ(world.Phase("u1"), UpstreamPhase::Gone);
  world.m_now += 31s;
  world.Finish("u0", DispatchResult::Completed);
  world.m_selector.Advance(world.m_now);
  EXPECT_EQ(world.Phase("u0"), UpstreamPhase::Gone);
}

// Guards against a lagging list or probe that revives a leaving upstream.
TEST(UpstreamSelector, OnlyANewIncarnationClearsLeaving)
{
  Fixture world(2);
  world.Activate();
  world.m_selector.ApplyProbe("u0", "1", ProbeResult::Leaving, world.m_now);
  world.m_selector.ApplyProbe("u0", "1", ProbeResult::Active, world.m_now);
  world.Finish("u0", DispatchResult::Completed);
  world.m_selector.ApplyList({}, world.m_now + 10s);
  world.m_selector.ApplyList(world.m_list, world.m_now);
  EXPECT_EQ(world.Phase("u0"), UpstreamPhase::Leaving);
  const auto old = world.m_list;
  world.m_list[0].m_incarnation = "2";
  world.m_selector.ApplyList(world.m_list, world.m_now);
  EXPECT_EQ(world.Phase("u0"), UpstreamPhase::Joining);
  world.m_selector.ApplyList(old, world.m_now);
  world.m_selector.ApplyProbe("u0", "1", ProbeResult::Leaving, world.m_now);
  EXPECT_EQ(world.Phase("u0"), UpstreamPhase::Joining);
}

// Guards against an ejected upstream that never returns, and against its return at full load.
TEST(UpstreamSelector, EjectsAndRecoversSlowly)
{
  Fixture world(10);
  world.Activate();
  for (int i = 0; i < 3; ++i) {
    world.Finish("u0", DispatchResult::Failed);
  }
  EXPECT_EQ(world.Phase("u0"), UpstreamPhase::Suspect);
  EXPECT_EQ(world.Count(500)["u0"], 0);
  world.m_now += 5s;
  const int early = world.Count(2000)["u0"];
  EXPECT_EQ(world.Phase("u0"), UpstreamPhase::Warming);
  world.m_now += 60s;
  const int late = world.Count(2000)["u0"];
  EXPECT_GT(early, 0);
  EXPECT_LT(3 * early, late);
}

// Guards against a service without any selection while nothing has been observed, or while all
// upstreams look bad.
TEST(UpstreamSelector, ChoosesWithoutObservations)
{
  Fixture world(3);
  EXPECT_EQ(world.Count(300).size(), 3u);
  world.m_now += 1h;
  EXPECT_EQ(world.Count(300).size(), 3u);
  for (int i = 0; i < 9; ++i) {
    world.Finish("u" + std::to_string(i % 3), DispatchResult::Failed);
  }
  // One of three may be ejected; the others are used although they fail.
  const auto counts = world.Count(300);
  EXPECT_EQ(world.Phase("u0"), UpstreamPhase::Suspect);
  EXPECT_FALSE(counts.contains("u0"));
  EXPECT_EQ(std::accumulate(counts.begin(),
                            counts.end(),
                            0,
                            [](int aSum, const auto& aItem) { return aSum + aItem.second; }),
            300);
  Fixture single(1);
  for (int i = 0; i < 9; ++i) {
    single.Finish("u0", DispatchResult::Failed);
  }
  EXPECT_EQ(single.Count(10)["u0"], 10);
}

// Guards against a retry on the upstream that failed and against use of another VM's slots.
TEST(UpstreamSelector, ObeysExclusionsAndSlots)
{
  Fixture world(3);
  world.Activate();
  const std::vector<std::string> excluded{ "u0" };
  const auto onlyU1 = [](std::string_view aId) { return aId == "u1"; };
  for (int i = 0; i < 100; ++i) {
    EXPECT_NE(world.m_selector.Pick(kAnySlot, excluded, world.m_now)->m_id, "u0");
    EXPECT_EQ(world.m_selector.Pick(onlyU1, excluded, world.m_now)->m_id, "u1");
  }
  const std::vector<std::string> both{ "u0", "u1" };
  EXPECT_FALSE(world.m_selector.Pick(onlyU1, both, world.m_now));
}

// Guards against an upstream that refuses at once drawing the traffic by its low latency.
TEST(UpstreamSelector, FastFailuresAttractNoTraffic)
{
  Fixture world(10);
  world.Activate();
  for (int i = 0; i < 50; ++i) {
    for (int upstream = 1; upstream < 10; ++upstream) {
      world.Finish("u" + std::to_string(upstream), DispatchResult::Completed);
    }
    world.Finish("u0", DispatchResult::Rejected, 1ms);
    world.m_now += 100ms;
  }
  EXPECT_LT(world.Count(2000)["u0"], 50);
}

// Guards against penalties that grow without bound in a long outage and never fade again.
TEST(UpstreamSelector, LatencyRecoversFromALongOutage)
{
  Fixture world(2);
  world.Activate();
  for (int i = 0; i < 40'000; ++i) {
    world.Finish(i % 2 == 0 ? "u0" : "u1", DispatchResult::Failed, 1ms);
    world.m_now += 100ms;
  }
  for (int i = 0; i < 1000; ++i) {
    world.Finish(i % 2 == 0 ? "u0" : "u1", DispatchResult::Completed);
    world.m_now += 100ms;
  }
  EXPECT_NEAR(world.m_selector.Find("u0")->m_latency, 0.060, 0.001);
  EXPECT_NEAR(world.m_selector.Find("u1")->m_latency, 0.060, 0.001);
}

// Guards against slow upstreams and wrong or late load reports spoiling the latency. One seed of
// the simulation that the benchmark runs.
TEST(UpstreamSelector, MeetsItsLatencyGoals)
{
  DispatchScenario scenario;
  scenario.m_policy = DispatchPolicy::RoundRobin;
  const double roundRobin = Simulate(scenario).m_p99Ms;
  scenario.m_policy = DispatchPolicy::LeastConnections;
  const double leastConnections = Simulate(scenario).m_p99Ms;
  scenario.m_policy = DispatchPolicy::Selector;
  for (const auto reports : { LoadReports::None, LoadReports::Lagging, LoadReports::Wrong }) {
    scenario.m_reports = reports;
    const double p99 = Simulate(scenario).m_p99Ms;
    EXPECT_LE(p99, 0.5 * roundRobin);
    EXPECT_LE(p99, 1.1 * leastConnections);
  }
}

} // namespace
} // namespace jaylane::policy
