#include "ServiceDispatcher.h"

#include "AttemptRules.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr const char* kAttemptHeader = "X-Attempt";
constexpr const char* kUpstreamDeadlineHeader = "X-Deadline-Ms";
// Weight of a new sample in the moving average of service times.
constexpr double kMeanServiceTimeWeight = 0.1;

std::function<std::uint64_t()> MakeRandom()
{
  return [engine = std::mt19937_64(std::random_device{}())]() mutable { return engine(); };
}

} // namespace

ServiceDispatcher::ServiceDispatcher(const VmContext& aContext,
                                     std::string aService,
                                     const settings::EffectiveSettings& aSettings,
                                     ZoneSlotPool& aSlotPool,
                                     SlotLeaseManager& aSlotLeases,
                                     RequestQuarantine& aQuarantine,
                                     proxy::UpstreamTransport& aTransport)
  : m_context(aContext)
  , m_service(std::move(aService))
  , m_slotPool(aSlotPool)
  , m_slotLeases(aSlotLeases)
  , m_quarantine(aQuarantine)
  , m_transport(aTransport)
  , m_settings(aSettings)
  , m_selector(MakeSelectorOptions(aSettings), MakeRandom())
  , m_queue({ aSettings.m_queueLimitRequests, policy::AdmissionQueue::Order::Fifo })
  , m_retryBudget(MakeRetryOptions(aSettings))
{
}

void ServiceDispatcher::RunCompletions(Completions& aCompletions)
{
  for (const auto& completion : aCompletions) {
    completion();
  }
}

void ServiceDispatcher::ApplySettings(const settings::EffectiveSettings& aSettings)
{
  std::lock_guard lock(m_mutex);
  if (aSettings.m_retryBudgetPercent != m_settings.m_retryBudgetPercent) {
    m_retryBudget = policy::RetryBudget(MakeRetryOptions(aSettings));
  }
  m_selector.SetOptions(MakeSelectorOptions(aSettings));
  m_queue.SetCapacity(aSettings.m_queueLimitRequests);
  m_settings = aSettings;
}

void ServiceDispatcher::ApplyUpstreams(const std::vector<UpstreamRef>& aUpstreams)
{
  std::vector<policy::ListedUpstream> listed;
  std::lock_guard lock(m_mutex);
  for (const UpstreamRef& upstream : aUpstreams) {
    listed.push_back(
      { upstream.m_id, upstream.m_incarnation, upstream.m_slots, upstream.m_leaving });
    UpstreamInfo& info = m_upstreams[upstream.m_id];
    info.m_address = upstream.m_address;
    info.m_incarnation = upstream.m_incarnation;
  }
  m_selector.ApplyList(listed, m_context.m_clock.Monotonic());
}

void ServiceDispatcher::ApplyProbe(const std::string& aUpstream,
                                   const std::string& aIncarnation,
                                   policy::ProbeResult aResult,
                                   std::optional<std::uint32_t> aReportedInFlight)
{
  std::lock_guard lock(m_mutex);
  const auto now = m_context.m_clock.Monotonic();
  m_selector.ApplyProbe(aUpstream, aIncarnation, aResult, now);
  if (aReportedInFlight) {
    m_selector.ApplyLoad(aUpstream, *aReportedInFlight, now);
  }
}

policy::AdmissionQueue::ServiceTimes ServiceDispatcher::ServiceTimesLocked() const
{
  std::uint32_t owned = 0;
  for (const auto& [id, info] : m_upstreams) {
    owned += m_slotPool.Owned(id);
  }
  // Assumes an exponential distribution, whose 90% quantile is 2.3 times its mean.
  const auto bound = m_meanServiceTime * 23 / 10;
  return { bound, m_meanServiceTime / std::max(1U, owned) };
}

bool ServiceDispatcher::CanGetSlots() const
{
  std::lock_guard lock(m_mutex);
  return CanGetSlotsLocked();
}

bool ServiceDispatcher::CanGetSlotsLocked() const
{
  return m_upstreams.empty() || m_slotLeases.LeaseCovers(m_settings.m_requestTimeout) ||
         std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& aUpstream) {
           return m_slotPool.Owned(aUpstream.first) > 0;
         });
}

std::set<std::string> ServiceDispatcher::SlotOwners() const
{
  std::lock_guard lock(m_mutex);
  std::set<std::string> owners;
  for (const auto& [id, info] : m_upstreams) {
    owners.merge(m_slotPool.OwnersOf(id));
  }
  return owners;
}

void ServiceDispatcher::Submit(DispatchJob aJob)
{
  Completions completions;
  {
    std::lock_guard lock(m_mutex);
    const auto now = m_context.m_clock.Monotonic();
    const std::uint64_t id = m_nextJob++;
    const auto deadline = std::min(aJob.m_deadline, now + m_settings.m_queueLimitWait);
    m_retryBudget.OnRequest(now);
    m_jobs.emplace(id, Job{ std::move(aJob), 0, false, {}, {} });
    if (m_queue.Offer({ id, deadline }, { {}, ServiceTimesLocked().m_slotInterval }, now)) {
      DispatchQueuedLocked(completions);
    } else {
      FinishLocked(
        id,
        { Outcome::NotRun, 429, "overloaded", "the queue cannot meet the deadline", 0, {} },
        completions);
    }
  }
  RunCompletions(completions);
}

void ServiceDispatcher::Tick()
{
  Completions completions;
  {
    std::lock_guard lock(m_mutex);
    DispatchQueuedLocked(completions);
  }
  RunCompletions(completions);
}

void ServiceDispatcher::DispatchQueuedLocked(Completions& aCompletions)
{
  const auto now = m_context.m_clock.Monotonic();
  for (const auto& late : m_queue.DropLate({ {}, ServiceTimesLocked().m_slotInterval }, now)) {
    FinishLocked(late.m_id,
                 { Outcome::NotRun, 429, "overloaded", "no slot became free in time", 0, {} },
                 aCompletions);
  }
  MoveQueuedLocked(aCompletions);
  if (m_runningSuspects.empty()) {
    RequeueDeferredLocked(aCompletions);
  }
  while (m_queue.size() > 0 && DispatchNextLocked(aCompletions)) {
  }
  UpdateBorrowingLocked();
}

void ServiceDispatcher::MoveQueuedLocked(Completions& aCompletions)
{
  if (m_queue.size() == 0 || CanGetSlotsLocked()) {
    return;
  }
  for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
    Job& job = entry->second;
    if (job.m_attempts == 0 && job.m_request.m_moveElsewhere && m_queue.Cancel(entry->first)) {
      aCompletions.push_back(std::move(job.m_request.m_moveElsewhere));
      entry = m_jobs.erase(entry);
    } else {
      ++entry;
    }
  }
}

void ServiceDispatcher::RequeueDeferredLocked(Completions& aCompletions)
{
  const auto now = m_context.m_clock.Monotonic();
  for (const std::uint64_t id : std::exchange(m_deferredSuspects, {})) {
    const Job& job = m_jobs.at(id);
    if (!m_queue.Offer({ id, job.m_request.m_deadline }, {}, now)) {
      FinishLocked(
        id, { Outcome::NotRun, 429, "overloaded", "the deadline passed", 0, {}, {} }, aCompletions);
    }
  }
}

void ServiceDispatcher::UpdateBorrowingLocked()
{
  for (const policy::UpstreamState& upstream : m_selector.Upstreams()) {
    const auto phase = upstream.Phase();
    const bool usable =
      phase == policy::UpstreamPhase::Active || phase == policy::UpstreamPhase::Warming;
    const bool mayBorrow = m_slotLeases.LeaseCovers(m_settings.m_requestTimeout);
    if (m_queue.size() > 0 && usable && mayBorrow) {
      m_slotLeases.RequestSlots(upstream.m_id, static_cast<std::uint32_t>(m_queue.size()));
    } else {
      m_slotLeases.ReturnUnusedSlots(upstream.m_id);
    }
  }
}

std::optional<policy::UpstreamChoice> ServiceDispatcher::PickUpstreamLocked(
  const std::vector<std::string>& aExcluded,
  base::MonotonicTime aDeadline)
{
  const auto now = m_context.m_clock.Monotonic();
  const auto timeout = aDeadline - now;
  const auto hasFree = [&](std::string_view aId) {
    const auto found = m_upstreams.find(std::string(aId));
    if (found == m_upstreams.end() || !m_slotPool.HasFree(found->first, timeout)) {
      return false;
    }
    const UpstreamInfo& info = found->second;
    const auto* state = m_selector.Find(aId);
    return info.m_inFlight < info.m_limit.Limit(state ? state->m_slots : 1);
  };
  return m_selector.Pick(hasFree, aExcluded, now);
}

std::optional<policy::UpstreamChoice> ServiceDispatcher::PickUpstreamForLocked(
  std::uint64_t aJob,
  const policy::UpstreamChoice& aFallback)
{
  const Job& job = m_jobs.at(aJob);
  std::vector<std::string> excluded = job.m_triedUpstreams;
  const bool suspect = m_quarantine.IsSuspect(job.m_request.m_fingerprint);
  if (suspect) {
    // Suspect requests run on different upstreams, so that a crash can be attributed to one of
    // them, and one copy at a time, so that copies cannot crash several upstreams.
    for (const auto& [fingerprint, upstream] : m_runningSuspects) {
      excluded.push_back(upstream);
    }
  }
  const auto other =
    excluded.empty() ? std::nullopt : PickUpstreamLocked(excluded, job.m_request.m_deadline);
  const bool copyRunning = m_runningSuspects.count(job.m_request.m_fingerprint) > 0;
  if (suspect && (copyRunning || (!other && !m_runningSuspects.empty()))) {
    m_deferredSuspects.push_back(aJob);
    return std::nullopt;
  }
  return other ? other : aFallback;
}

bool ServiceDispatcher::DispatchNextLocked(Completions& aCompletions)
{
  // The deadline of the next request is not known yet, so the latest possible one is assumed.
  const auto latestDeadline = m_context.m_clock.Monotonic() + m_settings.m_requestTimeout;
  const auto fallback = PickUpstreamLocked({}, latestDeadline);
  if (!fallback) {
    return false;
  }
  const auto entry = m_queue.Take();
  if (!entry) {
    return false;
  }
  const auto choice = PickUpstreamForLocked(entry->m_id, *fallback);
  return !choice || StartAttemptLocked(entry->m_id, *choice, aCompletions);
}

bool ServiceDispatcher::StartAttemptLocked(std::uint64_t aJob,
                                           const policy::UpstreamChoice& aChoice,
                                           Completions& aCompletions)
{
  Job& job = m_jobs.at(aJob);
  UpstreamInfo& info = m_upstreams.at(aChoice.m_id);
  const auto now = m_context.m_clock.Monotonic();
  const auto ticket = m_slotPool.Acquire(aChoice.m_id, job.m_request.m_deadline - now);
  if (!ticket) {
    FinishLocked(aJob, { Outcome::NotRun, 429, "overloaded", "no free slot", 0, {} }, aCompletions);
    return true;
  }
  ++job.m_attempts;
  job.m_triedUpstreams.push_back(aChoice.m_id);
  ++info.m_inFlight;
  const bool isSuspect = m_quarantine.IsSuspect(job.m_request.m_fingerprint);
  if (isSuspect) {
    m_runningSuspects[job.m_request.m_fingerprint] = aChoice.m_id;
  }
  m_selector.Dispatched(aChoice);
  const auto attempt = std::make_shared<Attempt>(
    Attempt{ aJob,
             aChoice,
             info.m_incarnation,
             fmt::format("{}-{}", m_context.m_incarnationText.substr(0, 12), m_nextAttempt++),
             *ticket,
             now,
             std::min(job.m_request.m_deadline, ticket->m_deadline),
             isSuspect });
  const bool started =
    m_transport.Start(job.m_request.m_exchange,
                      MakeAttemptSpecLocked(job, info, attempt),
                      [self = shared_from_this(), attempt](const proxy::AttemptOutcome& aOutcome) {
                        self->OnAttemptDone(*attempt, aOutcome);
                      });
  if (!started) {
    m_runningSuspects.erase(job.m_request.m_fingerprint);
    m_slotPool.Release(*ticket);
    --info.m_inFlight;
    m_selector.Finished(aChoice, policy::DispatchResult::Cancelled, {}, now);
    FinishLocked(
      aJob, { Outcome::NotRun, 429, "overloaded", "too many attempts", 0, {} }, aCompletions);
  }
  return true;
}

proxy::AttemptSpec ServiceDispatcher::MakeAttemptSpecLocked(const Job& aJob,
                                                            const UpstreamInfo& aInfo,
                                                            std::shared_ptr<const Attempt> aAttempt)
{
  proxy::AttemptSpec spec;
  spec.m_address = aInfo.m_address;
  spec.m_target = aJob.m_request.m_target;
  spec.m_headers = aJob.m_request.m_headers;
  spec.m_deadline = aAttempt->m_deadline;
  spec.m_reuseConnection = aJob.m_request.m_idempotent;
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    aAttempt->m_deadline - m_context.m_clock.Monotonic());
  spec.m_headers.Add(kUpstreamDeadlineHeader, fmt::format("{}", remaining.count()));
  spec.m_headers.Add(kAttemptHeader, aAttempt->m_attemptId);
  spec.m_maySend = [self = shared_from_this(), aAttempt] {
    const auto now = self->m_context.m_clock.Monotonic();
    return self->m_slotPool.MayDispatch(aAttempt->m_ticket, aAttempt->m_deadline - now);
  };
  spec.m_onHead =
    [self = shared_from_this(), aAttempt, attempts = aJob.m_attempts](proxy::ResponseHead& aHead) {
      return self->CheckResponseHead(*aAttempt, attempts, aHead);
    };
  return spec;
}

bool ServiceDispatcher::IsRefusal(const proxy::ResponseHead& aHead) const
{
  std::lock_guard lock(m_mutex);
  const auto refusal = aHead.m_headers.Find(m_settings.m_refusalHeaderName);
  return aHead.m_status == 503 && refusal == m_settings.m_refusalHeaderValue;
}

proxy::ResponseDisposition ServiceDispatcher::CheckResponseHead(const Attempt& aAttempt,
                                                                unsigned aAttempts,
                                                                proxy::ResponseHead& aHead) const
{
  if (IsRefusal(aHead)) {
    return proxy::ResponseDisposition::Rejected;
  }
  const auto echoed = aHead.m_headers.Find(kAttemptHeader);
  if (echoed && *echoed != aAttempt.m_attemptId) {
    return proxy::ResponseDisposition::Invalid;
  }
  // These headers are reserved for entry VMs; an upstream must not be able to forge them.
  for (const char* name : { kOutcomeHeader, kErrorHeader, kAttemptsHeader, kUpstreamHeader }) {
    aHead.m_headers.Remove(name);
  }
  aHead.m_headers.Add(kOutcomeHeader, OutcomeName(Outcome::Completed));
  aHead.m_headers.Add(kAttemptsHeader, fmt::format("{}", aAttempts));
  aHead.m_headers.Add(kUpstreamHeader, aAttempt.m_choice.m_id);
  aHead.m_headers.Add(kVmHeader, m_context.m_settings.m_id);
  return proxy::ResponseDisposition::Forward;
}

void ServiceDispatcher::RecordAttemptLocked(const Attempt& aAttempt,
                                            const proxy::AttemptOutcome& aOutcome)
{
  const auto now = m_context.m_clock.Monotonic();
  m_slotPool.Release(aAttempt.m_ticket);
  m_selector.Finished(aAttempt.m_choice, ToDispatchResult(aOutcome), aOutcome.m_duration, now);
  UpstreamInfo& info = m_upstreams.at(aAttempt.m_choice.m_id);
  const auto* state = m_selector.Find(aAttempt.m_choice.m_id);
  const std::uint32_t slots = state ? state->m_slots : 1;
  if (aOutcome.m_result == proxy::AttemptResult::Completed) {
    info.m_limit.OnCompleted(aAttempt.m_startedAt, now, info.m_inFlight, slots);
    m_latency.Record(aOutcome.m_duration);
    m_meanServiceTime += std::chrono::duration_cast<std::chrono::nanoseconds>(
      kMeanServiceTimeWeight * (aOutcome.m_duration - m_meanServiceTime));
  } else if (aOutcome.m_result == proxy::AttemptResult::Rejected ||
             aOutcome.m_result == proxy::AttemptResult::TimedOut) {
    info.m_limit.OnShed(aAttempt.m_startedAt, now, slots);
  }
  m_invalidResponses += aOutcome.m_result == proxy::AttemptResult::InvalidResponse;
  --info.m_inFlight;
}

void ServiceDispatcher::UpdateQuarantine(const Attempt& aAttempt,
                                         const policy::RequestFingerprint& aFingerprint,
                                         const proxy::AttemptOutcome& aOutcome)
{
  if (aOutcome.m_result == proxy::AttemptResult::ConnectionLost) {
    m_quarantine.RecordLoss(
      aFingerprint,
      policy::QuarantineList::HashUpstream(aAttempt.m_choice.m_id, aAttempt.m_incarnation),
      aAttempt.m_isSuspect);
  } else if (aOutcome.m_result == proxy::AttemptResult::Completed) {
    m_quarantine.RecordCompleted(aFingerprint);
  }
}

bool ServiceDispatcher::MayRetryLocked(const Job& aJob, const proxy::AttemptOutcome& aOutcome)
{
  using proxy::AttemptResult;
  const bool isFinal = aOutcome.m_result == AttemptResult::Completed ||
                       aOutcome.m_result == AttemptResult::Truncated ||
                       aOutcome.m_result == AttemptResult::CallerGone;
  const bool safe = IsProvenNotRun(aOutcome.m_result) || aJob.m_request.m_idempotent;
  const auto now = m_context.m_clock.Monotonic();
  return !isFinal && safe && aJob.m_attempts < m_settings.m_retryAttempts &&
         now < aJob.m_request.m_deadline && aJob.m_request.m_exchange->CanReplay() &&
         !aJob.m_request.m_exchange->CallerGone() &&
         !m_quarantine.IsQuarantined(aJob.m_request.m_fingerprint) && m_retryBudget.TryRetry(now);
}

RequestResult ServiceDispatcher::MakeResult(const Job& aJob,
                                            const Attempt& aAttempt,
                                            const proxy::AttemptOutcome& aOutcome)
{
  RequestResult result = ToRequestResult(aOutcome, aJob.m_mayHaveRun);
  result.m_attempts = aJob.m_attempts;
  result.m_upstream = aAttempt.m_choice.m_id;
  return result;
}

void ServiceDispatcher::OnAttemptDone(const Attempt& aAttempt,
                                      const proxy::AttemptOutcome& aOutcome)
{
  Completions completions;
  {
    std::lock_guard lock(m_mutex);
    RecordAttemptLocked(aAttempt, aOutcome);
    Job& job = m_jobs.at(aAttempt.m_job);
    job.m_upstreamTime += aOutcome.m_duration;
    job.m_mayHaveRun |= !IsProvenNotRun(aOutcome.m_result);
    m_runningSuspects.erase(job.m_request.m_fingerprint);
    UpdateQuarantine(aAttempt, job.m_request.m_fingerprint, aOutcome);
    const auto now = m_context.m_clock.Monotonic();
    const bool requeued = MayRetryLocked(job, aOutcome) &&
                          m_queue.Offer({ aAttempt.m_job, job.m_request.m_deadline }, {}, now);
    if (!requeued) {
      FinishLocked(aAttempt.m_job, MakeResult(job, aAttempt, aOutcome), completions);
    }
    DispatchQueuedLocked(completions);
  }
  RunCompletions(completions);
}

void ServiceDispatcher::FinishLocked(std::uint64_t aJob,
                                     RequestResult aResult,
                                     Completions& aCompletions)
{
  const auto found = m_jobs.find(aJob);
  const Job& job = found->second;
  // The request may have been executed by an earlier attempt, before it was dropped from the queue.
  if (job.m_mayHaveRun && aResult.m_outcome == Outcome::NotRun) {
    aResult.m_outcome = Outcome::Unknown;
    aResult.m_status = 502;
  }
  aResult.m_attempts = job.m_attempts;
  aResult.m_upstreamTime = job.m_upstreamTime;
  aCompletions.push_back([done = std::move(found->second.m_request.m_done),
                          result = std::move(aResult)] { done(result); });
  m_jobs.erase(found);
}

Json::Value ServiceDispatcher::Status() const
{
  std::lock_guard lock(m_mutex);
  Json::Value json(Json::objectValue);
  json["service"] = m_service;
  json["queued"] = Json::UInt64(m_queue.size());
  json["requests"] = Json::UInt64(m_jobs.size());
  json["invalid_responses"] = Json::UInt64(m_invalidResponses);
  json["latency"] = m_latency.ToJson();
  json["upstreams"] = Json::arrayValue;
  static constexpr const char* kPhases[] = { "joining", "warming", "active",
                                             "suspect", "leaving", "gone" };
  for (const policy::UpstreamState& upstream : m_selector.Upstreams()) {
    Json::Value entry(Json::objectValue);
    entry["id"] = upstream.m_id;
    entry["state"] = kPhases[static_cast<std::size_t>(upstream.Phase())];
    entry["in_flight"] = upstream.m_inFlight;
    entry["slots"] = upstream.m_slots;
    entry["owned"] = m_slotPool.Owned(upstream.m_id);
    json["upstreams"].append(entry);
  }
  return json;
}

} // namespace jaylane::entry
