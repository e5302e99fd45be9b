#include "RequestRouter.h"

#include "RequestForwarder.h"

#include <algorithm>
#include <fmt/format.h>
#include <json/writer.h>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::chrono::seconds kRetryAfter{ 1 };

RequestResult NotRun(unsigned aStatus, std::string aError, std::string aMessage)
{
  return { Outcome::NotRun, aStatus, std::move(aError), std::move(aMessage), 0, {} };
}

RequestResult Unknown(std::string aError, std::string aMessage)
{
  return { Outcome::Unknown, 502, std::move(aError), std::move(aMessage), 0, {} };
}

std::string ErrorBody(const RequestResult& aResult)
{
  Json::Value body;
  body["error"]["code"] = aResult.m_error;
  body["error"]["message"] = aResult.m_message;
  body["outcome"] = OutcomeName(aResult.m_outcome);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, body);
}

policy::ExecutionRecord ToRecord(const RequestResult& aResult)
{
  switch (aResult.m_outcome) {
    case Outcome::Completed:
      return { policy::KeyState::Completed, static_cast<std::uint16_t>(aResult.m_status) };
    case Outcome::NotRun:
      return { policy::KeyState::NotRun, 0 };
    case Outcome::Unknown:
      break;
  }
  return { policy::KeyState::Unknown, 0 };
}

/// @return the result for a repeated key whose first request has finished.
RequestResult DuplicateResult(const policy::ExecutionRecord& aRecord)
{
  switch (aRecord.m_state) {
    case policy::KeyState::Completed:
      return { Outcome::Completed,
               409,
               "already-completed",
               fmt::format("the request was executed; its response had status {}",
                           aRecord.m_status),
               0,
               {} };
    case policy::KeyState::NotRun:
      return NotRun(503, "already-refused", "this key was refused; use a new one");
    case policy::KeyState::Running:
    case policy::KeyState::Unknown:
      break;
  }
  return Unknown("outcome-unknown", "the outcome of an earlier copy is not known");
}

} // namespace

RequestRouter::RequestRouter(const VmContext& aContext, Dependencies aDependencies)
  : m_context(aContext)
  , m_deps(std::move(aDependencies))
{
}

void RequestRouter::Respond(proxy::Exchange& aExchange, const RequestResult& aResult) const
{
  proxy::ResponseHead head;
  head.m_status = aResult.m_status;
  head.m_headers.Add("Content-Type", "application/json");
  head.m_headers.Add(kOutcomeHeader, OutcomeName(aResult.m_outcome));
  head.m_headers.Add(kErrorHeader, aResult.m_error);
  head.m_headers.Add(kAttemptsHeader, fmt::format("{}", aResult.m_attempts));
  head.m_headers.Add(kVmHeader, m_context.m_settings.m_id);
  if (!aResult.m_upstream.empty()) {
    head.m_headers.Add(kUpstreamHeader, aResult.m_upstream);
  }
  if (aResult.m_outcome == Outcome::NotRun && aResult.m_status != 400 && aResult.m_status != 404) {
    head.m_headers.Add("Retry-After", fmt::format("{}", kRetryAfter.count()));
  }
  aExchange.Respond(std::move(head), ErrorBody(aResult));
}

void RequestRouter::Handle(std::shared_ptr<proxy::Exchange> aExchange)
{
  auto parsed = ParseRequest(m_deps.m_config.Current(), m_context, *aExchange);
  const auto done = [this, aExchange](const RequestResult& aResult) {
    m_deps.m_metrics.Record(aResult, m_context.m_clock.Monotonic() - aExchange->ReceivedAt());
    // Has no effect if the response of an upstream was forwarded.
    Respond(*aExchange, aResult);
  };
  if (const auto* refusal = std::get_if<RequestResult>(&parsed)) {
    Refuse(*aExchange, *refusal, done);
    return;
  }
  auto request = std::make_shared<const Request>(
    Request{ std::move(aExchange), std::move(std::get<ParsedRequest>(parsed)) });
  if (m_deps.m_quarantine.IsQuarantined(request->m_parsed.m_fingerprint)) {
    Refuse(*request->m_exchange,
           NotRun(503, "quarantined", "this request has crashed several upstreams"),
           done);
    return;
  }
  Admit(request, done);
}

void RequestRouter::Refuse(const proxy::Exchange& aExchange,
                           const RequestResult& aRefusal,
                           const Done& aDone)
{
  const auto key = UncheckedScopedKey(m_context, aExchange.Request());
  if (!key) {
    aDone(aRefusal);
    return;
  }
  const auto admission = m_deps.m_ledger.Begin(*key);
  switch (admission.m_admission) {
    case policy::Admission::Run:
      m_deps.m_ledger.Finish(*key, ToRecord(aRefusal));
      aDone(aRefusal);
      return;
    case policy::Admission::RefusedFull:
      aDone(aRefusal);
      return;
    case policy::Admission::Finished:
      aDone(DuplicateResult(admission.m_record));
      return;
    case policy::Admission::Running:
      aDone(Unknown("in-progress", "an earlier copy of this request is in progress"));
      return;
    case policy::Admission::Expired:
    case policy::Admission::Foreign:
    case policy::Admission::Sealed:
      break;
  }
  aDone(Unknown(aRefusal.m_error,
                aRefusal.m_message + "; the VM that knows the key was not asked for its outcome"));
}

void RequestRouter::Admit(const RequestPtr& aRequest, Done aDone)
{
  const ParsedRequest& parsed = aRequest->m_parsed;
  if (parsed.m_admitted || !parsed.m_key || parsed.m_idempotent) {
    Execute(aRequest, std::move(aDone));
  } else if (const auto* scoped = std::get_if<policy::ExecutionKey>(&*parsed.m_key)) {
    AdmitScoped(aRequest, *scoped, std::move(aDone));
  } else {
    AdmitClaimed(aRequest, std::get<policy::ClaimKey>(*parsed.m_key), std::move(aDone));
  }
}

void RequestRouter::AdmitScoped(const RequestPtr& aRequest,
                                const policy::ExecutionKey& aKey,
                                Done aDone)
{
  const auto admission = m_deps.m_ledger.Begin(aKey);
  switch (admission.m_admission) {
    case policy::Admission::Run:
      Execute(aRequest, [this, aKey, done = std::move(aDone)](const RequestResult& aResult) {
        m_deps.m_ledger.Finish(aKey, ToRecord(aResult));
        done(aResult);
      });
      return;
    case policy::Admission::Running:
      aDone(Unknown("in-progress", "an earlier copy of this request is in progress"));
      return;
    case policy::Admission::Finished:
      aDone(DuplicateResult(admission.m_record));
      return;
    case policy::Admission::RefusedFull:
      aDone(NotRun(503, "ledger-full", "too many keys; look up the service again"));
      return;
    case policy::Admission::Expired:
      aDone(Unknown("scope-expired", "the scope of the key has expired"));
      return;
    case policy::Admission::Foreign:
    case policy::Admission::Sealed:
      break;
  }
  ForwardToScope(aRequest, aKey, std::move(aDone));
}

void RequestRouter::AdmitClaimed(const RequestPtr& aRequest,
                                 const policy::ClaimKey& aKey,
                                 Done aDone)
{
  const auto accepted =
    m_deps.m_claims.Submit(aKey.m_text, [this, aRequest, aDone](ClaimQueue::Result aResult) {
      switch (aResult) {
        case ClaimQueue::Result::Claimed:
          Execute(aRequest, aDone);
          return;
        case ClaimQueue::Result::AlreadyClaimed:
          aDone(Unknown("already-claimed", "this key was used before; its outcome is not kept"));
          return;
        case ClaimQueue::Result::Unavailable:
          break;
      }
      aDone(NotRun(503, "store-unavailable", "keys without a scope need the platform's store"));
    });
  if (!accepted) {
    aDone(NotRun(429, "overloaded", "too many keys without a scope; use a key of a scope"));
  }
}

bool RequestRouter::IsLegal(const ParsedRequest& aRequest, const std::string& aRegion) const
{
  return aRequest.m_service->m_legal.Allows(
    aRequest.m_origin.m_region, aRegion, m_context.m_clock.Wall());
}

bool RequestRouter::MayTransit(const ParsedRequest& aRequest) const
{
  const auto now = m_context.m_clock.Wall() + ConfigState::kMaxClockDifference;
  const std::string& own = m_context.m_site.m_region;
  for (const settings::Law& law : aRequest.m_config->m_document.m_tree.Laws()) {
    const bool applies =
      law.m_effectiveAt <= now && law.m_originRegion == aRequest.m_origin.m_region &&
      (law.m_service.empty() || law.m_service == aRequest.m_service->m_service.m_name);
    if (applies && law.m_transitRegions &&
        std::count(law.m_transitRegions->begin(), law.m_transitRegions->end(), own) == 0) {
      return false;
    }
  }
  return true;
}

void RequestRouter::Execute(const RequestPtr& aRequest, Done aDone)
{
  const ParsedRequest& parsed = aRequest->m_parsed;
  if (parsed.m_admitted) {
    ExecuteHere(aRequest, std::move(aDone));
    return;
  }
  const std::string& service = parsed.m_service->m_service.m_name;
  const auto table = m_deps.m_steering.Applied(service);
  const auto origin = table ? table->FindOrigin(parsed.m_origin.m_region) : std::nullopt;
  if (!origin) {
    aDone(NotRun(503, "no-table", "this VM has not received the steering table yet"));
    return;
  }
  const policy::SiteId site = table->SiteAt(table->Lookup({ parsed.m_origin.m_block, *origin }));
  m_deps.m_failoverLimiters.CountRequest(service);
  aDone = [this, aRequest, done = std::move(aDone)](const RequestResult& aResult) {
    const ParsedRequest& measured = aRequest->m_parsed;
    m_deps.m_loadMeter.Record(
      measured.m_service->m_service.m_name,
      measured.m_origin.m_region,
      policy::SteeringTable::BucketPartOf(measured.m_origin.m_block).m_bucket,
      aResult.m_upstreamTime);
    done(aResult);
  };
  if (site != m_context.m_site) {
    ExecuteElsewhere(aRequest, site, std::move(aDone));
  } else if (const auto peer = PickPeerWithSlots(service)) {
    Forward(aRequest, *peer, false, std::move(aDone));
  } else {
    ExecuteHere(aRequest, aDone, [this, aRequest, service, aDone] {
      if (const auto owner = PickPeerWithSlots(service)) {
        Forward(aRequest, *owner, false, aDone);
      } else {
        ExecuteHere(aRequest, aDone);
      }
    });
  }
}

void RequestRouter::ExecuteHere(const RequestPtr& aRequest,
                                Done aDone,
                                std::function<void()> aMoveElsewhere)
{
  const ParsedRequest& parsed = aRequest->m_parsed;
  if (!IsLegal(parsed, m_context.m_site.m_region)) {
    aDone(NotRun(403, "legal", "a legal rule forbids this region to serve the caller"));
    return;
  }
  const auto dispatcher = m_deps.m_findDispatcher(parsed.m_service->m_service.m_name);
  if (!dispatcher) {
    aDone(NotRun(503, "no-upstream", "this zone has no upstream of the service"));
    return;
  }
  DispatchJob job;
  job.m_exchange = aRequest->m_exchange;
  job.m_target = parsed.m_upstreamTarget;
  job.m_headers = UpstreamHeaders(aRequest->m_exchange->Request().m_headers);
  if (!parsed.m_keyText.empty()) {
    job.m_headers.Add("X-Request-Key", parsed.m_keyText);
  }
  job.m_idempotent = parsed.m_idempotent;
  job.m_deadline = parsed.m_deadline;
  job.m_fingerprint = parsed.m_fingerprint;
  job.m_done = std::move(aDone);
  job.m_moveElsewhere = std::move(aMoveElsewhere);
  dispatcher->Submit(std::move(job));
}

void RequestRouter::ExecuteElsewhere(const RequestPtr& aRequest,
                                     const policy::SiteId& aSite,
                                     Done aDone)
{
  if (!MayTransit(aRequest->m_parsed)) {
    aDone(NotRun(403, "legal", "a legal rule forbids this region to forward the request"));
    return;
  }
  if (!IsLegal(aRequest->m_parsed, aSite.m_region)) {
    aDone(NotRun(403, "legal", "a legal rule forbids the region that the request is steered to"));
    return;
  }
  const auto vm = PickVm(aSite, nullptr);
  if (vm) {
    Forward(aRequest, *vm, false, std::move(aDone));
  } else {
    FailOver(aRequest, std::move(aDone));
  }
}

void RequestRouter::FailOver(const RequestPtr& aRequest, Done aDone)
{
  const ParsedRequest& parsed = aRequest->m_parsed;
  if (!IsLegal(parsed, m_context.m_site.m_region)) {
    aDone(NotRun(503, "site-unavailable", "the site is unavailable and this region may not serve"));
    return;
  }
  if (!m_deps.m_failoverLimiters.TryAcquire(parsed.m_service->m_service.m_name)) {
    aDone(NotRun(503, "failover-cap", "the site is unavailable and the failover cap is used up"));
    return;
  }
  ExecuteHere(aRequest, std::move(aDone));
}

std::optional<EntryVmRef> RequestRouter::PickPeerWithSlots(const std::string& aService) const
{
  const auto dispatcher = m_deps.m_findDispatcher(aService);
  if (!dispatcher || dispatcher->CanGetSlots()) {
    return std::nullopt;
  }
  const auto owners = dispatcher->SlotOwners();
  return PickVm(m_context.m_site,
                [&](const EntryVmRef& aVm) { return owners.count(aVm.m_incarnation) > 0; });
}

std::optional<EntryVmRef> RequestRouter::PickVm(
  const policy::SiteId& aSite,
  const std::function<bool(const EntryVmRef&)>& aFilter) const
{
  const auto view = m_deps.m_directory.Current();
  const auto found = view->m_vmsBySite.find(aSite);
  if (found == view->m_vmsBySite.end() || found->second.empty()) {
    return std::nullopt;
  }
  const auto& indices = found->second;
  // Starting at an index that depends on the time spreads load without shared state.
  const auto start =
    static_cast<std::size_t>(m_context.m_clock.Monotonic().time_since_epoch().count() / 1000);
  const EntryVmRef* usable = nullptr;
  for (std::size_t i = 0; i < indices.size(); ++i) {
    const EntryVmRef& vm = view->m_entryVms[indices[(start + i) % indices.size()]];
    if (vm.m_incarnation == m_context.m_incarnationText || (aFilter && !aFilter(vm))) {
      continue;
    }
    if (m_deps.m_directory.IsReady(vm)) {
      return vm;
    }
    if (m_deps.m_directory.IsUsable(vm)) {
      usable = &vm;
    }
  }
  // The news that a VM has received slots takes some rounds, so it may be ready by now.
  return usable ? std::optional(*usable) : std::nullopt;
}

void RequestRouter::Forward(const RequestPtr& aRequest,
                            const EntryVmRef& aVm,
                            bool aTargetChecksKey,
                            Done aDone)
{
  ForwardTarget target{ aVm, {}, aTargetChecksKey };
  const std::string& region = aVm.m_site.m_region;
  if (region != m_context.m_site.m_region) {
    const bool bulk = aRequest->m_parsed.m_service->m_service.m_bulk;
    target.m_uploadAllowance = [this, region, bulk](std::size_t aReady) {
      return m_deps.m_linkLimiter.Acquire(region, bulk, aReady);
    };
  }
  const bool started = StartForward(
    m_context, m_deps.m_transport, aRequest->m_exchange, aRequest->m_parsed, target, aDone);
  if (!started) {
    const std::string reason = "too many requests in flight";
    // The request may have run at the VM that owns the key and could not be asked.
    aDone(aTargetChecksKey ? Unknown("overloaded", reason) : NotRun(429, "overloaded", reason));
  }
}

void RequestRouter::ForwardToScope(const RequestPtr& aRequest,
                                   const policy::ExecutionKey& aKey,
                                   Done aDone)
{
  const std::string scope = aKey.m_scope.ToString();
  const std::string incarnation = scope.substr(0, scope.find('-'));
  const auto view = m_deps.m_directory.Current();
  const std::string successor = m_deps.m_successorOf(incarnation);
  const std::string& owner = successor.empty() ? incarnation : successor;
  const EntryVmRef* vm = view->FindIncarnation(owner);
  const auto hops = aRequest->m_exchange->Request().m_headers.Find(kScopeHopHeader);
  if (!vm || hops || owner == m_context.m_incarnationText) {
    aDone(Unknown("scope-gone", "the VM of the key's scope is gone; look up the service again"));
    return;
  }
  Forward(aRequest, *vm, true, std::move(aDone));
}

} // namespace jaylane::entry
