#pragma once

#include "CallerRequest.h"
#include "GatewayContext.h"
#include "UpstreamAttempt.h"
#include "jaylane/policy/AccessDecision.h"
#include "jaylane/policy/RegionBinding.h"
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

  /// Responds without running the request, whose body may be missing.
  /// @param aOutcome why the caller may not run it; not Allowed.
  void Deny(policy::AccessDecision::Outcome aOutcome);

  /// Ends the exchange without a response because the caller disconnected.
  void Cancel();

  const std::string& Id() const { return m_request->m_id; }
  bool IsDone() const { return m_isDone; }
  CallerResponse& Response() { return m_response; }
  bool IsHead() const { return m_request->m_method == "HEAD"; }
  /// @return priority of the request; 0 is the most urgent.
  std::uint32_t Priority() const;

private:
  bool ResolveRoute();
  /// Sets the caller's team and the regions that may run the request.
  /// @return whether the caller may run it; if not, the caller has got its response.
  bool CheckAccess();
  void RespondDenied(policy::AccessDecision::Outcome aOutcome);
  void StartDeadlineTimer();
  /// Continues with TryUpstream() if the quota of the team admits the request, at once or after the
  /// quota broker has answered.
  void AdmitByQuota();
  void OnQuotaDecision(const QuotaGate::Admission& aAdmission);
  void StopWaitingForQuota();
  /// The request has not run and will not.
  void ReturnCredit();
  /// Binds the request to the regions of one more version.
  void BindTo(const policy::RouteTable& aRoutes);
  /// Binds the request to the regions of all versions up to the active one.
  void BindToActiveConfiguration();
  /// Rejects a request that no region may run any more, or only some while the allowed regions are
  /// not certain.
  /// @return whether it was rejected.
  bool RejectIfForbidden();
  /// @return whether the regions that m_regions allows are certain.
  bool AreRegionsCertain() const;
  void TryUpstream();
  /// Sends the request to the chosen upstream, or holds or rejects it.
  void ApplyChoice(const policy::ServiceBalancer::Choice& aChoice);
  /// Holds the request, which has not been sent, until an upstream accepts it.
  /// @return false if it must be rejected.
  bool TryHold(const policy::ServiceBalancer::Choice& aChoice);
  /// Chooses an upstream again while the request is held.
  void RetryHeld();
  /// Rejects a request that has waited if the VM stops too soon to serve it, or must not send
  /// requests on its view.
  /// @return whether it was rejected.
  bool RejectIfUnsafe();
  /// The request is no longer held.
  void EndHold(bool aIsSent);
  /// Cancels the exchange if the caller has left.
  /// @return whether it has.
  bool CancelIfCallerLeft();
  /// @return whether an upstream may receive the request now.
  bool MaySend(const policy::Upstream& aUpstream);
  /// @return the balancer's choice among the upstreams that may receive requests now.
  policy::ServiceBalancer::Choice ChooseUpstream(const policy::ServiceBalancer::Query& aQuery);
  void SendTo(const policy::ServiceBalancer::Choice& aChoice);
  void LogAttempt(const policy::ServiceBalancer::Choice& aChoice) const;
  /// Counts an attempt of a request that only some regions may run.
  void CountRestrictedAttempt() const;
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
  /// @return whether a retry can still succeed and runs the request twice only if that is allowed.
  bool MayRetry(const AttemptResult& aResult) const;
  /// @return whether a retry is allowed by the retry budget, from which it is then taken.
  bool TakeRetry(const AttemptResult& aResult);
  void OnDeadline();
  void Reject(std::string_view aReason, std::chrono::milliseconds aRetryAfter);
  /// Responds with 429: the team has no credit left.
  void RejectOverQuota(std::chrono::milliseconds aRetryAfter);
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
  /// Team of the caller; null if the configuration has no teams or the route is public.
  const policy::Team* m_team = nullptr;
  /// Newest configuration that m_regions takes into account.
  std::shared_ptr<const policy::RouteTable> m_boundRoutes;
  policy::RegionBinding m_regions;
  /// The request while it waits for the quota broker; 0 if it does not.
  std::uint64_t m_quotaWaiter = 0;
  std::optional<policy::QuotaClient::Credit> m_credit;
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
  /// Set while the request is held.
  std::optional<base::MonotonicTime> m_heldSince;
  /// Id among the held requests; 0 if the request was never held.
  std::uint64_t m_holdId = 0;
  /// Time for which the request was held before its last attempt.
  std::chrono::nanoseconds m_holdTime{ 0 };
  bool m_isDone = false;
  CallerResponse m_response;
};

} // namespace jaylane::gateway
