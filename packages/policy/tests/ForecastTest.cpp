#include "jaylane/policy/Forecast.h"

#include "ShiftSimulation.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using testing::kStart;
using testing::MakeInput;
using testing::MakeTable;

LegalFilter MakeRuleFilter(std::chrono::seconds aNotice)
{
  return LegalFilter("tables-svc", { { "law", "", "r0", { "r1" }, kStart + aNotice } }, 2s);
}

// Guards against a forecast that differs from what the planner then does.
TEST(Forecast, MatchesThePlanner)
{
  auto input = MakeInput(3, 1, 600, 400);
  auto table = MakeTable(input, 1);
  input.m_legal = MakeRuleFilter(3600s);
  const auto forecast = MakeForecast(table, input, kStart);
  ASSERT_TRUE(forecast);
  EXPECT_EQ(forecast->m_finalState, PlanState::Settled);
  EXPECT_GT(forecast->m_steps.size(), 10U);
  auto seenAt = kStart;
  for (const auto& step : forecast->m_steps) {
    const auto plan = ShiftPlanner::PlanStep(table, seenAt, input, step.m_at);
    ASSERT_EQ(plan->m_state, PlanState::Step);
    EXPECT_DOUBLE_EQ(plan->m_movedShare, step.m_movedShare);
    table = plan->m_table;
    seenAt = step.m_at;
  }
  EXPECT_EQ(ShiftPlanner::PlanStep(table, seenAt, input, forecast->m_endAt + 100s)->m_state,
            PlanState::Settled);
}

// Guards against a forecast that hides the load which a rule at short notice will refuse.
TEST(Forecast, ShowsLoadRefusedByShortNotice)
{
  auto input = MakeInput(3, 1, 600, 400);
  const auto table = MakeTable(input, 1);
  const auto outside = 1 - testing::ShareWhere(table, input.m_load, [](const SiteId& aSite) {
                         return aSite.m_region == "r1";
                       });
  input.m_legal = MakeRuleFilter(7200s);
  const auto inTime = MakeForecast(table, input, kStart);
  ASSERT_EQ(inTime->m_rules.size(), 1U);
  EXPECT_EQ(inTime->m_rules[0].m_refusedShare, 0);
  EXPECT_LT(inTime->m_endAt, kStart + 7200s);
  input.m_legal = MakeRuleFilter(300s);
  const auto tooLate = MakeForecast(table, input, kStart);
  ASSERT_EQ(tooLate->m_rules.size(), 1U);
  EXPECT_EQ(tooLate->m_rules[0].m_ruleId, "law");
  // Five windows of 5% fit into 300 s, less the allowance for clock differences.
  EXPECT_NEAR(tooLate->m_rules[0].m_refusedShare, outside - 0.24, 0.03);
  EXPECT_GT(tooLate->m_endAt, kStart + 300s);
}

// Guards against a forecast that looks feasible although no allowed site has enough capacity.
TEST(Forecast, ShowsMissingCapacityAndPeaks)
{
  auto input = MakeInput(3, 1, 600, 150);
  const auto table = MakeTable(input, 1);
  input.m_legal = MakeRuleFilter(600s);
  input.m_topology.m_linkLimits.push_back({ "r0", "r1", 280 });
  const auto forecast = MakeForecast(table, input, kStart);
  EXPECT_EQ(forecast->m_finalState, PlanState::NoCapacity);
  EXPECT_GT(forecast->m_rules[0].m_refusedShare, 0.5);
  EXPECT_NEAR(forecast->m_peak.m_regions.at("r1"), 280 * 0.9 / 300, 0.01);
  EXPECT_NEAR((forecast->m_peak.m_links.at({ "r0", "r1" })), 0.9, 0.01);
  EXPECT_LE((forecast->m_peak.m_sites.at({ "r1", "a" })), 0.9 + 1e-9);
}

// Guards against a forecast that never ends because nothing may move.
TEST(Forecast, EndsWithoutProgress)
{
  auto input = MakeInput(3, 1, 600, 400);
  const auto table = MakeTable(input, 1);
  input.m_legal = MakeRuleFilter(600s);
  input.m_limits.m_plannedCap = 0;
  const auto forecast = MakeForecast(table, input, kStart, 50);
  ASSERT_TRUE(forecast);
  EXPECT_TRUE(forecast->m_steps.empty());
  EXPECT_NE(forecast->m_finalState, PlanState::Settled);
}

} // namespace
} // namespace jaylane::policy
