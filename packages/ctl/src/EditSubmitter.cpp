#include "jaylane/ctl/EditSubmitter.h"

#include <fmt/format.h>

namespace jaylane::ctl {

namespace {

/// Attempts per VM; with the second one, a single lost response does not leave the outcome unknown.
constexpr int kAttemptsPerVm = 2;

/// Result of sending the edit to one VM.
enum class AttemptResult
{
  Accepted,
  Rejected,
  /// The attempt had no effect; another VM may be able to process the edit.
  NoEffect,
  /// The attempt may have taken effect.
  EffectUnknown,
};

AttemptResult Classify(const AdminClientResponse& aResponse)
{
  if (aResponse.m_delivery == Delivery::NotSent) {
    return AttemptResult::NoEffect;
  }
  if (aResponse.m_delivery == Delivery::Lost) {
    return AttemptResult::EffectUnknown;
  }
  if (aResponse.m_status == 200) {
    return AttemptResult::Accepted;
  }
  const std::string code = aResponse.ErrorCode();
  if (code == "store-unavailable") {
    return AttemptResult::NoEffect;
  }
  const bool rejected = aResponse.m_status >= 400 && aResponse.m_status < 500 && !code.empty();
  return rejected ? AttemptResult::Rejected : AttemptResult::EffectUnknown;
}

/// @return whether the rejection means that no earlier attempt with the same id can be accepted any
/// more. Only a conflict does, since the key remains changed.
bool ExcludesEarlierAttempts(const AdminClientResponse& aResponse)
{
  return aResponse.ErrorCode() == "conflict";
}

void RecordAccepted(const Json::Value& aBody, EditReport& aReport)
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
  report.m_problem = "no VM address given; use --vms";
  bool mayHaveEffect = false;
  for (int attempt = 0; attempt < kAttemptsPerVm; ++attempt) {
    for (const std::string& vm : m_fleet.Vms()) {
      const AdminClientResponse response = m_fleet.Client().Send(vm, { "POST", aPath, aBody });
      const AttemptResult result = Classify(response);
      if (result == AttemptResult::Accepted) {
        RecordAccepted(response.m_body, report);
        return report;
      }
      report.m_problem = vm + ": " + response.Explain();
      mayHaveEffect = mayHaveEffect || result == AttemptResult::EffectUnknown;
      if (result != AttemptResult::Rejected) {
        continue;
      }
      if (mayHaveEffect && !ExcludesEarlierAttempts(response)) {
        return ReadBack(report.m_id, report.m_baseGeneration);
      }
      report.m_outcome = EditOutcome::Rejected;
      report.m_error = response.m_body["error"];
      return report;
    }
  }
  return mayHaveEffect ? ReadBack(report.m_id, report.m_baseGeneration) : report;
}

EditReport EditSubmitter::ReadBack(const std::string& aId, std::uint64_t aBaseGeneration)
{
  EditReport report;
  report.m_id = aId;
  report.m_baseGeneration = aBaseGeneration;
  report.m_outcome = EditOutcome::Unknown;
  const AdminClientResponse response =
    m_fleet.Get(fmt::format("/v1/edits/{}?base_generation={}", aId, aBaseGeneration));
  if (!response.Succeeded() || !response.m_body["outcome"].isString()) {
    report.m_problem = "status query failed: " + response.Explain();
    return report;
  }
  const std::string outcome = response.m_body["outcome"].asString();
  if (outcome == "accepted") {
    RecordAccepted(response.m_body, report);
  } else if (outcome == "not-accepted") {
    report.m_problem = "not accepted so far, but an attempt may still be in progress";
  } else {
    report.m_problem = "the history no longer covers the base generation";
  }
  return report;
}

} // namespace jaylane::ctl
