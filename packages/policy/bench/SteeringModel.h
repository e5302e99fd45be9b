#pragma once

#include "Simulation.h"
#include "jaylane/policy/RetryDelay.h"
#include "jaylane/policy/ServiceBalancer.h"

#include <deque>
#include <list>
#include <memory>
#include <vector>

namespace jaylane::policy::sim {

/// One service in several regions under load, for experiments with ServiceBalancer.
struct ModelOptions
{
  struct Region
  {
    std::size_t m_upstreams = 10;
    std::size_t m_vms = 4;
    /// Requests a second, and the part of its period at which the wave starts.
    double m_perSecond = 100;
    double m_phase = 0;
  };

  std::vector<Region> m_regions{ Region{} };
  std::uint32_t m_slots = 4;
  /// Requests that an upstream queues beyond its slots.
  std::size_t m_queue = 12;
  /// Affinity keys of a region, and those that an upstream remembers.
  std::size_t m_keys = 60;
  std::size_t m_keysKept = 40;
  Time m_knownTime{ std::chrono::milliseconds{ 144 } };
  Time m_unknownTime{ std::chrono::milliseconds{ 480 } };
  /// Standard deviation of service times, part of their mean.
  double m_spread = 0.15;
  /// Amplitude and period of the demand wave.
  double m_swing = 0;
  Time m_period{ std::chrono::seconds{ 36 } };
  /// Demand is multiplied from m_burstAt on for m_burstLength.
  double m_burst = 1;
  Time m_burstAt{ std::chrono::seconds{ 20 } };
  Time m_burstLength{ std::chrono::seconds{ 5 } };
  /// Part of the upstreams, evenly spread, that crash at m_crashAt and do not return.
  double m_crashShare = 0;
  Time m_crashAt{ std::chrono::seconds{ 20 } };
  /// One way within a region and between regions.
  Time m_nearDelay{ std::chrono::milliseconds{ 1 } };
  Time m_farDelay{ std::chrono::milliseconds{ 20 } };
  std::chrono::milliseconds m_target{ 400 };
  /// Longest time that the route lets a request wait, and the caller's own limit.
  std::chrono::milliseconds m_timeout{ 800 };
  std::chrono::milliseconds m_deadline{ 2500 };
  Time m_length{ std::chrono::seconds{ 40 } };
  /// Requests that arrive before are not counted: every key is unknown at the start.
  Time m_warmup{ std::chrono::seconds{ 5 } };
  std::uint64_t m_seed = 1;
  BalancerOptions m_balancer;
};

/// Who decides.
enum class Scheduler
{
  /// A balancer in each VM, as in the product.
  PerVm,
  /// One balancer a region: all VMs know each other's requests at once.
  PerRegion,
  /// Greedy choice that knows every queue, every running request and every known key: the upper
  /// bound that the others are compared with.
  FullKnowledge,
};

struct ModelResult
{
  std::size_t m_requests = 0;
  std::size_t m_inTarget = 0;
  std::size_t m_late = 0;
  std::size_t m_rejected = 0;
  std::size_t m_timedOut = 0;
  /// Runs at an upstream, and those among them with an unknown key.
  std::size_t m_runs = 0;
  std::size_t m_unknownRuns = 0;
  double m_p50 = 0;
  double m_p99 = 0;
  /// Part in target of the worst two seconds.
  double m_worst = 1;

  double InTarget() const { return Part(m_inTarget, m_requests); }
  double Late() const { return Part(m_late, m_requests); }
  double Unserved() const { return Part(m_rejected + m_timedOut, m_requests); }
  double UnknownRuns() const { return Part(m_unknownRuns, m_runs); }

private:
  static double Part(std::size_t aCount, std::size_t aAll)
  {
    return aAll == 0 ? 0 : static_cast<double>(aCount) / static_cast<double>(aAll);
  }
};

/// Plays one load deterministically.
class SteeringModel
{
public:
  SteeringModel(ModelOptions aOptions, Scheduler aScheduler);
  ~SteeringModel();

  ModelResult Play();

private:
  struct Request
  {
    std::size_t m_region = 0;
    std::size_t m_vm = 0;
    std::uint64_t m_key = 0;
    /// Of the first attempt.
    Time m_arrived{ 0 };
    Time m_attemptAt{ 0 };
    /// Service time relative to the mean.
    double m_work = 1;
    bool m_isReturning = false;
    bool m_isDone = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Upstream
  {
    std::string m_id;
    std::size_t m_region = 0;
    bool m_isRunning = true;
    std::vector<std::pair<Time, RequestPtr>> m_running;
    std::deque<RequestPtr> m_waiting;
    /// Known keys, the latest last.
    std::list<std::uint64_t> m_keys;
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
  void Shed(Upstream& aUpstream, const RequestPtr& aRequest);
  void TimeOut(const RequestPtr& aRequest);
  void Crash();
  bool IsCounted(const Request& aRequest) const;
  void Finish(const RequestPtr& aRequest, Outcome aOutcome);
  bool Knows(const Upstream& aUpstream, std::uint64_t aKey) const;
  void Remember(Upstream& aUpstream, std::uint64_t aKey);
  Time ServiceTime(const Upstream& aUpstream, const Request& aRequest) const;
  Time FinishTime(const Upstream& aUpstream, const Request& aRequest) const;
  Time Delay(const Upstream& aUpstream, const Request& aRequest) const;
  LoadReport Report(const Upstream& aUpstream) const;
  ServiceBalancer& BalancerOf(const Request& aRequest);
  ServiceBalancer::Query QueryOf(const Request& aRequest) const;

  ModelOptions m_options;
  Scheduler m_scheduler;
  Events m_events;
  /// Arrivals are the same whoever decides.
  Random m_random;
  Random m_vmRandom;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  /// By region, then by VM.
  std::vector<std::vector<ServiceBalancer>> m_balancers;
  ModelResult m_result;
  std::vector<Time> m_latencies;
  /// Requests and those in target, by two seconds of arrival.
  std::map<std::int64_t, std::pair<std::size_t, std::size_t>> m_windows;
};

} // namespace jaylane::policy::sim
