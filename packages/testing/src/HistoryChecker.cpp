#include "jaylane/testing/HistoryChecker.h"

#include "jaylane/testing/RecordFile.h"

#include <fmt/format.h>

namespace jaylane::testing {

Json::Value Violation::ToJson() const
{
  Json::Value json;
  json["rule"] = m_rule;
  json["subject"] = m_subject;
  json["detail"] = m_detail;
  return json;
}

HistoryChecker::HistoryChecker(HistoryRules aRules)
  : m_rules(std::move(aRules))
{
}

void HistoryChecker::AddViolation(const char* aRule,
                                  const std::string& aSubject,
                                  const std::string& aDetail)
{
  m_violations.push_back({ aRule, aSubject, aDetail });
}

void HistoryChecker::AddCallerRecord(const Json::Value& aRecord)
{
  const std::string id = aRecord["id"].asString();
  const std::string outcome = aRecord["outcome"].asString();
  const std::string integrity = aRecord["integrity"].asString();
  RequestHistory& request = m_requests[id];
  ++m_attempts;
  ++request.m_attempts;
  request.m_nonIdempotent = request.m_nonIdempotent || aRecord["kind"].asString() == "order";
  request.m_notRun += outcome == "not-run" ? 1 : 0;
  request.m_completed += outcome == "completed" ? 1 : 0;
  const bool acceptedIncomplete = aRecord["accepted"].asBool() && integrity != "whole";
  if (acceptedIncomplete || integrity == "mixed") {
    AddViolation(kResponseNotOwnRule, id, integrity + " response from " + aRecord["vm"].asString());
  }
}

void HistoryChecker::AddUpstreamRecord(const Json::Value& aRecord)
{
  const std::string event = aRecord["event"].asString();
  const std::string upstream = aRecord["upstream"].asString();
  if (event == "started") {
    m_leaveTimesMillis.erase(upstream);
  } else if (event == "leaving") {
    m_leaveTimesMillis.emplace(upstream, aRecord["time_ms"].asDouble());
  } else if (event == "start") {
    AddExecution(aRecord);
  }
  if ((event == "start" || event == "over") &&
      aRecord["in_flight"].asUInt() > aRecord["slots"].asUInt()) {
    AddViolation(kOverSlotsRule,
                 upstream,
                 fmt::format("{} of {} slots with {}",
                             aRecord["in_flight"].asUInt(),
                             aRecord["slots"].asUInt(),
                             aRecord["id"].asString()));
  }
}

void HistoryChecker::AddExecution(const Json::Value& aRecord)
{
  const std::string id = aRecord["id"].asString();
  const std::string upstream = aRecord["upstream"].asString();
  ++m_executions;
  RequestHistory& request = m_requests[id];
  ++request.m_executions;
  request.m_nonIdempotent = request.m_nonIdempotent || aRecord["kind"].asString() == "order";
  request.m_upstreams += (request.m_upstreams.empty() ? "" : ", ") + upstream;

  const auto leaving = m_leaveTimesMillis.find(upstream);
  if (leaving != m_leaveTimesMillis.end()) {
    const double elapsedMillis = aRecord["received_ms"].asDouble() - leaving->second;
    if (elapsedMillis > static_cast<double>(m_rules.m_leavingLimit.count())) {
      AddViolation(
        kWorkAfterLeavingRule, upstream, fmt::format("{} after {:.0f} ms", id, elapsedMillis));
    }
  }
  CheckLegalRules(aRecord);
}

void HistoryChecker::CheckLegalRules(const Json::Value& aRecord)
{
  const double received = aRecord["received_ms"].asDouble();
  const std::string region = aRecord["region"].asString();
  for (const LegalRule& rule : m_rules.m_legalRules) {
    const double enforcedFrom =
      rule.m_effectiveMillis + static_cast<double>(m_rules.m_legalGrace.count());
    if (rule.m_service == aRecord["service"].asString() &&
        rule.m_origin == aRecord["origin"].asString() && received > enforcedFrom &&
        rule.m_allowedRegions.count(region) == 0) {
      AddViolation(kForbiddenRegionRule, aRecord["id"].asString(), region);
    }
  }
}

base::Status HistoryChecker::AddCallerFile(const std::string& aPath)
{
  const auto records = RecordFile::Read(aPath);
  if (!records) {
    return records.GetError();
  }
  for (const Json::Value& record : *records) {
    AddCallerRecord(record);
  }
  return base::Success{};
}

base::Status HistoryChecker::AddUpstreamFile(const std::string& aPath)
{
  const auto records = RecordFile::Read(aPath);
  if (!records) {
    return records.GetError();
  }
  for (const Json::Value& record : *records) {
    AddUpstreamRecord(record);
  }
  return base::Success{};
}

std::vector<Violation> HistoryChecker::Check() const
{
  std::vector<Violation> violations = m_violations;
  for (const auto& [id, request] : m_requests) {
    if (request.m_nonIdempotent && request.m_executions > 1) {
      violations.push_back({ kExecutedTwiceRule, id, request.m_upstreams });
    }
    if (request.m_attempts > 0 && request.m_notRun == request.m_attempts &&
        request.m_executions > 0) {
      violations.push_back({ kNotRunExecutedRule, id, request.m_upstreams });
    }
    if (request.m_completed > 0 && request.m_executions == 0) {
      violations.push_back({ kCompletedNotExecutedRule, id, "" });
    }
  }
  return violations;
}

Json::Value HistoryChecker::Report() const
{
  Json::Value report;
  report["attempts"] = Json::UInt64{ m_attempts };
  report["requests"] = Json::UInt64{ m_requests.size() };
  report["executions"] = Json::UInt64{ m_executions };
  report["violations"] = Json::arrayValue;
  for (const Violation& violation : Check()) {
    report["violations"].append(violation.ToJson());
  }
  return report;
}

} // namespace jaylane::testing
