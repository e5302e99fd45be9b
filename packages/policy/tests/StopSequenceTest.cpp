#include "jaylane/policy/StopSequence.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

using namespace std::chrono_literals;
using Step = StopSequence::Step;

// Guards against a step that is skipped or late: requests that are read close to the end of the
// grace time would be cut without a response.
TEST(StopSequenceTest, TheStepsFollowTheGraceTime)
{
  const base::MonotonicTime start = base::MonotonicTime{} + 1h;
  const StopSequence stop(6000ms, start);
  EXPECT_EQ(stop.StepAt(start), Step::Drain);
  EXPECT_EQ(stop.StepAt(start + 2999ms), Step::Drain);
  EXPECT_EQ(stop.StepAt(start + 3000ms), Step::Reject);
  EXPECT_EQ(stop.StepAt(start + 3299ms), Step::Reject);
  EXPECT_EQ(stop.StepAt(start + 3300ms), Step::CloseIdle);
  EXPECT_EQ(stop.StepAt(start + 5399ms), Step::CloseIdle);
  EXPECT_EQ(stop.StepAt(start + 5400ms), Step::Exit);
  EXPECT_EQ(stop.ExitAt(), start + 5400ms);
}

} // namespace
} // namespace jaylane::policy
