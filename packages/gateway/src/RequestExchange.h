#pragma once

#include "CallerRequest.h"
#include "GatewayContext.h"
#include "UpstreamAttempt.h"
#include "jaylane/policy/RetryDelay.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jaylane::gateway {

/// Serves one request: picks route, service and upstream, retries where that is safe, and ends
/// with exactly one response unless the caller leaves first.
class RequestExchange : public std::enable_shared_from_this<RequestExchange>
{
public:
  /// @param aOnResponse called once; not after Cancel().
  RequestExchange(GatewayContext& aContext,
                  CallerRequest aRequest,
                  std::function<void()> aOnResponse);

  void Start();

  /// The caller left.
  void Cancel();

  const std::string& Id() const { return m_request->m_id; }
  bool IsDone() const { return m_isDone; }
  CallerResponse& Response() { return m_response; }
  bool IsHead() const { return m_request->m_method == "HEAD"; }

private:
  bool FindDestination();
  void StartTimer();
  void TryUpstream();
  void SendTo(const policy::ServiceBalancer::Choice& aChoice);
  void StartOverdueTimer(std::chrono::milliseconds aOverdue);
  /// The response of the only attempt is overdue: looks for signs of life, and starts a second
  /// attempt where both may run.
  void OnOverdue();
  void CheckSilence(const UpstreamAttempt& aAttempt);
  bool TryHedge();
  void OnAttemptEnd(const std::string& aUpstream,
                    const policy::ServiceBalancer::Query& aQuery,
                    AttemptResult aResult);
  /// Closes the connections of the attempts that are still running.
  void CancelAttempts();
  /// @return the running attempt at the upstream; nullptr if there is none.
  std::shared_ptr<UpstreamAttempt> TakeAttempt(const std::string& aUpstream);
  void OnAttemptFailure(AttemptResult aResult);
  bool MayRetry(const AttemptResult& aResult) const;
  void OnDeadline();
  void Reject(std::string_view aReason, std::chrono::milliseconds aRetryAfter);
  void Respond(unsigned aStatus, std::string_view aReason);
  void Finish(CallerResponse aResponse, std::string_view aOutcome);
  void LogEnd(std::string_view aOutcome) const;
  policy::ServiceBalancer::Query MakeQuery() const;
  std::chrono::milliseconds Remaining() const;
  std::chrono::milliseconds RetryAfter(policy::RejectionCause aCause,
                                       std::chrono::milliseconds aExpected) const;
  policy::RequestFingerprint Fingerprint() const;

  GatewayContext& m_context;
  std::shared_ptr<CallerRequest> m_request;
  std::function<void()> m_onResponse;
  /// Keeps the configuration that decided on this request.
  std::shared_ptr<policy::RouteTable> m_routes;
  const policy::Route* m_route = nullptr;
  const policy::Service* m_service = nullptr;
  std::uint64_t m_key = 0;
  base::MonotonicTime m_deadline;
  boost::asio::steady_timer m_timer;
  boost::asio::steady_timer m_overdueTimer;
  /// Running attempts: one, or two after the first was overdue.
  std::vector<std::shared_ptr<UpstreamAttempt>> m_attempts;
  std::vector<std::string> m_tried;
  std::uint32_t m_sends = 0;
  std::uint32_t m_unreachable = 0;
  bool m_mayHaveRun = false;
  /// Time to a response that the last choice expected.
  std::chrono::milliseconds m_expected{ 0 };
  /// Last response of an upstream that reported a failure; kept in case no retry succeeds.
  std::optional<CallerResponse> m_failureResponse;
  bool m_isDone = false;
  CallerResponse m_response;
};

} // namespace jaylane::gateway
