#include "jaylane/ctl/EditSubmitter.h"

#include <fmt/format.h>

namespace jaylane::ctl {

namespace {

/// Each VM is tried this often, so that one lost response does not leave the outcome open.
constexpr int kRounds = 2;

/// How an attempt ended.
enum class Attempt
{
  Accepted,
  Rejected,
  /// This attempt had no effect; another VM may do better.
  NoEffect,
  MaybeEffect,
};

Attempt Classify(const AdminReply& aReply)
{
  if (aReply.m_delivery == Delivery::NotSent) {
    return Attempt::NoEffect;
  }
  if (aReply.m_delivery == Delivery::Lost) {
    return Attempt::MaybeEffect;
  }
  if (aReply.m_status == 200) {
    return Attempt::Accepted;
  }
  const std::string code = aReply.ErrorCode();
  if (code == "store-unavailable") {
    return Attempt::NoEffect;
  }
  const bool rejected = aReply.m_status >= 400 && aReply.m_status < 500 && !code.empty();
  return rejected ? Attempt::Rejected : Attempt::MaybeEffect;
}

/// @return whether the rejection also excludes an earlier attempt with the same id: only a
/// conflict is permanent, since the key stays changed.
bool SettlesEarlierAttempts(const AdminReply& aReply)
{
  return aReply.ErrorCode() == "conflict";
}

void TakeAccepted(const Json::Value& aBody, EditReport& aReport)
{
  aReport.m_outcome = EditOutcome::Accepted;
  aReport.m_problem.clear();
  if (aBody["generation"].isUInt64()) {
    aReport.m_generation = aBody["generation"].asUInt64();
  }
  aReport.m_warnings = aBody["warnings"];
}

} // namespace

EditReport EditSubmitter::Submit(const std::string& aPath, const Json::Value& aBody)
{
  EditReport report;
  report.m_id = aBody["id"].asString();
  report.m_baseGeneration = aBody["base_generation"].asUInt64();
  report.m_problem = "no VM is named; use --vms";
  bool maybe = false;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& vm : m_fleet.Vms()) {
      const AdminReply reply = m_fleet.Client().Send(vm, { "POST", aPath, aBody });
      const Attempt attempt = Classify(reply);
      if (attempt == Attempt::Accepted) {
        TakeAccepted(reply.m_body, report);
        return report;
      }
      report.m_problem = vm + ": " + reply.Explain();
      maybe = maybe || attempt == Attempt::MaybeEffect;
      if (attempt != Attempt::Rejected) {
        continue;
      }
      if (maybe && !SettlesEarlierAttempts(reply)) {
        return ReadBack(report.m_id, report.m_baseGeneration);
      }
      report.m_outcome = EditOutcome::Rejected;
      report.m_error = reply.m_body["error"];
      return report;
    }
  }
  return maybe ? ReadBack(report.m_id, report.m_baseGeneration) : report;
}

EditReport EditSubmitter::ReadBack(const std::string& aId, std::uint64_t aBaseGeneration)
{
  EditReport report;
  report.m_id = aId;
  report.m_baseGeneration = aBaseGeneration;
  report.m_outcome = EditOutcome::Unknown;
  const AdminReply reply =
    m_fleet.Get(fmt::format("/v1/edits/{}?base_generation={}", aId, aBaseGeneration));
  if (!reply.Succeeded() || !reply.m_body["outcome"].isString()) {
    report.m_problem = "reading back failed: " + reply.Explain();
    return report;
  }
  const std::string outcome = reply.m_body["outcome"].asString();
  if (outcome == "accepted") {
    TakeAccepted(reply.m_body, report);
  } else if (outcome == "not-accepted") {
    report.m_problem = "reading back: not accepted so far, but an attempt may still be under way";
  } else {
    report.m_problem = "reading back: the history no longer reaches back to the base generation";
  }
  return report;
}

} // namespace jaylane::ctl
