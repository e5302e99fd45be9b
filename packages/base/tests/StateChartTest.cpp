#include "jaylane/base/BoundChart.h"
#include "jaylane/base/Charts.h"

#include <gtest/gtest.h>

namespace jaylane::base {
namespace {

constexpr const char* kChartHead = "chart: c\ninitial: a\nevents: [go, back]\nstates:\n";

// Guards against errors in a chart that are found only when a state is entered in production.
TEST(StateChart, ReportsErrorsWithTheirLine)
{
  struct Case
  {
    const char* m_states;
    const char* m_line;
    const char* m_text;
  };
  const Case cases[] = {
    { "  a:\n    - { on: go, to: a }\n  b: []\n", "c:7:", "unreachable state b" },
    { "  a:\n    - { on: go, to: x }\n", "c:6:", "undefined target x" },
    { "  a:\n    - { on: stop, to: a }\n", "c:6:", "undefined event stop" },
    { "  a:\n    - { on: go, to: a }\n    - { on: go, to: a }\n", "c:7:", "duplicate transition" },
    { "  a:\n    - { on: go, to: a, if: g }\n    - { on: go, to: a, if: g }\n",
      "c:7:",
      "duplicate transition" },
    { "  a:\n    - { on: go, to: a }\n    - { on: go, to: a, if: g }\n",
      "c:7:",
      "duplicate transition" },
    { "  a:\n    - { on: go, to: a, when: g }\n", "c:6:", "unknown key when" },
    { "  a:\n    - { on: go, to: a, to: a }\n", "c:6:", "duplicate key to" },
    { "  a: []\n  a: []\n", "c:6:", "duplicate state a" },
    { "  a: []\nextra: 1\n", "c:6:", "unknown key extra" },
    { "  a:\n    - { on: go }\n", "c:6:", "missing key to" },
    { "  b: []\n", "c:2:", "undefined initial state a" },
    { "  a: [\n", "c:", "" },
  };
  for (const Case& invalid : cases) {
    const auto chart = StateChart::Parse(std::string(kChartHead) + invalid.m_states, "c");
    ASSERT_FALSE(chart) << invalid.m_states;
    const auto message = chart.GetError().Message();
    EXPECT_NE(message.find(invalid.m_line), std::string::npos) << message;
    EXPECT_NE(message.find(invalid.m_text), std::string::npos) << message;
  }
}

struct Machine
{
  bool m_open = false;
  std::string m_trace;
};

ChartHooks<Machine> MakeHooks()
{
  return { { { "open", [](const Machine& aMachine) { return aMachine.m_open; } } },
           { { "x", [](Machine& aMachine) { aMachine.m_trace += 'x'; } },
             { "y", [](Machine& aMachine) { aMachine.m_trace += 'y'; } } } };
}

// Guards against a wrong choice among guarded transitions and a wrong order of actions.
TEST(BoundChart, TakesTheFirstTransitionWhoseGuardHolds)
{
  const auto chart = StateChart::Parse(std::string(kChartHead) +
                                         "  a:\n    - { on: go, to: b, if: open, do: [y, x] }\n"
                                         "    - { on: go, to: a, do: [x] }\n  b: []\n",
                                       "c");
  ASSERT_TRUE(chart) << chart.GetError().Message();
  const auto bound = BoundChart<Machine>::Make(*chart, MakeHooks());
  ASSERT_TRUE(bound);
  Machine machine;
  StateId state = chart->Initial();
  EXPECT_FALSE(bound->Fire(state, *chart->FindEvent("back"), machine));
  EXPECT_TRUE(bound->Fire(state, *chart->FindEvent("go"), machine));
  EXPECT_EQ(chart->StateName(state), "a");
  machine.m_open = true;
  EXPECT_TRUE(bound->Fire(state, *chart->FindEvent("go"), machine));
  EXPECT_EQ(chart->StateName(state), "b");
  EXPECT_EQ(machine.m_trace, "xyx");
}

// Guards against a misspelt name of a guard or action, which would then never be called.
TEST(BoundChart, RefusesMissingAndUnusedHooks)
{
  const auto chart =
    StateChart::Parse(std::string(kChartHead) + "  a:\n    - { on: go, to: a, do: [x, y] }\n", "c");
  ASSERT_TRUE(chart);
  EXPECT_FALSE(BoundChart<Machine>::Make(*chart, MakeHooks()));
  auto hooks = MakeHooks();
  hooks.m_guards.clear();
  EXPECT_TRUE(BoundChart<Machine>::Make(*chart, hooks));
  hooks.m_actions.erase("y");
  EXPECT_FALSE(BoundChart<Machine>::Make(*chart, hooks));
}

// Guards against an invalid chart embedded in the daemon.
TEST(Charts, AllLoad)
{
  const std::pair<const char*, std::string_view> texts[] = { { "entry-vm", charts::EntryVm() },
                                                             { "upstream", charts::Upstream() },
                                                             { "shift", charts::Shift() },
                                                             { "lease", charts::Lease() } };
  for (const auto& [name, text] : texts) {
    const auto chart = StateChart::Parse(text, name);
    ASSERT_TRUE(chart) << chart.GetError().Message();
    EXPECT_EQ(chart->Name(), name);
  }
}

// Guards against a missing file that is read as an empty chart.
TEST(StateChart, RefusesAMissingFile)
{
  const auto chart = StateChart::Load("/nonexistent/chart.yaml");
  ASSERT_FALSE(chart);
  EXPECT_EQ(chart.GetError().m_code, BaseErrc::InvalidStateChart);
}

} // namespace
} // namespace jaylane::base
