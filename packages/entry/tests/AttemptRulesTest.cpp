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
  EXPECT_EQ(ToOwnResult(MakeOutcome(AttemptResult::NotSent)), policy::OwnResult::Cancelled);
  auto refused = MakeOutcome(AttemptResult::NotSent);
  refused.m_connectFailed = true;
  EXPECT_EQ(ToOwnResult(refused), policy::OwnResult::Failed);
  EXPECT_EQ(ToOwnResult(MakeOutcome(AttemptResult::CallerGone)), policy::OwnResult::Cancelled);
  EXPECT_EQ(ToOwnResult(MakeOutcome(AttemptResult::Rejected)), policy::OwnResult::Refused);
  EXPECT_EQ(ToOwnResult(MakeOutcome(AttemptResult::Truncated)), policy::OwnResult::Failed);
}

} // namespace
} // namespace jaylane::entry
