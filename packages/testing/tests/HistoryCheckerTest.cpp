#include "jaylane/testing/HistoryChecker.h"

#include <gtest/gtest.h>

namespace jaylane::testing {
namespace {

constexpr double kNowMillis = 1'000'000;

Json::Value CallerRecord(const char* aId,
                         const char* aKind,
                         const char* aOutcome,
                         const char* aIntegrity = "none")
{
  Json::Value record;
  record["id"] = aId;
  record["kind"] = aKind;
  record["outcome"] = aOutcome;
  record["integrity"] = aIntegrity;
  record["accepted"] = std::string(aOutcome) == "completed";
  return record;
}

Json::Value UpstreamRecord(const char* aEvent, double aTimeMillis)
{
  Json::Value record;
  record["event"] = aEvent;
  record["upstream"] = "u1";
  record["time_ms"] = aTimeMillis;
  return record;
}

Json::Value ExecutionRecord(const char* aId, const char* aKind, double aTimeMillis = kNowMillis)
{
  Json::Value record = UpstreamRecord("start", aTimeMillis);
  record["id"] = aId;
  record["kind"] = aKind;
  record["received_ms"] = aTimeMillis;
  record["service"] = "taller";
  record["origin"] = "salto";
  record["region"] = "montevideo";
  record["slots"] = 3;
  record["in_flight"] = 3;
  return record;
}

class HistoryCheckerTest : public ::testing::Test
{
protected:
  HistoryCheckerTest()
    : m_checker(Rules())
  {
  }

  static HistoryRules Rules()
  {
    auto rules = HistoryRules::Parse(
      R"({"leaving_limit_ms":2000,"legal_grace_ms":10,"legal":[{"service":"taller",)"
      R"("origin_region":"salto","allowed_regions":["salto"],"effective_at_ms":2000000}]})");
    EXPECT_TRUE(rules);
    return *rules;
  }

  /// Expects this violation and no other.
  void ExpectOnly(const char* aRule, const char* aSubject)
  {
    const auto violations = m_checker.Check();
    ASSERT_EQ(violations.size(), 1u);
    EXPECT_EQ(violations[0].m_rule, aRule);
    EXPECT_EQ(violations[0].m_subject, aSubject);
  }

  HistoryChecker m_checker;
};

// Guards against false violations: retries, repeated reads, lost and truncated responses that the
// caller noticed, requests within the limit after a leave signal or after a restart, and requests
// within the grace period of a legal rule.
TEST_F(HistoryCheckerTest, AcceptsCleanHistory)
{
  m_checker.AddCallerRecord(CallerRecord("order", "order", "not-run"));
  m_checker.AddCallerRecord(CallerRecord("order", "order", "completed", "whole"));
  m_checker.AddUpstreamRecord(ExecutionRecord("order", "order"));
  m_checker.AddCallerRecord(CallerRecord("read", "read", "unknown", "cut"));
  m_checker.AddCallerRecord(CallerRecord("read", "read", "completed", "whole"));
  m_checker.AddUpstreamRecord(ExecutionRecord("read", "read"));
  m_checker.AddUpstreamRecord(ExecutionRecord("read", "read"));
  m_checker.AddCallerRecord(CallerRecord("rejected", "order", "not-run"));
  m_checker.AddCallerRecord(CallerRecord("lost", "order", "unknown"));
  m_checker.AddUpstreamRecord(UpstreamRecord("leaving", kNowMillis));
  m_checker.AddUpstreamRecord(ExecutionRecord("soon", "read", kNowMillis + 1999));
  m_checker.AddUpstreamRecord(UpstreamRecord("started", kNowMillis + 5000));
  m_checker.AddUpstreamRecord(ExecutionRecord("restarted", "read", kNowMillis + 6000));
  m_checker.AddUpstreamRecord(ExecutionRecord("lawful", "read", 2'000'009));
  EXPECT_TRUE(m_checker.Check().empty());
  EXPECT_EQ(m_checker.Report()["executions"].asUInt(), 6u);
}

// Each of the tests below guards against a checker that misses the violation in its name.
TEST_F(HistoryCheckerTest, ExecutedTwice)
{
  m_checker.AddCallerRecord(CallerRecord("a", "order", "unknown"));
  m_checker.AddUpstreamRecord(ExecutionRecord("a", "order"));
  m_checker.AddUpstreamRecord(ExecutionRecord("a", "order"));
  ExpectOnly(HistoryChecker::kExecutedTwiceRule, "a");
}

TEST_F(HistoryCheckerTest, NotRunExecuted)
{
  m_checker.AddCallerRecord(CallerRecord("a", "read", "not-run"));
  m_checker.AddCallerRecord(CallerRecord("a", "read", "not-run"));
  m_checker.AddUpstreamRecord(ExecutionRecord("a", "read"));
  ExpectOnly(HistoryChecker::kNotRunExecutedRule, "a");
}

TEST_F(HistoryCheckerTest, CompletedNotExecuted)
{
  m_checker.AddCallerRecord(CallerRecord("a", "order", "completed", "whole"));
  ExpectOnly(HistoryChecker::kCompletedNotExecutedRule, "a");
}

TEST_F(HistoryCheckerTest, TruncatedResponseAccepted)
{
  m_checker.AddUpstreamRecord(ExecutionRecord("a", "read"));
  m_checker.AddCallerRecord(CallerRecord("a", "read", "completed", "cut"));
  ExpectOnly(HistoryChecker::kResponseNotOwnRule, "a");
}

TEST_F(HistoryCheckerTest, MixedResponseOfFailedTransfer)
{
  m_checker.AddUpstreamRecord(ExecutionRecord("a", "read"));
  m_checker.AddCallerRecord(CallerRecord("a", "read", "unknown", "mixed"));
  ExpectOnly(HistoryChecker::kResponseNotOwnRule, "a");
}

TEST_F(HistoryCheckerTest, RejectedRequestOverSlots)
{
  Json::Value over = ExecutionRecord("a", "read");
  over["event"] = "over";
  over["in_flight"] = 4;
  m_checker.AddUpstreamRecord(over);
  ExpectOnly(HistoryChecker::kOverSlotsRule, "u1");
}

TEST_F(HistoryCheckerTest, ExecutedRequestOverSlots)
{
  Json::Value start = ExecutionRecord("a", "read");
  start["in_flight"] = 4;
  m_checker.AddUpstreamRecord(start);
  ExpectOnly(HistoryChecker::kOverSlotsRule, "u1");
}

TEST_F(HistoryCheckerTest, WorkAfterLeaving)
{
  m_checker.AddUpstreamRecord(UpstreamRecord("leaving", kNowMillis));
  m_checker.AddUpstreamRecord(ExecutionRecord("a", "read", kNowMillis + 2001));
  ExpectOnly(HistoryChecker::kWorkAfterLeavingRule, "u1");
}

TEST_F(HistoryCheckerTest, ForbiddenRegion)
{
  m_checker.AddUpstreamRecord(ExecutionRecord("a", "read", 2'000'011));
  ExpectOnly(HistoryChecker::kForbiddenRegionRule, "a");
}

// Guards against malformed rules that are accepted and then check nothing.
TEST(HistoryRules, RejectsMalformedRules)
{
  EXPECT_TRUE(HistoryRules::Parse("{}"));
  EXPECT_FALSE(HistoryRules::Parse(R"({"leaving_limit_ms":"2"})"));
  EXPECT_FALSE(HistoryRules::Parse(R"({"legal":[{"service":"a"}]})"));
}

} // namespace
} // namespace jaylane::testing
