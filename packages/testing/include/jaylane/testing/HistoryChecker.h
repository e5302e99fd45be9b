#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/testing/HistoryRules.h"

#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace jaylane::testing {

/// A violation of one of the rules that the history is checked against.
struct Violation
{
  /// One of the k...Rule names of HistoryChecker.
  std::string m_rule;
  /// Id of the request or of the upstream.
  std::string m_subject;
  std::string m_detail;

  /// @return {"rule","subject","detail"}.
  Json::Value ToJson() const;
};

/// Compares the outcomes that callers received with the requests that upstreams executed.
///
/// The records must be complete: all callers have ended, and the record files of all upstreams
/// have been added.
class HistoryChecker
{
public:
  /// A non-idempotent request was executed more than once.
  static constexpr const char* kExecutedTwiceRule = "executed-twice";
  /// All attempts were reported as not-run, but an upstream executed the request.
  static constexpr const char* kNotRunExecutedRule = "not-run-executed";
  /// An attempt was reported as completed, but no upstream executed the request.
  static constexpr const char* kCompletedNotExecutedRule = "completed-not-executed";
  /// A response contained bytes of another one, or was accepted although it was truncated.
  static constexpr const char* kResponseNotOwnRule = "response-not-own";
  /// An upstream received more concurrent requests than it has slots.
  static constexpr const char* kOverSlotsRule = "over-slots";
  /// An upstream received a request later than HistoryRules::m_leavingLimit after its leave signal.
  static constexpr const char* kWorkAfterLeavingRule = "work-after-leaving";
  /// A request was executed in a region that a legal rule in effect forbids.
  static constexpr const char* kForbiddenRegionRule = "forbidden-region";

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
  /// Counts over all attempts and executions of a request.
  struct RequestHistory
  {
    bool m_nonIdempotent = false;
    unsigned m_attempts = 0;
    unsigned m_notRun = 0;
    unsigned m_completed = 0;
    unsigned m_executions = 0;
    /// Upstreams of the executions, separated by commas.
    std::string m_upstreams;
  };

  void AddExecution(const Json::Value& aRecord);
  void CheckLegalRules(const Json::Value& aRecord);
  void AddViolation(const char* aRule, const std::string& aSubject, const std::string& aDetail);

  const HistoryRules m_rules;
  std::map<std::string, RequestHistory> m_requests;
  /// Time of the leave signal, in milliseconds since the epoch, of each upstream that has not been
  /// restarted since.
  std::map<std::string, double> m_leaveTimesMillis;
  std::vector<Violation> m_violations;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_executions = 0;
};

} // namespace jaylane::testing
