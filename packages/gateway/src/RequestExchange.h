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

/// Serves one request: selects the route, service and upstream, retries where that is safe, and
/// produces exactly one response unless the caller disconnects first.
class RequestExchange : public std::enable_shared_from_this<RequestExchange>
{
public:
  struct Hooks
  {
    /// Called once with the response ready; not after Cancel().
    std::function<void()> m_onResponse;
    /// Returns whether the caller has closed its connection, also if this VM has not read that yet.
    /// Asked before each attempt.
    std::function<bool()> m_hasCallerLeft;
  };

  RequestExchange(GatewayContext& aContext, CallerRequest aRequest, Hooks aHooks);

  void Start();

  /// Ends the exchange without a response because the caller disconnected.
  void Cancel();

  const std::string& Id() const { return m_request->m_id; }
  bool IsDone() const { return m_isDone; }
  CallerResponse& Response() { return m_response; }
  bool IsHead() const { return m_request->m_method == "HEAD"; }

private:
  bool ResolveRoute();
  void StartDeadlineTimer();
  void TryUpstream();
  /// Cancels the exchange if the caller has left.
  /// @return whether it has.
  bool CancelIfCallerLeft();
  /// @return whether an upstream may receive the request now.
  bool MaySend(const std::string& aUpstream);
  /// @return the balancer's choice among the upstreams that may receive requests now.
  policy::ServiceBalancer::Choice ChooseUpstream(const policy::ServiceBalancer::Query& aQuery);
  void SendTo(const policy::ServiceBalancer::Choice& aChoice);
  void StartOverdueTimer(std::chrono::milliseconds aOverdue);
  /// The response to the only attempt is overdue: reports an unresponsive upstream, and sends a
  /// hedged attempt to another one if the request is idempotent.
  void OnOverdue();
  /// Reports the upstream as unresponsive if it has sent nothing since the attempt started.
  void MarkIfUnresponsive(const UpstreamAttempt& aAttempt);
  /// @return whether a hedged attempt was sent.
  bool TryHedge();
  void OnAttemptEnd(const std::string& aUpstream,
                    const policy::ServiceBalancer::Query& aQuery,
                    AttemptResult aResult);
  /// Closes the connections of the attempts that are still running.
  void CancelAttempts();
  /// @return the running attempt at the upstream; nullptr if there is none.
  std::shared_ptr<UpstreamAttempt> TakeAttempt(const std::string& aUpstream);
  void OnAttemptFailure(AttemptResult aResult);
  void LogAttemptFailure(const std::string& aUpstream, const AttemptResult& aResult) const;
  bool MayRetry(const AttemptResult& aResult) const;
  void OnDeadline();
  void Reject(std::string_view aReason, std::chrono::milliseconds aRetryAfter);
  void Respond(unsigned aStatus, std::string_view aReason);
  void Finish(CallerResponse aResponse, std::string_view aOutcome);
  /// Releases what the response does not need. The caller may take its time to read responses.
  void ReleaseRequest();
  void LogOutcome(std::string_view aOutcome) const;
  policy::ServiceBalancer::Query MakeQuery() const;
  std::chrono::milliseconds Remaining() const;
  std::chrono::milliseconds RetryDelayFor(policy::RejectionCause aCause,
                                          std::chrono::milliseconds aExpected) const;
  /// Asks whether and how the request may be sent, given the crashes that it was present at.
  /// @return whether it may; if not, the caller has got its response.
  bool AdmitAttempt();
  /// The attempt as a suspect, if there is one, has ended.
  void EndSuspect();

  GatewayContext& m_context;
  std::shared_ptr<CallerRequest> m_request;
  Hooks m_hooks;
  /// Routes that were active when the request arrived; m_route and m_service point into them.
  std::shared_ptr<policy::RouteTable> m_routes;
  const policy::Route* m_route = nullptr;
  const policy::Service* m_service = nullptr;
  std::uint64_t m_key = 0;
  policy::RequestFingerprint m_fingerprint;
  /// Whether the next or present attempt is one of a suspect, see policy::CrashContainment.
  bool m_isSuspect = false;
  bool m_isSuspectRunning = false;
  /// The connection of an attempt ended before the response was complete.
  bool m_wasLost = false;
  base::MonotonicTime m_deadline;
  boost::asio::steady_timer m_deadlineTimer;
  boost::asio::steady_timer m_overdueTimer;
  /// Attempts in progress: one, or two with a hedged attempt.
  std::vector<std::shared_ptr<UpstreamAttempt>> m_attempts;
  /// Ids of the upstreams of all attempts, in order.
  std::vector<std::string> m_tried;
  /// Ended attempts whose request was sent.
  std::uint32_t m_sentAttempts = 0;
  std::uint32_t m_connectFailures = 0;
  /// An upstream may have run the request, so only an idempotent one may be retried.
  bool m_mayHaveRun = false;
  /// Response time that the balancer estimated with its last choice.
  std::chrono::milliseconds m_expectedLatency{ 0 };
  /// Last 5xx response of an upstream, returned to the caller if no retry succeeds.
  std::optional<CallerResponse> m_failureResponse;
  bool m_isDone = false;
  CallerResponse m_response;
};

} // namespace jaylane::gateway
