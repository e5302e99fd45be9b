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

class SelectorFixture
{
public:
  explicit SelectorFixture(std::size_t aCount, const UpstreamSelectorOptions& aOptions = {})
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

// The enums must list the states and events of charts/upstream.yaml in the same order.
TEST(UpstreamState, MatchesItsChart)
{
  const std::vector<std::string> states{ "joining", "warming", "active",
                                         "suspect", "leaving", "gone" };
  const std::vector<std::string> events{ "ready", "warmed", "fail", "recover",
                                         "leave", "vanish", "list" };
  EXPECT_EQ(UpstreamChart().Chart().States(), states);
  EXPECT_EQ(UpstreamChart().Chart().Events(), events);
}

// Applies VM lists (some of them outdated), probe results and request results in random order.
// No request may go to an upstream that is leaving, and failed probes and requests may eject at
// most three of ten upstreams.
RC_GTEST_PROP(UpstreamSelector, LeavingWinsAndMostUpstreamsStay, ())
{
  SelectorFixture fixture(10);
  auto& selector = fixture.m_selector;
  std::set<std::pair<std::string, std::string>> left;
  const auto byte = rc::gen::resize(rc::kNominalSize, rc::gen::inRange<int>(0, 256));
  const auto steps = *rc::gen::scale(
    10, rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(byte, byte)));
  for (const auto& [kind, which] : steps) {
    auto& listed = fixture.m_list[static_cast<std::size_t>(which) % 10];
    switch (kind % 8) {
      case 0:
        // A current list, in some cases with a new incarnation.
        listed.m_incarnation = std::to_string(std::stoi(listed.m_incarnation) + (which % 16 == 0));
        selector.ApplyList(fixture.m_list, fixture.m_now);
        break;
      case 1: {
        // An outdated list, in which the upstream is missing, leaving or an earlier incarnation.
        auto lagging = fixture.m_list;
        auto& old = lagging[static_cast<std::size_t>(which) % 10];
        old.m_incarnation = std::to_string(std::max(std::stoi(old.m_incarnation) - 1, 1));
        old.m_leaving = which % 8 == 0;
        if (which % 3 == 0) {
          std::erase_if(lagging, [&](const auto& aItem) { return aItem.m_id == listed.m_id; });
        }
        selector.ApplyList(lagging, fixture.m_now);
        if (which % 3 != 0 && old.m_leaving) {
          left.emplace(old.m_id, old.m_incarnation);
        }
        break;
      }
      case 2: {
        const auto result = which % 32 == 0 ? ProbeResult::Leaving : ProbeResult::Unreachable;
        selector.ApplyProbe(listed.m_id, listed.m_incarnation, result, fixture.m_now);
        // The probe result is ignored if the selector has another incarnation.
        const auto* const state = selector.Find(listed.m_id);
        if (result == ProbeResult::Leaving && state != nullptr && state->m_hasLeft) {
          left.emplace(listed.m_id, listed.m_incarnation);
        }
        break;
      }
      case 3:
        selector.ApplyProbe(listed.m_id, listed.m_incarnation, ProbeResult::Active, fixture.m_now);
        break;
      case 4:
        fixture.m_now += std::chrono::milliseconds{ which * 20 };
        break;
      default:
        if (selector.Find(listed.m_id) != nullptr) {
          fixture.Finish(listed.m_id,
                         which % 2 == 0 ? DispatchResult::Failed : DispatchResult::Completed);
        }
    }
    selector.ApplyList(fixture.m_list, fixture.m_now);
    std::size_t suspects = 0;
    for (const auto& state : selector.Upstreams()) {
      suspects += state.Phase() == UpstreamPhase::Suspect ? 1 : 0;
    }
    RC_ASSERT(suspects <= 3u);
    if (const auto choice = selector.Pick(kAnySlot, {}, fixture.m_now)) {
      const auto* const state = selector.Find(choice->m_id);
      RC_ASSERT(!state->m_hasLeft);
      const auto current =
        std::find_if(fixture.m_list.begin(), fixture.m_list.end(), [&](const auto& aItem) {
          return aItem.m_id == choice->m_id;
        });
      RC_ASSERT(!left.contains({ choice->m_id, current->m_incarnation }));
    }
  }
}

// A broken health endpoint or VM list must not take an upstream out of use that completes
// requests.
TEST(UpstreamSelector, OwnSuccessOutweighsProbesAndList)
{
  SelectorFixture fixture(4);
  fixture.Activate();
  for (int round = 0; round < 10; ++round) {
    fixture.Finish("u0", DispatchResult::Completed);
    fixture.m_selector.ApplyProbe("u0", "1", ProbeResult::Unreachable, fixture.m_now);
    fixture.m_selector.ApplyList({}, fixture.m_now);
    fixture.m_now += 1s;
  }
  EXPECT_EQ(fixture.Phase("u0"), UpstreamPhase::Active);
  EXPECT_EQ(fixture.Phase("u1"), UpstreamPhase::Gone);
  fixture.m_now += 31s;
  fixture.Finish("u0", DispatchResult::Completed);
  fixture.m_selector.Advance(fixture.m_now);
  EXPECT_EQ(fixture.Phase("u0"), UpstreamPhase::Gone);
}

// Once an upstream is leaving, an outdated list or probe must not make it usable again.
TEST(UpstreamSelector, OnlyANewIncarnationClearsLeaving)
{
  SelectorFixture fixture(2);
  fixture.Activate();
  fixture.m_selector.ApplyProbe("u0", "1", ProbeResult::Leaving, fixture.m_now);
  fixture.m_selector.ApplyProbe("u0", "1", ProbeResult::Active, fixture.m_now);
  fixture.Finish("u0", DispatchResult::Completed);
  fixture.m_selector.ApplyList({}, fixture.m_now + 10s);
  fixture.m_selector.ApplyList(fixture.m_list, fixture.m_now);
  EXPECT_EQ(fixture.Phase("u0"), UpstreamPhase::Leaving);
  const auto old = fixture.m_list;
  fixture.m_list[0].m_incarnation = "2";
  fixture.m_selector.ApplyList(fixture.m_list, fixture.m_now);
  EXPECT_EQ(fixture.Phase("u0"), UpstreamPhase::Joining);
  fixture.m_selector.ApplyList(old, fixture.m_now);
  fixture.m_selector.ApplyProbe("u0", "1", ProbeResult::Leaving, fixture.m_now);
  EXPECT_EQ(fixture.Phase("u0"), UpstreamPhase::Joining);
}

// An ejected upstream must come back, and its share must then grow slowly.
TEST(UpstreamSelector, EjectsAndRecoversSlowly)
{
  SelectorFixture fixture(10);
  fixture.Activate();
  for (int i = 0; i < 3; ++i) {
    fixture.Finish("u0", DispatchResult::Failed);
  }
  EXPECT_EQ(fixture.Phase("u0"), UpstreamPhase::Suspect);
  EXPECT_EQ(fixture.Count(500)["u0"], 0);
  fixture.m_now += 5s;
  const int early = fixture.Count(2000)["u0"];
  EXPECT_EQ(fixture.Phase("u0"), UpstreamPhase::Warming);
  fixture.m_now += 60s;
  const int late = fixture.Count(2000)["u0"];
  EXPECT_GT(early, 0);
  EXPECT_LT(3 * early, late);
}

// An upstream must be selected even before the first probe or request, and when all upstreams
// fail.
TEST(UpstreamSelector, ChoosesWithoutObservations)
{
  SelectorFixture fixture(3);
  EXPECT_EQ(fixture.Count(300).size(), 3u);
  fixture.m_now += 1h;
  EXPECT_EQ(fixture.Count(300).size(), 3u);
  for (int i = 0; i < 9; ++i) {
    fixture.Finish("u" + std::to_string(i % 3), DispatchResult::Failed);
  }
  // At most one of three may be ejected; the others are used although they fail.
  const auto counts = fixture.Count(300);
  EXPECT_EQ(fixture.Phase("u0"), UpstreamPhase::Suspect);
  EXPECT_FALSE(counts.contains("u0"));
  EXPECT_EQ(std::accumulate(counts.begin(),
                            counts.end(),
                            0,
                            [](int aSum, const auto& aItem) { return aSum + aItem.second; }),
            300);
  SelectorFixture single(1);
  for (int i = 0; i < 9; ++i) {
    single.Finish("u0", DispatchResult::Failed);
  }
  EXPECT_EQ(single.Count(10)["u0"], 10);
}

// A retry must not go to an upstream that was tried already, nor to one without a free slot for
// this VM.
TEST(UpstreamSelector, ObeysExclusionsAndSlots)
{
  SelectorFixture fixture(3);
  fixture.Activate();
  const std::vector<std::string> excluded{ "u0" };
  const auto onlyU1 = [](std::string_view aId) { return aId == "u1"; };
  for (int i = 0; i < 100; ++i) {
    EXPECT_NE(fixture.m_selector.Pick(kAnySlot, excluded, fixture.m_now)->m_id, "u0");
    EXPECT_EQ(fixture.m_selector.Pick(onlyU1, excluded, fixture.m_now)->m_id, "u1");
  }
  const std::vector<std::string> both{ "u0", "u1" };
  EXPECT_FALSE(fixture.m_selector.Pick(onlyU1, both, fixture.m_now));
}

// An upstream that rejects requests quickly must not attract traffic by its low latency.
TEST(UpstreamSelector, FastFailuresAttractNoTraffic)
{
  SelectorFixture fixture(10);
  fixture.Activate();
  for (int i = 0; i < 50; ++i) {
    for (int upstream = 1; upstream < 10; ++upstream) {
      fixture.Finish("u" + std::to_string(upstream), DispatchResult::Completed);
    }
    fixture.Finish("u0", DispatchResult::Rejected, 1ms);
    fixture.m_now += 100ms;
  }
  EXPECT_LT(fixture.Count(2000)["u0"], 50);
}

// Failure penalties must not accumulate without bound during a long outage: the latencies must
// return to their true values afterwards.
TEST(UpstreamSelector, LatencyRecoversFromALongOutage)
{
  SelectorFixture fixture(2);
  fixture.Activate();
  for (int i = 0; i < 40'000; ++i) {
    fixture.Finish(i % 2 == 0 ? "u0" : "u1", DispatchResult::Failed, 1ms);
    fixture.m_now += 100ms;
  }
  for (int i = 0; i < 1000; ++i) {
    fixture.Finish(i % 2 == 0 ? "u0" : "u1", DispatchResult::Completed);
    fixture.m_now += 100ms;
  }
  EXPECT_NEAR(fixture.m_selector.Find("u0")->m_latency, 0.060, 0.001);
  EXPECT_NEAR(fixture.m_selector.Find("u1")->m_latency, 0.060, 0.001);
}

// With slow upstreams, the 99th percentile of latency must be at most half of that of round robin
// and at most 10% above that of ideal least connections, also if load reports are missing, late or
// wrong. Runs one seed of the simulation of the benchmark.
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
