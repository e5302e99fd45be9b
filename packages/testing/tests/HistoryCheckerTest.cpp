#include "jaylane/testing/HistoryChecker.h"

#include <gtest/gtest.h>

namespace jaylane::testing {
namespace {

constexpr double kNow = 1'000'000;

Json::Value Told(const char* aId,
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

Json::Value Event(const char* aEvent, double aTime)
{
  Json::Value record;
  record["event"] = aEvent;
  record["upstream"] = "u1";
  record["time_ms"] = aTime;
  return record;
}

Json::Value Ran(const char* aId, const char* aKind, double aTime = kNow)
{
  Json::Value record = Event("start", aTime);
  record["id"] = aId;
  record["kind"] = aKind;
  record["received_ms"] = aTime;
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

  /// Expects exactly this violation.
  void ExpectOnly(const char* aRule, const char* aSubject)
  {
    const auto violations = m_checker.Check();
    ASSERT_EQ(violations.size(), 1u);
    EXPECT_EQ(violations[0].m_rule, aRule);
    EXPECT_EQ(violations[0].m_subject, aSubject);
  }

  HistoryChecker m_checker;
};

// Guards against false alarms: retries, repeated reads, lost and cut responses that were
// noticed, work that ended after a leave signal, and work just before a legal rule.
TEST_F(HistoryCheckerTest, AcceptsCleanHistory)
{
  m_checker.AddCallerRecord(Told("order", "order", "not-run"));
  m_checker.AddCallerRecord(Told("order", "order", "completed", "whole"));
  m_checker.AddUpstreamRecord(Ran("order", "order"));
  m_checker.AddCallerRecord(Told("read", "read", "unknown", "cut"));
  m_checker.AddCallerRecord(Told("read", "read", "completed", "whole"));
  m_checker.AddUpstreamRecord(Ran("read", "read"));
  m_checker.AddUpstreamRecord(Ran("read", "read"));
  m_checker.AddCallerRecord(Told("rejected", "order", "not-run"));
  m_checker.AddCallerRecord(Told("lost", "order", "unknown"));
  m_checker.AddUpstreamRecord(Event("leaving", kNow));
  m_checker.AddUpstreamRecord(Ran("soon", "read", kNow + 1999));
  m_checker.AddUpstreamRecord(Event("started", kNow + 5000));
  m_checker.AddUpstreamRecord(Ran("restarted", "read", kNow + 6000));
  m_checker.AddUpstreamRecord(Ran("lawful", "read", 2'000'009));
  EXPECT_TRUE(m_checker.Check().empty());
  EXPECT_EQ(m_checker.Report()["executions"].asUInt(), 6u);
}

// The tests below guard against a checker that misses the violation that each one names.
TEST_F(HistoryCheckerTest, ExecutedTwice)
{
  m_checker.AddCallerRecord(Told("a", "order", "unknown"));
  m_checker.AddUpstreamRecord(Ran("a", "order"));
  m_checker.AddUpstreamRecord(Ran("a", "order"));
  ExpectOnly(HistoryChecker::kExecutedTwiceRule, "a");
}

TEST_F(HistoryCheckerTest, NotRunExecuted)
{
  m_checker.AddCallerRecord(Told("a", "read", "not-run"));
  m_checker.AddCallerRecord(Told("a", "read", "not-run"));
  m_checker.AddUpstreamRecord(Ran("a", "read"));
  ExpectOnly(HistoryChecker::kNotRunExecutedRule, "a");
}

TEST_F(HistoryCheckerTest, CompletedNotExecuted)
{
  m_checker.AddCallerRecord(Told("a", "order", "completed", "whole"));
  ExpectOnly(HistoryChecker::kCompletedNotExecutedRule, "a");
}

TEST_F(HistoryCheckerTest, CutTakenAsWhole)
{
  m_checker.AddUpstreamRecord(Ran("a", "read"));
  m_checker.AddCallerRecord(Told("a", "read", "completed", "cut"));
  ExpectOnly(HistoryChecker::kResponseRule, "a");
}

TEST_F(HistoryCheckerTest, MixedEvenIfTheTransferFailed)
{
  m_checker.AddUpstreamRecord(Ran("a", "read"));
  m_checker.AddCallerRecord(Told("a", "read", "unknown", "mixed"));
  ExpectOnly(HistoryChecker::kResponseRule, "a");
}

TEST_F(HistoryCheckerTest, OverSlots)
{
  Json::Value over = Ran("a", "read");
  over["event"] = "over";
  over["in_flight"] = 4;
  m_checker.AddUpstreamRecord(over);
  ExpectOnly(HistoryChecker::kSlotsRule, "u1");
}

TEST_F(HistoryCheckerTest, OverSlotsWhileExecuting)
{
  Json::Value start = Ran("a", "read");
  start["in_flight"] = 4;
  m_checker.AddUpstreamRecord(start);
  ExpectOnly(HistoryChecker::kSlotsRule, "u1");
}

TEST_F(HistoryCheckerTest, WorkAfterLeaving)
{
  m_checker.AddUpstreamRecord(Event("leaving", kNow));
  m_checker.AddUpstreamRecord(Ran("a", "read", kNow + 2001));
  ExpectOnly(HistoryChecker::kLeavingRule, "u1");
}

TEST_F(HistoryCheckerTest, ForbiddenRegion)
{
  m_checker.AddUpstreamRecord(Ran("a", "read", 2'000'011));
  ExpectOnly(HistoryChecker::kLegalRule, "a");
}

// Guards against misspelt rules that check nothing.
TEST(HistoryRules, RejectsMalformedRules)
{
  EXPECT_TRUE(HistoryRules::Parse("{}"));
  EXPECT_FALSE(HistoryRules::Parse(R"({"leaving_limit_ms":"2"})"));
  EXPECT_FALSE(HistoryRules::Parse(R"({"legal":[{"service":"a"}]})"));
}

} // namespace
} // namespace jaylane::testing
