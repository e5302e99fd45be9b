#include "ShiftStateMachine.h"

#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

using policy::PlanState;

class ShiftStateMachineTest : public testing::Test
{
protected:
  bool Plan(PlanState aState, PublishResult aResult = PublishResult::Published)
  {
    return m_machine.OnPlan(aState,
                            { [&] {
                               ++m_published;
                               return aResult;
                             },
                              [&] { ++m_reloaded; } });
  }

  ShiftStateMachine m_machine;
  int m_published = 0;
  int m_reloaded = 0;
};

// Guards against steps that are published although the planner did not allow them.
TEST_F(ShiftStateMachineTest, OnlyAnAllowedStepIsPublished)
{
  for (const PlanState state : { PlanState::Settled,
                                 PlanState::StepPending,
                                 PlanState::CapReached,
                                 PlanState::NoCapacity,
                                 PlanState::TooHeavy }) {
    EXPECT_FALSE(Plan(state));
  }
  EXPECT_EQ(m_published, 0);
  EXPECT_TRUE(Plan(PlanState::Step));
  EXPECT_EQ(m_published, 1);
  EXPECT_EQ(m_machine.StateName(), "waiting");
  EXPECT_FALSE(Plan(PlanState::StepPending));
  EXPECT_EQ(m_machine.StateName(), "waiting");
  EXPECT_TRUE(Plan(PlanState::Step));
  EXPECT_FALSE(Plan(PlanState::Settled));
  EXPECT_EQ(m_machine.StateName(), "settled");
}

// Guards against a shift that does not continue after a conflict with another planner or an outage
// of the store.
TEST_F(ShiftStateMachineTest, GoesOnAfterConflictsAndOutages)
{
  EXPECT_FALSE(Plan(PlanState::Step, PublishResult::Conflict));
  EXPECT_EQ(m_machine.StateName(), "planning");
  EXPECT_EQ(m_reloaded, 1);
  EXPECT_FALSE(Plan(PlanState::Step, PublishResult::StoreFailed));
  EXPECT_EQ(m_machine.StateName(), "paused");
  EXPECT_TRUE(Plan(PlanState::Step));
  EXPECT_FALSE(Plan(PlanState::NoCapacity));
  EXPECT_EQ(m_machine.StateName(), "paused");
  EXPECT_FALSE(Plan(PlanState::Settled));
  EXPECT_EQ(m_machine.StateName(), "settled");
}

} // namespace
} // namespace jaylane::entry
