#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/testing/HistoryRules.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace jaylane::testing {

/// A broken guarantee.
struct Violation
{
  /// One of the k...Rule names of HistoryChecker.
  std::string m_rule;
  /// Request id or upstream.
  std::string m_subject;
  std::string m_detail;

  /// @return {"rule","subject","detail"}.
  Json::Value ToJson() const;
};

/// Compares what callers were told with what upstreams executed.
///
/// The records of a test must be complete: all callers have ended, and the files of all
/// upstreams are given.
class HistoryChecker
{
public:
  /// A non-idempotent request was executed more than once.
  static constexpr const char* kExecutedTwiceRule = "executed-twice";
  /// All attempts were reported as not-run, yet an upstream executed the request.
  static constexpr const char* kNotRunExecutedRule = "not-run-executed";
  /// Reported as completed, yet no upstream executed the request.
  static constexpr const char* kCompletedNotExecutedRule = "completed-not-executed";
  /// A response with bytes of another one, or an incomplete one taken as whole.
  static constexpr const char* kResponseRule = "response-not-own";
  /// More requests at an upstream than its slots.
  static constexpr const char* kSlotsRule = "over-slots";
  /// New work at an upstream too long after its leave signal.
  static constexpr const char* kLeavingRule = "work-after-leaving";
  /// Execution in a region that a legal rule in effect forbids.
  static constexpr const char* kLegalRule = "forbidden-region";

  explicit HistoryChecker(HistoryRules aRules);

  /// @param aRecord line of a CallerLoad record.
  void AddCallerRecord(const Json::Value& aRecord);

  /// @param aRecord line of an UpstreamStandIn record; those of one upstream in order.
  void AddUpstreamRecord(const Json::Value& aRecord);

  /// @param aPath file written by CallerLoad.
  base::Status AddCallerFile(const std::string& aPath);
  /// @param aPath file written by UpstreamStandIn.
  base::Status AddUpstreamFile(const std::string& aPath);

  /// @return all violations found.
  std::vector<Violation> Check() const;

  /// @return {"attempts","requests","executions","violations":[...]}.
  Json::Value Report() const;

private:
  struct Request
  {
    bool m_nonIdempotent = false;
    unsigned m_attempts = 0;
    unsigned m_notRun = 0;
    unsigned m_completed = 0;
    unsigned m_executions = 0;
    std::string m_upstreams;
  };

  void CheckStart(const Json::Value& aRecord);
  void CheckLegal(const Json::Value& aRecord);
  void Add(const char* aRule, const std::string& aSubject, const std::string& aDetail);

  const HistoryRules m_rules;
  std::map<std::string, Request> m_requests;
  /// Time of the leave signal of upstreams that have not been restarted since.
  std::map<std::string, double> m_leaving;
  std::vector<Violation> m_violations;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_executions = 0;
};

} // namespace jaylane::testing
