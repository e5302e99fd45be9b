#include "RequestForwarder.h"

#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace jaylane::entry {

namespace {

/// Result that the other VM reports in its response head.
struct RemoteReport
{
  bool m_received = false;
  Outcome m_outcome = Outcome::Unknown;
  std::string m_error;
  std::string m_upstream;
};

std::string HeaderText(const proxy::ResponseHead& aHead, std::string_view aName)
{
  return std::string(aHead.m_headers.Find(aName).value_or(""));
}

proxy::ResponseDisposition CheckResponseHead(RemoteReport& aReport,
                                             const proxy::ResponseHead& aHead)
{
  const std::string outcome = HeaderText(aHead, kOutcomeHeader);
  aReport.m_error = HeaderText(aHead, kErrorHeader);
  aReport.m_upstream = HeaderText(aHead, kUpstreamHeader);
  if (outcome == OutcomeName(Outcome::Completed)) {
    aReport.m_outcome = Outcome::Completed;
  } else if (outcome == OutcomeName(Outcome::NotRun)) {
    aReport.m_outcome = Outcome::NotRun;
  } else if (outcome != OutcomeName(Outcome::Unknown)) {
    // Not a response of an entry VM, so the outcome is not known.
    return proxy::ResponseDisposition::Invalid;
  }
  aReport.m_received = true;
  return proxy::ResponseDisposition::Forward;
}

proxy::HeaderList ForwardHeaders(const VmContext& aContext,
                                 const ParsedRequest& aRequest,
                                 const proxy::HeaderList& aHeaders,
                                 const ForwardTarget& aTarget)
{
  proxy::HeaderList headers = UpstreamHeaders(aHeaders);
  headers.Add(kIdempotentHeader, aRequest.m_idempotent ? "true" : "false");
  headers.Add(kCallerHeader, aRequest.m_caller);
  headers.Add(kHybridClockHeader, aContext.m_hybridClock.Now().ToString());
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aRequest.m_deadline - aContext.m_clock.Monotonic());
  headers.Add(kDeadlineHeader, fmt::format("{}", std::max<std::int64_t>(1, remaining.count())));
  if (!aRequest.m_keyText.empty()) {
    headers.Add(kKeyHeader, aRequest.m_keyText);
  }
  headers.Add(kForwardedHeader, aContext.m_settings.m_peerKey);
  if (aTarget.m_targetChecksKey) {
    headers.Add(kScopeHopHeader, "1");
  }
  return headers;
}

/// @param aTargetChecksKey whether the other VM owns the key. An earlier copy may have run there,
///   even if this request was not sent.
RequestResult ToRequestResult(const RemoteReport& aReport,
                              const proxy::AttemptOutcome& aOutcome,
                              bool aTargetChecksKey)
{
  RequestResult result;
  result.m_attempts = 1;
  result.m_upstreamTime = aOutcome.m_duration;
  result.m_upstream = aReport.m_upstream;
  result.m_error = fmt::format("forward-{}", proxy::AttemptResultName(aOutcome.m_result));
  result.m_message = aOutcome.m_detail;
  if (aReport.m_received && aOutcome.m_result == proxy::AttemptResult::Completed) {
    result.m_outcome = aReport.m_outcome;
    result.m_status = aOutcome.m_status;
    result.m_error = aReport.m_error;
  } else if (aOutcome.m_result == proxy::AttemptResult::NotSent && !aTargetChecksKey) {
    result.m_outcome = Outcome::NotRun;
    result.m_status = 503;
  } else {
    result.m_outcome = Outcome::Unknown;
    result.m_status = aOutcome.m_result == proxy::AttemptResult::TimedOut ? 504 : 502;
  }
  return result;
}

} // namespace

bool StartForward(const VmContext& aContext,
                  proxy::UpstreamTransport& aTransport,
                  const std::shared_ptr<proxy::Exchange>& aExchange,
                  const ParsedRequest& aRequest,
                  const ForwardTarget& aTarget,
                  std::function<void(const RequestResult&)> aDone)
{
  const auto report = std::make_shared<RemoteReport>();
  proxy::AttemptSpec spec;
  spec.m_address = aTarget.m_vm.m_address;
  spec.m_target = aExchange->Request().m_target;
  spec.m_headers = ForwardHeaders(aContext, aRequest, aExchange->Request().m_headers, aTarget);
  spec.m_deadline = aRequest.m_deadline;
  spec.m_reuseConnection = aRequest.m_idempotent;
  spec.m_uploadAllowance = aTarget.m_uploadAllowance;
  spec.m_onHead = [report](proxy::ResponseHead& aHead) {
    return CheckResponseHead(*report, aHead);
  };
  return aTransport.Start(aExchange,
                          std::move(spec),
                          [report,
                           targetChecksKey = aTarget.m_targetChecksKey,
                           done = std::move(aDone)](const proxy::AttemptOutcome& aOutcome) {
                            done(ToRequestResult(*report, aOutcome, targetChecksKey));
                          });
}

} // namespace jaylane::entry
