#include "AttemptRules.h"

#include <gtest/gtest.h>

namespace jaylane::entry {
namespace {

using proxy::AttemptResult;

proxy::AttemptOutcome MakeOutcome(AttemptResult aResult)
{
  proxy::AttemptOutcome outcome;
  outcome.m_result = aResult;
  outcome.m_status = 200;
  return outcome;
}

// Guards against a false not-run (G4): only attempts that prove it may be reported so.
TEST(AttemptRules, OnlyProvenAttemptsAreNotRun)
{
  for (const AttemptResult result : { AttemptResult::ConnectionLost,
                                      AttemptResult::TimedOut,
                                      AttemptResult::InvalidResponse,
                                      AttemptResult::Truncated,
                                      AttemptResult::CallerGone }) {
    EXPECT_FALSE(ProvenNotRun(result)) << proxy::AttemptResultName(result);
    EXPECT_EQ(ResultOf(MakeOutcome(result), true).m_outcome, Outcome::Unknown);
  }
  for (const AttemptResult result : { AttemptResult::NotSent, AttemptResult::Rejected }) {
    EXPECT_TRUE(ProvenNotRun(result)) << proxy::AttemptResultName(result);
    EXPECT_EQ(ResultOf(MakeOutcome(result), false).m_outcome, Outcome::NotRun);
    // An earlier attempt may have run.
    EXPECT_EQ(ResultOf(MakeOutcome(result), true).m_outcome, Outcome::Unknown);
  }
  EXPECT_EQ(ResultOf(MakeOutcome(AttemptResult::Completed), true).m_outcome, Outcome::Completed);
}

// Guards against cancelled attempts that eject a healthy upstream, and against failures that do
// not.
TEST(AttemptRules, OnlyFailuresCountAgainstTheUpstream)
{
  EXPECT_EQ(ToDispatchResult(MakeOutcome(AttemptResult::NotSent)),
            policy::DispatchResult::Cancelled);
  auto refused = MakeOutcome(AttemptResult::NotSent);
  refused.m_connectFailed = true;
  EXPECT_EQ(ToDispatchResult(refused), policy::DispatchResult::Failed);
  EXPECT_EQ(ToDispatchResult(MakeOutcome(AttemptResult::CallerGone)),
            policy::DispatchResult::Cancelled);
  EXPECT_EQ(ToDispatchResult(MakeOutcome(AttemptResult::Rejected)),
            policy::DispatchResult::Rejected);
  EXPECT_EQ(ToDispatchResult(MakeOutcome(AttemptResult::Truncated)),
            policy::DispatchResult::Failed);
}

} // namespace
} // namespace jaylane::entry
