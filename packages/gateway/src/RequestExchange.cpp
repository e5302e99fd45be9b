#include "RequestExchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <utility>
#include <xxhash.h>

namespace jaylane::gateway {

namespace {

using policy::AttemptFailure;
using policy::RequestKind;
using policy::ServiceBalancer;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Failed connects do not count against the route's limit of attempts; this is their own limit.
constexpr std::uint32_t kMaxConnectFailures = 3;
/// Time past the deadline before the gateway responds itself: an upstream that respects its time
/// limit responds within it.
constexpr milliseconds kDeadlineGrace{ 60 };
/// Time limit of requests whose route sets none; a caller may set a shorter one.
constexpr milliseconds kMaxTimeout{ 60'000 };
/// Retry delay given to callers while a VM that has just started fetches the configuration.
constexpr milliseconds kStartupRetryDelay{ 500 };
/// The same when the quota broker has not answered before the deadline.
constexpr milliseconds kQuotaRetryDelay{ 500 };
/// The same when another VM can serve the request at once.
constexpr milliseconds kOtherVmRetryDelay{ 50 };
/// The same when the API key may be one that this VM does not know yet.
constexpr milliseconds kUnconfirmedRetryDelay{ 500 };
/// Header line that a response with status 401 must have.
constexpr const char* kChallenge = "WWW-Authenticate: Bearer\r\n";
/// Outcomes whose log records name the request's fingerprint.
constexpr std::string_view kOutcomeLost = "upstream_lost";
constexpr std::string_view kOutcomeQuarantined = "quarantined";

std::uint64_t HashOf(std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

std::string RetryAfterLine(milliseconds aDelay)
{
  return fmt::format("Retry-After: {:.3f}\r\n", std::chrono::duration<double>(aDelay).count());
}

bool IsServerFailure(unsigned aStatus)
{
  return aStatus >= 500;
}

} // namespace

RequestExchange::RequestExchange(GatewayContext& aContext, CallerRequest aRequest, Hooks aHooks)
  : m_context(aContext)
  , m_request(std::make_shared<CallerRequest>(std::move(aRequest)))
  , m_hooks(std::move(aHooks))
  , m_routes(aContext.m_steering.Routes())
  , m_deadlineTimer(aContext.m_io)
  , m_overdueTimer(aContext.m_io)
{
}

void RequestExchange::Start()
{
  ++m_context.m_metrics.m_received;
  ++m_context.m_metrics.m_inFlight;
  if (m_context.m_phase == LifecyclePhase::Closing) {
    Reject("stopping", milliseconds{ 0 });
  } else if (!m_routes || !m_context.m_steering.IsReady()) {
    Reject("no_configuration", kStartupRetryDelay);
  } else if (m_context.m_isViewOutdated()) {
    Reject("view_outdated", kOtherVmRetryDelay);
  } else if (ResolveRoute()) {
    if (m_context.m_exitAt && m_deadline + kDeadlineGrace > *m_context.m_exitAt) {
      Reject("stopping", milliseconds{ 0 });
      return;
    }
    StartDeadlineTimer();
    AdmitByQuota();
  }
}

void RequestExchange::AdmitByQuota()
{
  if (!m_team || !m_context.m_quotas) {
    TryUpstream();
    return;
  }
  const QuotaGate::Result result = m_context.m_quotas->Admit(
    m_team->m_name, [self = shared_from_this()](const QuotaGate::Admission& aAdmission) {
      self->OnQuotaDecision(aAdmission);
    });
  m_quotaWaiter = result.m_waiter;
  if (m_quotaWaiter == 0) {
    OnQuotaDecision(result.m_admission);
  }
}

void RequestExchange::OnQuotaDecision(const QuotaGate::Admission& aAdmission)
{
  m_quotaWaiter = 0;
  m_credit = aAdmission.m_credit;
  if (m_isDone) {
    ReturnCredit();
  } else if (aAdmission.m_decision == policy::QuotaClient::Decision::Admitted) {
    if (!RejectIfUnsafe()) {
      TryUpstream();
    }
  } else {
    RejectOverQuota(aAdmission.m_retryAfter);
  }
}

void RequestExchange::StopWaitingForQuota()
{
  if (const std::uint64_t waiter = std::exchange(m_quotaWaiter, 0); waiter != 0) {
    m_context.m_quotas->Cancel(waiter);
  }
}

void RequestExchange::ReturnCredit()
{
  if (const auto credit = std::exchange(m_credit, std::nullopt)) {
    m_context.m_quotas->Return(*credit);
  }
}

void RequestExchange::Deny(policy::AccessDecision::Outcome aOutcome)
{
  ++m_context.m_metrics.m_received;
  ++m_context.m_metrics.m_inFlight;
  m_request->m_apiKey.reset();
  m_request->m_body = {};
  m_route = m_routes->Find(m_request->m_host, m_request->m_target);
  RespondDenied(aOutcome);
}

void RequestExchange::RespondDenied(policy::AccessDecision::Outcome aOutcome)
{
  if (aOutcome == policy::AccessDecision::Outcome::Unauthorized) {
    Respond(401, "unauthorized");
  } else {
    Reject("keys_unconfirmed", kUnconfirmedRetryDelay);
  }
}

bool RequestExchange::CheckAccess()
{
  // Also if the key was checked before the body was read: another configuration may be in force.
  const auto decision = policy::AccessDecision::Make(
    m_routes->ApiKeys(), *m_route, m_request->m_apiKey, m_context.m_isConfigurationConfirmed());
  m_request->m_apiKey.reset();
  if (decision.m_outcome != policy::AccessDecision::Outcome::Allowed) {
    RespondDenied(decision.m_outcome);
    return false;
  }
  m_team = decision.m_team;
  m_request->m_team = m_team ? m_team->m_name : std::string{};
  m_boundRoutes = m_routes;
  m_regions.Add(policy::AllowedRegions(*m_route, m_team));
  if (m_regions.IsNone()) {
    Reject("no_region", kMaxTimeout);
    return false;
  }
  return true;
}

void RequestExchange::BindTo(const policy::RouteTable& aRoutes)
{
  const policy::Route* route = aRoutes.Find(m_request->m_host, m_request->m_target);
  if (!route) {
    return; // The versions before, which still bind the request, had a route for it.
  }
  const auto& teams = aRoutes.Config().m_teams;
  const bool hasTeam = teams && !route->m_isPublic;
  if (hasTeam && !m_team) {
    m_regions.ForbidAll(); // Its key, which tells the team, is not kept.
    return;
  }
  const policy::Team* team = nullptr;
  if (hasTeam) {
    const auto found = std::ranges::find(*teams, m_team->m_name, &policy::Team::m_name);
    team = found == teams->end() ? nullptr : &*found;
  }
  m_regions.Add(policy::AllowedRegions(*route, team));
}

void RequestExchange::BindToActiveConfiguration()
{
  m_context.m_applyConfigurations();
  while (m_boundRoutes->Next()) {
    m_boundRoutes = m_boundRoutes->Next();
    BindTo(*m_boundRoutes);
  }
}

bool RequestExchange::AreRegionsCertain() const
{
  return !m_regions.IsRestricted() || m_context.m_mayServeRestricted();
}

bool RequestExchange::RejectIfForbidden()
{
  BindToActiveConfiguration();
  const bool isCertain = AreRegionsCertain();
  if (isCertain && !m_regions.IsNone()) {
    return false;
  }
  if (m_failureResponse) {
    Finish(std::move(*m_failureResponse), "upstream_failure");
  } else if (m_mayHaveRun) {
    Respond(502, kOutcomeLost);
  } else {
    // Another VM, or the same one as a new request, may serve it by the newest version.
    Reject(isCertain ? "regions_changed" : "regions_unconfirmed", kOtherVmRetryDelay);
  }
  return true;
}

std::uint32_t RequestExchange::Priority() const
{
  const std::uint32_t ofRoute = m_route ? m_route->m_priority : 0;
  return m_team ? m_team->m_priority.value_or(ofRoute) : ofRoute;
}

bool RequestExchange::ResolveRoute()
{
  m_route = m_routes->Find(m_request->m_host, m_request->m_target);
  if (!m_route) {
    Respond(404, "no_route");
    return false;
  }
  if (!CheckAccess()) {
    return false;
  }
  m_service = m_routes->NextService(*m_route);
  if (!m_service) {
    Reject("no_service", kStartupRetryDelay);
    return false;
  }
  const bool hasAffinity = m_route->m_sticky && !m_request->m_affinityKey.empty();
  m_key = HashOf(hasAffinity ? m_request->m_affinityKey : m_request->m_id);
  const milliseconds routeLimit = m_route->m_timeout.count() > 0 ? m_route->m_timeout : kMaxTimeout;
  m_deadline =
    m_request->m_receivedAt + std::min(routeLimit, m_request->m_timeout.value_or(routeLimit));
  // By host rather than service: a request that crashes upstreams does so wherever its route leads.
  m_fingerprint = policy::RequestFingerprint::Of(
    m_request->m_host, m_request->m_method, m_request->m_target, HashOf(m_request->m_body));
  m_context.m_steering.RetryBudget(m_service->m_name).OnRequest(m_context.m_clock.Monotonic());
  return true;
}

void RequestExchange::StartDeadlineTimer()
{
  m_deadlineTimer.expires_after(std::max(Remaining(), milliseconds{ 0 }) + kDeadlineGrace);
  m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError && !self->m_isDone) {
      self->OnDeadline();
    }
  });
}

milliseconds RequestExchange::Remaining() const
{
  return std::chrono::duration_cast<milliseconds>(m_deadline - m_context.m_clock.Monotonic());
}

bool RequestExchange::AdmitAttempt()
{
  using Admission = policy::CrashContainment::Admission;
  const Admission admission = m_context.m_steering.Containment().Admit(
    m_fingerprint, m_wasLost, m_context.m_clock.Monotonic());
  m_isSuspect = admission == Admission::Suspect;
  if (admission != Admission::Quarantined && admission != Admission::Busy) {
    return true;
  }
  if (m_failureResponse) {
    Finish(std::move(*m_failureResponse), "upstream_failure");
  } else if (m_mayHaveRun) {
    Respond(502, kOutcomeLost);
  } else if (admission == Admission::Quarantined) {
    Reject(kOutcomeQuarantined, kMaxTimeout);
  } else {
    Reject("suspect_busy",
           RetryDelayFor(policy::RejectionCause::NoCapacity, m_route->m_targetLatency));
  }
  return false;
}

void RequestExchange::EndSuspect()
{
  if (std::exchange(m_isSuspectRunning, false)) {
    m_context.m_steering.Containment().OnSuspectEnded(m_fingerprint);
  }
}

ServiceBalancer::Query RequestExchange::MakeQuery() const
{
  ServiceBalancer::Query query;
  // All VMs choose the same upstream for a suspect, so that its copies end few of them.
  query.m_key = m_isSuspect && !m_route->m_sticky ? m_fingerprint.m_low : m_key;
  query.m_hasAffinity = m_route->m_sticky && !m_request->m_affinityKey.empty();
  query.m_allowedRegions = m_regions.Get();
  query.m_triedUpstreams = &m_tried;
  query.m_isBulk = m_route->m_kind == RequestKind::Upload;
  query.m_remaining = Remaining();
  query.m_targetLatency = m_route->m_targetLatency;
  query.m_priority = Priority();
  query.m_isCounted = m_holdId != 0;
  query.m_held = std::chrono::duration_cast<milliseconds>(
    m_holdTime + (m_heldSince ? m_context.m_clock.Monotonic() - *m_heldSince : 0ns));
  return query;
}

ServiceBalancer::Choice RequestExchange::ChooseUpstream(const ServiceBalancer::Query& aQuery)
{
  Steering& steering = m_context.m_steering;
  ServiceBalancer& balancer = steering.Balancer(m_service->m_name);
  while (true) {
    const ServiceBalancer::Choice choice = balancer.Choose(aQuery, m_context.m_clock.Monotonic());
    if (choice.m_decision != ServiceBalancer::Decision::Send ||
        steering.MayReceive(*choice.m_upstream)) {
      return choice;
    }
    balancer.Withdraw(choice.m_upstream->m_id);
  }
}

bool RequestExchange::CancelIfCallerLeft()
{
  if (!m_isDone && m_hooks.m_hasCallerLeft()) {
    Cancel();
  }
  return m_isDone;
}

bool RequestExchange::MaySend(const policy::Upstream& aUpstream)
{
  BindToActiveConfiguration();
  return m_regions.Allows(aUpstream.m_region) && AreRegionsCertain() && !m_isDone &&
         !m_hooks.m_hasCallerLeft() && m_context.m_steering.MayReceive(aUpstream);
}

void RequestExchange::TryUpstream()
{
  if (CancelIfCallerLeft() || RejectIfForbidden() || !AdmitAttempt()) {
    return;
  }
  const ServiceBalancer::Choice choice = ChooseUpstream(MakeQuery());
  if (choice.m_isLimitedByUrgency) {
    ++m_context.m_metrics.m_limitedByUrgency[Priority()];
  }
  ApplyChoice(choice);
}

void RequestExchange::ApplyChoice(const ServiceBalancer::Choice& aChoice)
{
  m_expectedLatency = aChoice.m_expectedLatency;
  if (aChoice.m_decision == ServiceBalancer::Decision::Send) {
    EndHold(true);
    SendTo(aChoice);
  } else if (m_failureResponse) {
    Finish(std::move(*m_failureResponse), "upstream_failure");
  } else if (m_mayHaveRun) {
    Respond(502, kOutcomeLost);
  } else if (!TryHold(aChoice)) {
    const bool wasHeld = m_heldSince.has_value();
    const bool hasUpstream = aChoice.m_decision == ServiceBalancer::Decision::Overloaded;
    const milliseconds pause = m_context.m_steering.ShortestPause(m_service->m_name);
    if (!hasUpstream && pause.count() > 0) {
      Reject("upstreams_paused", RetryDelayFor(policy::RejectionCause::Paused, pause));
      return;
    }
    const std::string_view overloaded = wasHeld ? "hold_expired" : "overloaded";
    Reject(hasUpstream ? overloaded : "no_upstream",
           RetryDelayFor(hasUpstream ? policy::RejectionCause::NoCapacity
                                     : policy::RejectionCause::NoUpstream,
                         aChoice.m_expectedLatency));
  }
}

bool RequestExchange::TryHold(const ServiceBalancer::Choice& aChoice)
{
  if (!aChoice.m_mayHold) {
    return false;
  }
  HeldRequests& held = *m_context.m_held;
  const auto now = m_context.m_clock.Monotonic();
  if (m_holdId == 0) {
    m_holdId = held.NewId();
  }
  const policy::HoldQueue::Situation situation{ Priority(),
                                                m_route->m_targetLatency,
                                                m_request->m_receivedAt,
                                                aChoice.m_expectedHold,
                                                aChoice.m_latencyWithoutQueue };
  const std::weak_ptr<RequestExchange> weak = weak_from_this();
  HeldRequests::Hooks hooks;
  hooks.m_onRetry = [weak] {
    if (const auto self = weak.lock()) {
      self->RetryHeld();
    }
  };
  hooks.m_onDisplaced = [weak] {
    if (const auto self = weak.lock()) {
      self->Reject(
        "displaced",
        self->RetryDelayFor(policy::RejectionCause::NoCapacity, self->m_expectedLatency));
    }
  };
  if (!held.Hold(m_service->m_name, m_holdId, situation, std::move(hooks))) {
    return false;
  }
  if (!m_heldSince) {
    m_heldSince = now;
    ++m_context.m_metrics.m_heldTotal;
    ++m_context.m_metrics.m_held;
  }
  return true;
}

void RequestExchange::RetryHeld()
{
  if (CancelIfCallerLeft()) {
    return;
  }
  if (!RejectIfUnsafe() && !RejectIfForbidden() && AdmitAttempt()) {
    ApplyChoice(ChooseUpstream(MakeQuery()));
  }
}

bool RequestExchange::RejectIfUnsafe()
{
  if (m_context.m_exitAt && m_deadline + kDeadlineGrace > *m_context.m_exitAt) {
    Reject("stopping", milliseconds{ 0 });
    return true;
  }
  if (m_context.m_isViewOutdated()) {
    Reject("view_outdated", kOtherVmRetryDelay);
    return true;
  }
  return false;
}

void RequestExchange::EndHold(bool aIsSent)
{
  if (!m_heldSince) {
    return;
  }
  const auto time = m_context.m_clock.Monotonic() - *std::exchange(m_heldSince, std::nullopt);
  m_holdTime += time;
  --m_context.m_metrics.m_held;
  m_context.m_metrics.m_holdTime.Record(time);
  if (aIsSent) {
    m_context.m_held->OnSent(m_service->m_name, m_holdId);
  } else {
    m_context.m_held->Remove(m_service->m_name, m_holdId);
  }
}

void RequestExchange::SendTo(const ServiceBalancer::Choice& aChoice)
{
  const ServiceBalancer::Query query = MakeQuery();
  const std::string& upstream = aChoice.m_upstream->m_id;
  m_tried.push_back(upstream);
  ++m_context.m_metrics.m_attempts;
  LogAttempt(aChoice);
  CountRestrictedAttempt();
  m_context.m_steering.Balancer(m_service->m_name)
    .OnSent(upstream, query, m_context.m_clock.Monotonic());
  auto attempt = std::make_shared<UpstreamAttempt>(
    UpstreamAttempt::Dependencies{ m_context.m_io,
                                   m_context.m_pool,
                                   m_context.m_clock,
                                   m_context.m_wire,
                                   m_context.m_bodyBudget,
                                   [weak = weak_from_this()](const policy::Upstream& aUpstream) {
                                     const auto self = weak.lock();
                                     return self && self->MaySend(aUpstream);
                                   },
                                   m_regions.IsRestricted()
                                     ? m_context.m_steering.ConfirmationPath(*aChoice.m_upstream)
                                     : std::string{} },
    *aChoice.m_upstream,
    m_request,
    Remaining(),
    [self = shared_from_this(), query, upstream](AttemptResult aResult) {
      self->OnAttemptEnd(upstream, query, std::move(aResult));
    });
  m_attempts.push_back(attempt);
  if (m_isSuspect) {
    m_isSuspectRunning = true;
    m_context.m_steering.Containment().OnSuspectSent(m_fingerprint);
  }
  attempt->Start();
  StartOverdueTimer(aChoice.m_overdueAfter);
}

void RequestExchange::LogAttempt(const ServiceBalancer::Choice& aChoice) const
{
  const policy::Upstream& upstream = *aChoice.m_upstream;
  base::LogRecord record("attempt");
  record.Add("id", m_request->m_id)
    .Add("upstream", upstream.m_id)
    .Add("zone", upstream.m_zone)
    .Add("region", upstream.m_region)
    .Add("affinity", m_request->m_affinityKey)
    .Add("rank", aChoice.m_rank)
    .Add("known", aChoice.m_hasServedKey ? 1 : 0)
    .Add("cold", aChoice.m_isCold ? 1 : 0)
    .Add("expected_ms", aChoice.m_expectedLatency)
    .Add("remaining_ms", Remaining())
    .Add("config", m_routes->Config().m_version)
    .Add("entry_revision", upstream.m_revision.Number())
    .Add("suspect", m_isSuspect ? 1 : 0)
    .Add("held_ms", m_holdTime);
  if (const std::set<std::string>* allowed = m_regions.Get()) {
    record.Add("route", m_route->m_name)
      .Add("allowed_regions", fmt::format("{}", fmt::join(*allowed, " ")))
      .Add("active_config", m_context.m_steering.Routes()->Config().m_version);
  }
  m_context.m_log.Write(record);
}

void RequestExchange::CountRestrictedAttempt() const
{
  if (m_regions.IsRestricted()) {
    ++m_context.m_metrics.m_restrictedAttempts;
    const bool isActive = m_routes == m_context.m_steering.Routes();
    m_context.m_metrics.m_outdatedRestrictedAttempts += isActive ? 0 : 1;
  }
}

void RequestExchange::StartOverdueTimer(milliseconds aOverdue)
{
  m_overdueTimer.cancel(); // May still be set for an attempt that has ended.
  if (m_attempts.size() != 1 || aOverdue >= Remaining()) {
    return;
  }
  m_overdueTimer.expires_after(aOverdue);
  m_overdueTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
    if (!aError && !self->m_isDone && self->m_attempts.size() == 1) {
      self->OnOverdue();
    }
  });
}

void RequestExchange::OnOverdue()
{
  MarkIfUnresponsive(*m_attempts.front());
  const std::string upstream = m_attempts.front()->UpstreamId();
  const bool isHedged = TryHedge();
  m_context.m_log.Write(base::LogRecord("overdue")
                          .Add("id", m_request->m_id)
                          .Add("upstream", upstream)
                          .Add("remaining_ms", Remaining())
                          .Add("outcome", isHedged ? "hedged" : "waits"));
}

void RequestExchange::MarkIfUnresponsive(const UpstreamAttempt& aAttempt)
{
  const std::string& upstream = aAttempt.UpstreamId();
  if (aAttempt.WasSent() &&
      m_context.m_steering.Balancer(m_service->m_name).OnOverdue(upstream, aAttempt.StartedAt())) {
    m_context.m_steering.OnUnresponsive(m_service->m_name, upstream);
    m_context.m_pool.Drop(upstream);
  }
}

bool RequestExchange::TryHedge()
{
  const bool mayRunTwice = m_route->m_kind == RequestKind::Idempotent;
  if (!mayRunTwice || m_tried.size() >= m_route->m_attempts || CancelIfCallerLeft()) {
    return false;
  }
  const auto now = m_context.m_clock.Monotonic();
  if (m_isSuspect || m_context.m_steering.Containment().Admit(m_fingerprint, m_wasLost, now) !=
                       policy::CrashContainment::Admission::Ordinary) {
    return false;
  }
  BindToActiveConfiguration();
  if (m_regions.IsNone() || !AreRegionsCertain()) {
    return false;
  }
  ServiceBalancer::Query query = MakeQuery();
  query.m_isHedge = true;
  const ServiceBalancer::Choice choice = ChooseUpstream(query);
  if (choice.m_decision != ServiceBalancer::Decision::Send ||
      !m_context.m_steering.RetryBudget(m_service->m_name).TryHedge(now)) {
    return false;
  }
  ++m_context.m_metrics.m_hedges;
  SendTo(choice);
  return true;
}

void RequestExchange::CancelAttempts()
{
  m_overdueTimer.cancel();
  for (const auto& attempt : m_attempts) {
    m_context.m_steering.Balancer(m_service->m_name).OnCancelled(attempt->UpstreamId());
    attempt->Cancel();
  }
  m_attempts.clear();
}

std::shared_ptr<UpstreamAttempt> RequestExchange::TakeAttempt(const std::string& aUpstream)
{
  const auto found = std::ranges::find(
    m_attempts, aUpstream, [](const auto& aAttempt) { return aAttempt->UpstreamId(); });
  if (found == m_attempts.end()) {
    return nullptr;
  }
  std::shared_ptr<UpstreamAttempt> attempt = std::move(*found);
  m_attempts.erase(found);
  return attempt;
}

void RequestExchange::OnAttemptEnd(const std::string& aUpstream,
                                   const ServiceBalancer::Query& aQuery,
                                   AttemptResult aResult)
{
  const auto now = m_context.m_clock.Monotonic();
  ServiceBalancer& balancer = m_context.m_steering.Balancer(m_service->m_name);
  const auto attempt = TakeAttempt(aUpstream);
  EndSuspect();
  m_context.m_held->OnResponse(m_service->m_name);
  m_sentAttempts += attempt->WasSent() ? 1 : 0;
  m_context.m_metrics.m_upstreamLatency.Record(aResult.m_latency);
  if (aResult.m_connectTime) {
    m_context.m_steering.OnConnected(aUpstream, *aResult.m_connectTime);
  }
  // A 421 response is another upstream's.
  if (aResult.m_response.m_status != 0 && !aResult.m_isOtherUpstream) {
    m_context.m_steering.OnResponsive(aUpstream);
  }
  if (aResult.m_response.m_status != 0 && aResult.m_response.m_status != 421 &&
      aResult.m_isLimitReadable) {
    m_context.m_steering.OnLimit(aUpstream, aResult.m_limit);
  }
  if (aResult.m_isLoadUnreadable) {
    ++m_context.m_metrics.m_unreadableLoads;
    m_context.m_steering.OnUnreadableLoad(aUpstream);
  }
  // Another upstream's load, if the status is 421.
  if (aResult.m_load && aResult.m_response.m_status != 421) {
    const bool hasServedKey =
      aQuery.m_hasAffinity && !aResult.m_failure && !IsServerFailure(aResult.m_response.m_status);
    m_context.m_steering.OnLoad(
      aUpstream, hasServedKey ? std::optional{ aQuery.m_key } : std::nullopt, *aResult.m_load);
  }
  if (aResult.m_requestedPause) {
    m_context.m_steering.OnPauseRequested(aUpstream, *aResult.m_requestedPause);
  }
  if (aResult.m_isUpstreamLeaving) {
    m_context.m_steering.OnLeaving(aUpstream);
    m_context.m_pool.Drop(aUpstream);
  }
  if (!aResult.m_cause.empty()) {
    LogAttemptFailure(aUpstream, aResult);
  }
  if (aResult.m_isOtherUpstream) {
    m_context.m_steering.OnAddressReused(policy::UpstreamIdentity::Of(attempt->Upstream()));
    m_context.m_pool.Drop(aUpstream);
  }
  m_connectFailures += aResult.m_isUnconfirmed ? 1 : 0;
  if (aResult.m_failure == AttemptFailure::Withdrawn) {
    balancer.OnCancelled(aUpstream);
    OnAttemptFailure(std::move(aResult));
    return;
  }
  if (aResult.m_failure) {
    balancer.OnFailure(aUpstream,
                       *aResult.m_failure,
                       aResult.m_isOtherUpstream ? std::nullopt : aResult.m_load,
                       now);
    if (*aResult.m_failure == AttemptFailure::Unreachable) {
      m_connectFailures += aResult.m_isUnconfirmed ? 0 : 1;
      m_context.m_steering.OnUnreachable(aUpstream);
    }
    if (aResult.m_connectionEnded) {
      m_wasLost = true;
      m_context.m_steering.OnSuspectedCrash(aUpstream, m_fingerprint, m_isSuspect);
    }
    OnAttemptFailure(std::move(aResult));
    return;
  }
  // A response that reports a failure shows as well that the request does not crash the upstream.
  m_context.m_steering.Containment().OnCompleted(m_fingerprint, now);
  if (IsServerFailure(aResult.m_response.m_status)) {
    balancer.OnFailure(aUpstream, AttemptFailure::Error, aResult.m_load, now);
    m_mayHaveRun = true;
    m_failureResponse = aResult.m_response;
    aResult.m_failure = AttemptFailure::Error;
    OnAttemptFailure(std::move(aResult));
    return;
  }
  balancer.OnResponse(aUpstream, aQuery, aResult.m_latency, aResult.m_load, now);
  CancelAttempts();
  Finish(std::move(aResult.m_response), "completed");
}

bool RequestExchange::MayRetry(const AttemptResult& aResult) const
{
  const bool isSafe = m_route->m_kind == RequestKind::Idempotent || !m_mayHaveRun;
  const bool hasAttemptsLeft =
    m_sentAttempts < m_route->m_attempts && m_connectFailures < kMaxConnectFailures;
  // A suspect that is lost again may have ended a second upstream.
  const bool isLostSuspect = m_isSuspect && aResult.m_connectionEnded;
  return isSafe && hasAttemptsLeft && !isLostSuspect && Remaining().count() > 0;
}

bool RequestExchange::TakeRetry(const AttemptResult& aResult)
{
  if (aResult.m_failure == AttemptFailure::Unreachable ||
      aResult.m_failure == AttemptFailure::Withdrawn) {
    return true; // Nothing was sent.
  }
  return m_context.m_steering.RetryBudget(m_service->m_name)
    .TryRetry(m_context.m_clock.Monotonic());
}

void RequestExchange::OnAttemptFailure(AttemptResult aResult)
{
  if (aResult.m_failure == AttemptFailure::Lost) {
    m_mayHaveRun = true;
  }
  if (!m_attempts.empty()) {
    return; // The other attempt may still succeed.
  }
  const bool mayRetry = MayRetry(aResult);
  // A request that is not sent again must not use up the retry budget.
  if (mayRetry && (CancelIfCallerLeft() || RejectIfForbidden())) {
    return;
  }
  if (mayRetry && TakeRetry(aResult)) {
    ++m_context.m_metrics.m_retries;
    TryUpstream();
  } else if (m_failureResponse) {
    Finish(std::move(*m_failureResponse), "upstream_failure");
  } else if (m_mayHaveRun) {
    Respond(502, kOutcomeLost);
  } else if (aResult.m_failure == AttemptFailure::Rejected) {
    const bool hadFreeSlots =
      aResult.m_load &&
      aResult.m_load->m_running + aResult.m_load->m_waiting < aResult.m_load->m_slots;
    Reject("upstream_rejected",
           RetryDelayFor(hadFreeSlots ? policy::RejectionCause::SpuriousRejection
                                      : policy::RejectionCause::NoCapacity,
                         m_route->m_targetLatency));
  } else {
    Reject("upstream_unreachable",
           RetryDelayFor(policy::RejectionCause::SpuriousRejection, m_route->m_targetLatency));
  }
}

void RequestExchange::LogAttemptFailure(const std::string& aUpstream,
                                        const AttemptResult& aResult) const
{
  m_context.m_log.Write(base::LogRecord("attempt_failed")
                          .Add("id", m_request->m_id)
                          .Add("upstream", aUpstream)
                          .Add("cause", aResult.m_cause)
                          .Add("connection_ended", aResult.m_connectionEnded ? 1 : 0)
                          .Add("latency_ms", aResult.m_latency)
                          .Add("remaining_ms", Remaining()));
}

void RequestExchange::OnDeadline()
{
  if (m_quotaWaiter != 0) {
    RejectOverQuota(kQuotaRetryDelay);
    return;
  }
  if (m_heldSince && !m_mayHaveRun) {
    Reject("hold_expired",
           RetryDelayFor(policy::RejectionCause::NoCapacity, m_route->m_targetLatency));
    return;
  }
  for (const auto& attempt : m_attempts) {
    m_mayHaveRun = m_mayHaveRun || attempt->WasSent();
    MarkIfUnresponsive(*attempt);
    attempt->Cancel();
    m_context.m_steering.Balancer(m_service->m_name)
      .OnFailure(attempt->UpstreamId(),
                 AttemptFailure::TimedOut,
                 std::nullopt,
                 m_context.m_clock.Monotonic());
  }
  m_attempts.clear();
  Respond(504, "deadline");
}

milliseconds RequestExchange::RetryDelayFor(policy::RejectionCause aCause,
                                            milliseconds aExpected) const
{
  return policy::RetryDelay(
    aCause, aExpected, m_request->m_timeout.value_or(Remaining()), HashOf(m_request->m_id));
}

void RequestExchange::Reject(std::string_view aReason, milliseconds aRetryAfter)
{
  ReturnCredit();
  CallerResponse response;
  response.m_status = 503;
  response.m_reason = "Service Unavailable";
  response.m_headerLines = RetryAfterLine(aRetryAfter);
  Finish(std::move(response), aReason);
}

void RequestExchange::RejectOverQuota(milliseconds aRetryAfter)
{
  CallerResponse response;
  response.m_status = 429;
  response.m_reason = "Too Many Requests";
  response.m_headerLines = RetryAfterLine(aRetryAfter);
  Finish(std::move(response), "over_quota");
}

void RequestExchange::Respond(unsigned aStatus, std::string_view aReason)
{
  CallerResponse response;
  response.m_status = aStatus;
  response.m_reason = aStatus == 401   ? "Unauthorized"
                      : aStatus == 404 ? "Not Found"
                      : aStatus == 502 ? "Bad Gateway"
                                       : "Gateway Timeout";
  if (aStatus == 401) {
    response.m_headerLines = kChallenge;
  }
  Finish(std::move(response), aReason);
}

void RequestExchange::Finish(CallerResponse aResponse, std::string_view aOutcome)
{
  if (m_isDone) {
    return;
  }
  m_isDone = true;
  StopWaitingForQuota();
  EndHold(false);
  m_deadlineTimer.cancel();
  m_overdueTimer.cancel();
  EndSuspect();
  m_response = std::move(aResponse);
  if (m_response.m_headerLines.find(m_context.m_wire.m_requestId) == std::string::npos &&
      !m_request->m_id.empty()) {
    m_response.m_headerLines.append(m_context.m_wire.m_requestId).append(": ");
    m_response.m_headerLines.append(m_request->m_id).append("\r\n");
  }
  --m_context.m_metrics.m_inFlight;
  LogOutcome(aOutcome);
  ReleaseRequest();
  const auto onResponse = std::move(m_hooks.m_onResponse);
  onResponse();
}

void RequestExchange::ReleaseRequest()
{
  auto rest = std::make_shared<CallerRequest>();
  rest->m_id = m_request->m_id;
  rest->m_method = m_request->m_method;
  rest->m_receivedAt = m_request->m_receivedAt;
  m_request = std::move(rest);
}

void RequestExchange::LogOutcome(std::string_view aOutcome) const
{
  const auto latency = m_context.m_clock.Monotonic() - m_request->m_receivedAt;
  m_context.m_metrics.m_requestLatency.Record(latency);
  ++m_context.m_metrics.m_outcomes[std::string(aOutcome)];
  base::LogRecord record("request");
  record.Add("id", m_request->m_id)
    .Add("outcome", aOutcome)
    .Add("status", m_response.m_status)
    .Add("latency_ms", latency)
    .Add("attempts", m_tried.size());
  if (!m_tried.empty()) {
    record.Add("upstream", m_tried.back());
  } else if (m_expectedLatency.count() > 0) {
    record.Add("expected_ms", m_expectedLatency);
  }
  if (m_route) {
    record.Add("route", m_route->m_name).Add("config", m_routes->Config().m_version);
  }
  if (m_service) {
    record.Add("service", m_service->m_name);
  }
  if (m_team) {
    record.Add("team", m_team->m_name);
  }
  if (aOutcome == kOutcomeLost || aOutcome == kOutcomeQuarantined) {
    record.Add("fingerprint", m_fingerprint.ToString());
  }
  m_context.m_log.Write(record);
}

void RequestExchange::Cancel()
{
  if (m_isDone) {
    return;
  }
  m_isDone = true;
  EndHold(false);
  m_hooks.m_onResponse = nullptr;
  StopWaitingForQuota();
  if (m_tried.empty()) {
    ReturnCredit();
  }
  m_deadlineTimer.cancel();
  CancelAttempts();
  EndSuspect();
  --m_context.m_metrics.m_inFlight;
  LogOutcome("caller_left");
}

} // namespace jaylane::gateway
