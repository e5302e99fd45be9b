#pragma once

#include "Directory.h"
#include "Outcome.h"
#include "QuarantineGuard.h"
#include "SlotLending.h"
#include "VmContext.h"
#include "ZoneSlots.h"
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
#include <string>
#include <vector>

namespace jaylane::entry {

/// A request that is to be served by an upstream of this zone.
struct DispatchJob
{
  std::shared_ptr<proxy::Exchange> m_exchange;
  /// Path with the query at the upstream.
  std::string m_target;
  proxy::HeaderList m_headers;
  bool m_idempotent = false;
  base::MonotonicTime m_deadline;
  policy::RequestFingerprint m_fingerprint;
  /// Called once. Unless the outcome is Completed, the exchange still lacks a response.
  std::function<void(const RequestResult&)> m_done;
};

/// Admits, queues and dispatches the requests of one service to this zone's upstreams.
/// Thread safe.
class ServiceDispatcher : public std::enable_shared_from_this<ServiceDispatcher>
{
public:
  ServiceDispatcher(const VmContext& aContext,
                    std::string aService,
                    const settings::EffectiveSettings& aSettings,
                    ZoneSlots& aSlots,
                    SlotLending& aLending,
                    QuarantineGuard& aQuarantine,
                    proxy::UpstreamTransport& aTransport);

  /// Takes settings that have changed. Requests in progress keep their deadlines.
  void ApplySettings(const settings::EffectiveSettings& aSettings);

  /// @param aUpstreams this service's upstreams in this zone.
  void ApplyUpstreams(const std::vector<UpstreamRef>& aUpstreams);
  void ApplyProbe(const std::string& aUpstream,
                  const std::string& aIncarnation,
                  policy::ProbeResult aResult,
                  std::optional<std::uint32_t> aReportedInFlight);

  /// Queues a request, or ends it at once if it cannot finish before its deadline.
  void Submit(DispatchJob aJob);

  /// Drops late requests and dispatches what has become possible. Called periodically.
  void Tick();

  /// @return {"queued","in_flight","upstreams":[...],"latency"}.
  Json::Value Status() const;

private:
  struct Job
  {
    DispatchJob m_request;
    unsigned m_attempts = 0;
    bool m_mayHaveRun = false;
    std::chrono::nanoseconds m_busy{ 0 };
    std::vector<std::string> m_tried;
  };

  struct Attempt
  {
    std::uint64_t m_job = 0;
    policy::UpstreamChoice m_choice;
    /// Incarnation in the VM list.
    std::string m_incarnation;
    std::string m_attemptId;
    policy::SlotTicket m_ticket;
    base::MonotonicTime m_startedAt;
    base::MonotonicTime m_deadline;
  };

  struct UpstreamInfo
  {
    base::SocketAddress m_address;
    std::string m_incarnation;
    policy::ConcurrencyLimit m_limit{ {} };
    std::uint32_t m_inFlight = 0;
  };

  /// Callbacks to run after the lock was released.
  using Completions = std::vector<std::function<void()>>;

  static void Run(Completions& aCompletions);

  void PumpLocked(Completions& aCompletions);
  void BalanceSlotsLocked();
  bool DispatchNextLocked(Completions& aCompletions);
  std::optional<policy::UpstreamChoice> PickForLocked(std::uint64_t aJob,
                                                      const policy::UpstreamChoice& aAny);
  void ResumeParkedLocked(Completions& aCompletions);
  std::optional<policy::UpstreamChoice> PickLocked(const std::vector<std::string>& aExcluded,
                                                   base::MonotonicTime aDeadline);
  bool StartLocked(std::uint64_t aJob,
                   const policy::UpstreamChoice& aChoice,
                   Completions& aCompletions);
  proxy::AttemptSpec MakeSpecLocked(const Job& aJob,
                                    const UpstreamInfo& aInfo,
                                    std::shared_ptr<const Attempt> aAttempt);
  proxy::HeadVerdict JudgeHead(const Attempt& aAttempt,
                               unsigned aAttempts,
                               proxy::ResponseHead& aHead) const;
  bool IsRefusal(const proxy::ResponseHead& aHead) const;
  void OnAttemptDone(const Attempt& aAttempt, const proxy::AttemptOutcome& aOutcome);
  void ObserveLocked(const Attempt& aAttempt, const proxy::AttemptOutcome& aOutcome);
  void RecordFingerprint(const Attempt& aAttempt,
                         const policy::RequestFingerprint& aFingerprint,
                         const proxy::AttemptOutcome& aOutcome);
  bool MayRetryLocked(const Job& aJob, const proxy::AttemptOutcome& aOutcome);
  void FinishLocked(std::uint64_t aJob, RequestResult aResult, Completions& aCompletions);
  policy::AdmissionQueue::ServiceTimes ServiceSpeedLocked() const;
  static RequestResult MakeResult(const Job& aJob,
                                  const Attempt& aAttempt,
                                  const proxy::AttemptOutcome& aOutcome);

  const VmContext& m_context;
  const std::string m_service;
  ZoneSlots& m_slots;
  SlotLending& m_lending;
  QuarantineGuard& m_quarantine;
  proxy::UpstreamTransport& m_transport;

  mutable std::mutex m_mutex;
  settings::EffectiveSettings m_settings;
  policy::UpstreamSelector m_selector;
  policy::AdmissionQueue m_queue;
  policy::RetryBudget m_retries;
  std::map<std::string, UpstreamInfo> m_upstreams;
  std::map<std::uint64_t, Job> m_jobs;
  std::uint64_t m_nextJob = 1;
  std::uint64_t m_nextAttempt = 1;
  /// Requests in progress that have lost a connection before, and their upstreams.
  std::map<policy::RequestFingerprint, std::string> m_suspects;
  /// Suspect requests that wait until those above have ended. Attempts have deadlines, so do they.
  std::vector<std::uint64_t> m_parked;
  /// Smoothed time that an upstream takes for a request.
  std::chrono::nanoseconds m_meanTime{ 0 };
  base::LatencyHistogram m_latency;
  std::uint64_t m_invalidResponses = 0;
};

} // namespace jaylane::entry
