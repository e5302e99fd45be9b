#pragma once

#include "Simulation.h"
#include "jaylane/policy/LoadObservations.h"
#include "jaylane/policy/RetryDelay.h"
#include "jaylane/policy/ServiceBalancer.h"

#include <deque>
#include <list>
#include <memory>
#include <set>
#include <tuple>
#include <vector>

namespace jaylane::policy::sim {

/// Parameters of a simulated service in several regions, for experiments with ServiceBalancer.
struct ModelOptions
{
  struct Region
  {
    std::size_t m_upstreams = 10;
    std::size_t m_vms = 4;
    /// Mean request rate, and the phase of the demand wave as a fraction of its period.
    double m_requestsPerSecond = 100;
    double m_wavePhase = 0;
  };

  std::vector<Region> m_regions{ Region{} };
  std::uint32_t m_slots = 4;
  /// Requests that an upstream queues when its slots are in use.
  std::size_t m_queueCapacity = 12;
  /// Affinity keys per region, and the number of them that an upstream keeps warm.
  std::size_t m_keyCount = 60;
  /// Whether the keys are the same in all regions.
  bool m_sharesKeys = false;
  std::size_t m_maxServedKeys = 40;
  /// Mean service times for keys that the upstream keeps warm, and for others.
  Time m_warmServiceTime{ std::chrono::milliseconds{ 144 } };
  Time m_coldServiceTime{ std::chrono::milliseconds{ 480 } };
  /// Standard deviation of service times, as a fraction of their mean.
  double m_serviceTimeDeviation = 0.15;
  /// Amplitude (as a fraction of the mean request rate) and period of the demand wave.
  double m_waveAmplitude = 0;
  Time m_wavePeriod{ std::chrono::seconds{ 36 } };
  /// From m_burstAt on, demand is multiplied by m_burstFactor for m_burstLength.
  double m_burstFactor = 1;
  Time m_burstAt{ std::chrono::seconds{ 20 } };
  Time m_burstLength{ std::chrono::seconds{ 5 } };
  /// Fraction of the upstreams, evenly spread, that crash at m_crashAt and do not come back.
  double m_crashShare = 0;
  Time m_crashAt{ std::chrono::seconds{ 20 } };
  /// Fraction of the upstreams that take m_slowFactor times as long, for m_slowTime at a time.
  double m_slowShare = 0;
  double m_slowFactor = 2.5;
  Time m_slowTime{ std::chrono::milliseconds{ 600 } };
  /// Every m_announceInterval each VM sends m_announcedObservations to each of
  /// m_announceRecipients random other VMs.
  std::size_t m_announcedObservations = 0;
  std::size_t m_announceRecipients = 0;
  Time m_announceInterval{ std::chrono::milliseconds{ 400 } };
  /// One-way network delay within a region, and between regions.
  Time m_localDelay{ std::chrono::milliseconds{ 1 } };
  Time m_crossRegionDelay{ std::chrono::milliseconds{ 20 } };
  std::chrono::milliseconds m_targetLatency{ 400 };
  /// Timeout of the route per attempt, and the caller's deadline for all attempts; 0 if callers do
  /// not retry.
  std::chrono::milliseconds m_timeout{ 800 };
  std::chrono::milliseconds m_deadline{ 2500 };
  Time m_duration{ std::chrono::seconds{ 40 } };
  /// Requests that arrive earlier are not counted, since every key is cold at the start.
  Time m_warmup{ std::chrono::seconds{ 5 } };
  std::uint64_t m_seed = 1;
  BalancerOptions m_balancer;
};

/// What decides where requests are sent.
enum class Scheduler
{
  /// A balancer per VM, as in production.
  PerVm,
  /// A balancer per region: all VMs know each other's requests without delay.
  PerRegion,
  /// Greedy choice that knows every queue, every running request and the warm keys of every
  /// upstream: the upper bound that the others are compared with.
  FullKnowledge,
};

struct ModelResult
{
  /// Requests, and how they ended: served within or after the target latency, or not served.
  std::size_t m_requests = 0;
  std::size_t m_onTime = 0;
  std::size_t m_late = 0;
  std::size_t m_rejected = 0;
  std::size_t m_timedOut = 0;
  /// Executions at an upstream, and those of them with a cold key.
  std::size_t m_runs = 0;
  std::size_t m_coldRuns = 0;
  /// Quantiles of the latency of served requests.
  double m_p50Ms = 0;
  double m_p99Ms = 0;
  /// Fraction of requests served within the target latency in the worst window of two seconds.
  double m_worstWindow = 1;
  /// Requests sent to upstreams, and those that these rejected because their queues were full.
  std::size_t m_sends = 0;
  std::size_t m_fullRejections = 0;
  /// Executions at the busiest upstream as a multiple of the mean.
  double m_busiestLoad = 0;
  /// Largest change of the share of a region's executions that are in one region, from one window
  /// of two seconds to the next.
  double m_regionMove = 0;
  /// Upstreams that a VM sends requests to, on average.
  double m_upstreamsPerVm = 0;

  double FullRejectionShare() const { return Fraction(m_fullRejections, m_sends); }
  double OnTimeShare() const { return Fraction(m_onTime, m_requests); }
  double LateShare() const { return Fraction(m_late, m_requests); }
  double UnservedShare() const { return Fraction(m_rejected + m_timedOut, m_requests); }
  double ColdRunShare() const { return Fraction(m_coldRuns, m_runs); }

private:
  static double Fraction(std::size_t aCount, std::size_t aAll)
  {
    return aAll == 0 ? 0 : static_cast<double>(aCount) / static_cast<double>(aAll);
  }
};

/// Deterministic simulation of one service under load.
class SteeringModel
{
public:
  SteeringModel(ModelOptions aOptions, Scheduler aScheduler);
  ~SteeringModel();

  ModelResult Run();

private:
  struct Request
  {
    std::size_t m_region = 0;
    std::size_t m_vm = 0;
    std::uint64_t m_key = 0;
    /// Start of the first attempt.
    Time m_arrived{ 0 };
    /// Start of the latest attempt.
    Time m_attemptAt{ 0 };
    /// Service time as a multiple of the mean.
    double m_serviceTimeFactor = 1;
    bool m_isRetry = false;
    bool m_isDone = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Upstream
  {
    std::string m_id;
    std::size_t m_region = 0;
    bool m_isRunning = true;
    /// Running requests with the times at which they finish.
    std::vector<std::pair<Time, RequestPtr>> m_running;
    std::deque<RequestPtr> m_waiting;
    /// Warm keys, the most recently served last.
    std::list<std::uint64_t> m_servedKeys;
    std::size_t m_runs = 0;
  };

  enum class Outcome
  {
    Served,
    Rejected,
    TimedOut,
  };

  struct Destination
  {
    Upstream* m_upstream = nullptr;
    RejectionCause m_cause = RejectionCause::NoCapacity;
    std::chrono::milliseconds m_expected{ 0 };
  };

  void MakeUpstreams();
  void MakeBalancers();
  void Announce();
  void RecordObservation(const Upstream& aUpstream,
                         const Request& aRequest,
                         const LoadReport& aReport);
  void AddResults();
  bool IsSlow(const Upstream& aUpstream) const;
  void ScheduleArrival(std::size_t aRegion);
  double RateFactor(std::size_t aRegion) const;
  void Arrive(std::size_t aRegion);
  void Attempt(const RequestPtr& aRequest);
  Destination Choose(const Request& aRequest);
  Destination ChooseWithFullKnowledge(const Request& aRequest);
  void Reject(const RequestPtr& aRequest, const Destination& aDestination);
  void Receive(Upstream& aUpstream, const RequestPtr& aRequest);
  void StartWaiting(Upstream& aUpstream);
  void Complete(Upstream& aUpstream, const RequestPtr& aRequest);
  void HandleRejection(Upstream& aUpstream, const RequestPtr& aRequest);
  void TimeOut(const RequestPtr& aRequest);
  void CrashUpstreams();
  bool IsCounted(const Request& aRequest) const;
  void Finish(const RequestPtr& aRequest, Outcome aOutcome);
  bool HasServedKey(const Upstream& aUpstream, std::uint64_t aKey) const;
  void RecordServedKey(Upstream& aUpstream, std::uint64_t aKey);
  Time ServiceTime(const Upstream& aUpstream, const Request& aRequest) const;
  Time FinishTime(const Upstream& aUpstream, const Request& aRequest) const;
  Time OneWayDelay(const Upstream& aUpstream, const Request& aRequest) const;
  LoadReport MakeReport(const Upstream& aUpstream) const;
  ServiceBalancer& BalancerFor(const Request& aRequest);
  ServiceBalancer::Query MakeQuery(const Request& aRequest) const;

  ModelOptions m_options;
  Scheduler m_scheduler;
  Events m_events;
  /// Only for arrivals, so that these are the same for every scheduler.
  Random m_random;
  Random m_vmRandom;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  /// By region, then by VM.
  std::vector<std::vector<ServiceBalancer>> m_balancers;
  std::vector<std::vector<LoadObservations>> m_observations;
  /// Only for the recipients of announcements.
  Random m_peerRandom;
  ModelResult m_result;
  std::vector<Time> m_latencies;
  /// Requests, and those served within the target latency, by window of their arrival.
  std::map<std::int64_t, std::pair<std::size_t, std::size_t>> m_windows;
  /// Executions by window of their start, region of the caller and region of the upstream.
  std::map<std::int64_t, std::map<std::size_t, std::map<std::size_t, std::size_t>>> m_regionRuns;
  /// VM (by region and index) and upstream of all requests sent.
  std::set<std::tuple<std::size_t, std::size_t, std::string>> m_usedPairs;
};

} // namespace jaylane::policy::sim
