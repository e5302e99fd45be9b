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

// Guards against reporting not-run for a request that may have been executed (G4): only results
// that prove otherwise may be reported so.
TEST(AttemptRules, OnlyProvenAttemptsAreNotRun)
{
  for (const AttemptResult result : { AttemptResult::ConnectionLost,
                                      AttemptResult::TimedOut,
                                      AttemptResult::InvalidResponse,
                                      AttemptResult::Truncated,
                                      AttemptResult::CallerGone }) {
    EXPECT_FALSE(IsProvenNotRun(result)) << proxy::AttemptResultName(result);
    EXPECT_EQ(ToRequestResult(MakeOutcome(result), true).m_outcome, Outcome::Unknown);
  }
  for (const AttemptResult result : { AttemptResult::NotSent, AttemptResult::Rejected }) {
    EXPECT_TRUE(IsProvenNotRun(result)) << proxy::AttemptResultName(result);
    EXPECT_EQ(ToRequestResult(MakeOutcome(result), false).m_outcome, Outcome::NotRun);
    // An earlier attempt may have executed the request.
    EXPECT_EQ(ToRequestResult(MakeOutcome(result), true).m_outcome, Outcome::Unknown);
  }
  EXPECT_EQ(ToRequestResult(MakeOutcome(AttemptResult::Completed), true).m_outcome,
            Outcome::Completed);
}

// Guards against cancelled attempts that count as failures and eject a healthy upstream, and
// against failures that are not counted.
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
