#include "AttemptRules.h"

#include <fmt/format.h>

namespace jaylane::entry {

policy::UpstreamSelectorOptions MakeSelectorOptions(const settings::EffectiveSettings& aSettings)
{
  policy::UpstreamSelectorOptions options;
  options.m_ramp = aSettings.m_slowStartTime;
  options.m_maxEjected = aSettings.m_maxEjectedPercent / 100.0;
  return options;
}

policy::RetryBudget::Options MakeRetryOptions(const settings::EffectiveSettings& aSettings)
{
  policy::RetryBudget::Options options;
  options.m_perMille = aSettings.m_retryBudgetPercent * 10;
  return options;
}

policy::OwnResult ToOwnResult(const proxy::AttemptOutcome& aOutcome)
{
  switch (aOutcome.m_result) {
    case proxy::AttemptResult::Completed:
      return policy::OwnResult::Completed;
    case proxy::AttemptResult::Rejected:
      return policy::OwnResult::Refused;
    case proxy::AttemptResult::NotSent:
      return aOutcome.m_connectFailed ? policy::OwnResult::Failed : policy::OwnResult::Cancelled;
    case proxy::AttemptResult::TimedOut:
      return policy::OwnResult::TimedOut;
    case proxy::AttemptResult::CallerGone:
      return policy::OwnResult::Cancelled;
    case proxy::AttemptResult::ConnectionLost:
    case proxy::AttemptResult::InvalidResponse:
    case proxy::AttemptResult::Truncated:
      break;
  }
  return policy::OwnResult::Failed;
}

bool IsProvenNotRun(proxy::AttemptResult aResult)
{
  return aResult == proxy::AttemptResult::NotSent || aResult == proxy::AttemptResult::Rejected;
}

RequestResult ToRequestResult(const proxy::AttemptOutcome& aOutcome, bool aMayHaveRun)
{
  using proxy::AttemptResult;
  RequestResult result;
  result.m_error = fmt::format("upstream-{}", proxy::AttemptResultName(aOutcome.m_result));
  result.m_message = aOutcome.m_detail;
  if (aOutcome.m_result == AttemptResult::Completed) {
    result.m_outcome = Outcome::Completed;
    result.m_status = aOutcome.m_status;
    result.m_error.clear();
  } else if (!aMayHaveRun) {
    result.m_outcome = Outcome::NotRun;
    result.m_status = 503;
  } else {
    result.m_outcome = Outcome::Unknown;
    result.m_status = aOutcome.m_result == AttemptResult::TimedOut ? 504 : 502;
  }
  return result;
}

} // namespace jaylane::entry
