#pragma once

#include "Directory.h"
#include "Outcome.h"
#include "RequestQuarantine.h"
#include "SlotLeaseManager.h"
#include "VmContext.h"
#include "ZoneSlotPool.h"
#include "jaylane/base/LatencyHistogram.h"
#include "jaylane/policy/AdmissionQueue.h"
#include "jaylane/policy/ConcurrencyLimit.h"
#include "jaylane/policy/RetryBudget.h"
#include "jaylane/policy/UpstreamSelector.h"
#include "jaylane/proxy/UpstreamTransport.h"
#include "jaylane/settings/EffectiveSettings.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace jaylane::entry {

/// A request to be executed by an upstream of this zone.
struct DispatchJob
{
  std::shared_ptr<proxy::Exchange> m_exchange;
  /// Path and query of the request to the upstream.
  std::string m_target;
  proxy::HeaderList m_headers;
  bool m_idempotent = false;
  base::MonotonicTime m_deadline;
  policy::RequestFingerprint m_fingerprint;
  /// Called exactly once. If no response of an upstream was forwarded, the callee must write one
  /// to the exchange.
  std::function<void(const RequestResult&)> m_done;
  /// Called instead of m_done, without an attempt, if this VM loses its last slot of the service
  /// while the request is queued. Empty for a request that must stay.
  std::function<void()> m_moveElsewhere;
};

/// Admits, queues and dispatches the requests of one service to this zone's upstreams.
/// Thread safe.
class ServiceDispatcher : public std::enable_shared_from_this<ServiceDispatcher>
{
public:
  ServiceDispatcher(const VmContext& aContext,
                    std::string aService,
                    const settings::EffectiveSettings& aSettings,
                    ZoneSlotPool& aSlotPool,
                    SlotLeaseManager& aSlotLeases,
                    RequestQuarantine& aQuarantine,
                    proxy::UpstreamTransport& aTransport);

  /// Applies changed settings. Requests in progress keep their deadlines.
  void ApplySettings(const settings::EffectiveSettings& aSettings);

  /// Applies a new VM list.
  /// @param aUpstreams this service's upstreams in this zone.
  void ApplyUpstreams(const std::vector<UpstreamRef>& aUpstreams);
  /// Applies the result of a probe.
  /// @param aReportedInFlight number of requests in flight, if the upstream reports it.
  void ApplyProbe(const std::string& aUpstream,
                  const std::string& aIncarnation,
                  policy::ProbeResult aResult,
                  std::optional<std::uint32_t> aReportedInFlight);

  /// Queues a request, or finishes it as not-run if the queue is full or the request cannot meet
  /// its deadline.
  void Submit(DispatchJob aJob);

  /// @return false if the zone has upstreams of the service, but this VM owns none of their slots
  /// and
  ///   its requests may take longer than a lease, so that it cannot borrow any either.
  bool CanGetSlots() const;

  /// @return incarnations of the VMs that own slots of this service's upstreams.
  std::set<std::string> SlotOwners() const;

  /// Drops queued requests that can no longer meet their deadline and dispatches others to free
  /// slots. To be called periodically.
  void Tick();

  /// @return {"service","queued","requests","invalid_responses","latency","upstreams":[...]}.
  Json::Value Status() const;

private:
  struct Job
  {
    DispatchJob m_request;
    unsigned m_attempts = 0;
    /// Whether an attempt may have executed the request.
    bool m_mayHaveRun = false;
    /// Total duration of the attempts.
    std::chrono::nanoseconds m_upstreamTime{ 0 };
    std::vector<std::string> m_triedUpstreams;
  };

  struct Attempt
  {
    std::uint64_t m_job = 0;
    policy::UpstreamChoice m_choice;
    /// Incarnation of the upstream, as listed.
    std::string m_incarnation;
    std::string m_attemptId;
    policy::SlotTicket m_ticket;
    base::MonotonicTime m_startedAt;
    base::MonotonicTime m_deadline;
    /// See QuarantineList::IsSuspect().
    bool m_isSuspect = false;
  };

  struct UpstreamInfo
  {
    base::SocketAddress m_address;
    std::string m_incarnation;
    policy::ConcurrencyLimit m_limit{ {} };
    std::uint32_t m_inFlight = 0;
  };

  /// Callbacks to run after the lock is released.
  using Completions = std::vector<std::function<void()>>;

  static void RunCompletions(Completions& aCompletions);

  bool CanGetSlotsLocked() const;
  /// Releases queued requests that another VM can run, if this VM has lost its last slot.
  void MoveQueuedLocked(Completions& aCompletions);
  void DispatchQueuedLocked(Completions& aCompletions);
  /// Borrows slots from other VMs while requests wait, and returns unused ones otherwise.
  void UpdateBorrowingLocked();
  bool DispatchNextLocked(Completions& aCompletions);
  /// Prefers upstreams that the job has not tried, and keeps suspect requests apart.
  /// @param aFallback upstream to use if no other one has a free slot.
  /// @return the upstream, or nothing if the job was deferred.
  std::optional<policy::UpstreamChoice> PickUpstreamForLocked(
    std::uint64_t aJob,
    const policy::UpstreamChoice& aFallback);
  /// Puts the deferred suspects back into the queue.
  void RequeueDeferredLocked(Completions& aCompletions);
  std::optional<policy::UpstreamChoice> PickUpstreamLocked(
    const std::vector<std::string>& aExcluded,
    base::MonotonicTime aDeadline);
  bool StartAttemptLocked(std::uint64_t aJob,
                          const policy::UpstreamChoice& aChoice,
                          Completions& aCompletions);
  proxy::AttemptSpec MakeAttemptSpecLocked(const Job& aJob,
                                           const UpstreamInfo& aInfo,
                                           std::shared_ptr<const Attempt> aAttempt);
  /// Classifies a response head and sets the headers that report the attempt to the caller.
  proxy::ResponseDisposition CheckResponseHead(const Attempt& aAttempt,
                                               unsigned aAttempts,
                                               proxy::ResponseHead& aHead) const;
  /// @return whether the response carries the header by which an upstream states that it has not
  ///   executed the request.
  bool IsRefusal(const proxy::ResponseHead& aHead) const;
  void OnAttemptDone(const Attempt& aAttempt, const proxy::AttemptOutcome& aOutcome);
  void RecordAttemptLocked(const Attempt& aAttempt, const proxy::AttemptOutcome& aOutcome);
  void UpdateQuarantine(const Attempt& aAttempt,
                        const policy::RequestFingerprint& aFingerprint,
                        const proxy::AttemptOutcome& aOutcome);
  bool MayRetryLocked(const Job& aJob, const proxy::AttemptOutcome& aOutcome);
  void FinishLocked(std::uint64_t aJob, RequestResult aResult, Completions& aCompletions);
  policy::AdmissionQueue::ServiceTimes ServiceTimesLocked() const;
  static RequestResult MakeResult(const Job& aJob,
                                  const Attempt& aAttempt,
                                  const proxy::AttemptOutcome& aOutcome);

  const VmContext& m_context;
  const std::string m_service;
  ZoneSlotPool& m_slotPool;
  SlotLeaseManager& m_slotLeases;
  RequestQuarantine& m_quarantine;
  proxy::UpstreamTransport& m_transport;

  mutable std::mutex m_mutex;
  settings::EffectiveSettings m_settings;
  policy::UpstreamSelector m_selector;
  policy::AdmissionQueue m_queue;
  policy::RetryBudget m_retryBudget;
  std::map<std::string, UpstreamInfo> m_upstreams;
  std::map<std::uint64_t, Job> m_jobs;
  std::uint64_t m_nextJob = 1;
  std::uint64_t m_nextAttempt = 1;
  /// Suspect requests in progress, which have lost an upstream connection before, and the upstream
  /// that each of them runs on.
  std::map<policy::RequestFingerprint, std::string> m_runningSuspects;
  /// Suspect requests that wait until all of m_runningSuspects have ended. The wait is bounded
  /// because attempts have deadlines.
  std::vector<std::uint64_t> m_deferredSuspects;
  /// Exponential moving average of the duration of completed attempts.
  std::chrono::nanoseconds m_meanServiceTime{ 0 };
  base::LatencyHistogram m_latency;
  std::uint64_t m_invalidResponses = 0;
};

} // namespace jaylane::entry
