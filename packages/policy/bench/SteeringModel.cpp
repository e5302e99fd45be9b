#include "SteeringModel.h"

#include <cmath>
#include <numbers>
#include <xxhash.h>

namespace jaylane::policy::sim {

namespace {

using std::chrono::milliseconds;

/// Length of the windows of which ModelResult::m_worstWindow is the worst.
constexpr Time kWindow = std::chrono::seconds{ 2 };
/// Callers wait before a retry for at most their remaining time divided by this.
constexpr int kMaxWaitDivisor = 3;

double Seconds(Time aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

milliseconds Millis(Time aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime);
}

std::string RegionName(std::size_t aRegion)
{
  return "r" + std::to_string(aRegion);
}

} // namespace

SteeringModel::SteeringModel(ModelOptions aOptions, Scheduler aScheduler)
  : m_options(std::move(aOptions))
  , m_scheduler(aScheduler)
  , m_random(m_options.m_seed)
  , m_vmRandom(m_options.m_seed + 1)
  , m_peerRandom(m_options.m_seed + 2)
{
  MakeUpstreams();
  MakeBalancers();
}

SteeringModel::~SteeringModel() = default;

void SteeringModel::MakeUpstreams()
{
  for (std::size_t region = 0; region < m_options.m_regions.size(); ++region) {
    for (std::size_t i = 0; i < m_options.m_regions[region].m_upstreams; ++i) {
      auto upstream = std::make_unique<Upstream>();
      upstream->m_id = std::to_string(m_upstreams.size());
      upstream->m_region = region;
      m_upstreams.push_back(std::move(upstream));
    }
  }
}

void SteeringModel::MakeBalancers()
{
  for (std::size_t region = 0; region < m_options.m_regions.size(); ++region) {
    std::vector<ServiceBalancer::Candidate> candidates;
    for (const auto& upstream : m_upstreams) {
      ServiceBalancer::Candidate candidate;
      candidate.m_upstream.m_id = upstream->m_id;
      candidate.m_upstream.m_region = RegionName(upstream->m_region);
      candidate.m_upstream.m_slots = m_options.m_slots;
      const bool isNear = upstream->m_region == region;
      candidate.m_roundTrip =
        Millis(2 * (isNear ? m_options.m_localDelay : m_options.m_crossRegionDelay));
      candidates.push_back(std::move(candidate));
    }
    auto& balancers = m_balancers.emplace_back();
    m_observations.emplace_back(m_options.m_regions[region].m_vms);
    const std::size_t count =
      m_scheduler == Scheduler::PerVm ? m_options.m_regions[region].m_vms : 1;
    for (std::size_t vm = 0; vm < count; ++vm) {
      balancers.emplace_back(m_options.m_balancer, RegionName(region), region << 32U | vm);
      balancers.back().Update(candidates, m_events.Now());
    }
  }
}

ModelResult SteeringModel::Run()
{
  for (std::size_t region = 0; region < m_options.m_regions.size(); ++region) {
    ScheduleArrival(region);
  }
  if (m_options.m_crashShare > 0) {
    m_events.After(m_options.m_crashAt, [this] { CrashUpstreams(); });
  }
  if (m_options.m_announcedObservations > 0 && m_scheduler == Scheduler::PerVm) {
    m_events.After(m_options.m_announceInterval, [this] { Announce(); });
  }
  m_events.Run();
  AddResults();
  m_result.m_p50Ms = QuantileMs(m_latencies, 0.5);
  m_result.m_p99Ms = QuantileMs(m_latencies, 0.99);
  for (const auto& [window, counts] : m_windows) {
    const auto [all, onTime] = counts;
    m_result.m_worstWindow =
      std::min(m_result.m_worstWindow, static_cast<double>(onTime) / static_cast<double>(all));
  }
  return m_result;
}

void SteeringModel::Announce()
{
  std::vector<std::pair<std::size_t, std::size_t>> vms;
  for (std::size_t region = 0; region < m_balancers.size(); ++region) {
    for (std::size_t vm = 0; vm < m_balancers[region].size(); ++vm) {
      vms.emplace_back(region, vm);
    }
  }
  for (const auto& [region, vm] : vms) {
    for (std::size_t i = 0; i < m_options.m_announceRecipients; ++i) {
      const auto [toRegion, toVm] = vms[m_peerRandom.Below(vms.size())];
      if (toRegion == region && toVm == vm) {
        continue;
      }
      auto observations =
        m_observations[region][vm].Next(m_options.m_announcedObservations, m_events.Now());
      const Time delay = toRegion == region ? m_options.m_localDelay : m_options.m_crossRegionDelay;
      m_events.After(delay, [this, &to = m_balancers[toRegion][toVm], observations] {
        for (const LoadObservation& observation : observations) {
          to.Observe(observation, m_events.Now());
        }
      });
    }
  }
  if (m_events.Elapsed() + m_options.m_announceInterval < m_options.m_duration) {
    m_events.After(m_options.m_announceInterval, [this] { Announce(); });
  }
}

void SteeringModel::RecordObservation(const Upstream& aUpstream,
                                      const Request& aRequest,
                                      const LoadReport& aReport)
{
  const bool knowsKey = HasServedKey(aUpstream, aRequest.m_key);
  m_observations[aRequest.m_region][aRequest.m_vm].Add(
    { LoadObservation::HashUpstream(aUpstream.m_id),
      knowsKey ? LoadObservation::HashKey(MakeQuery(aRequest).m_key) : std::uint16_t{ 0 },
      static_cast<std::uint16_t>(aReport.m_running),
      static_cast<std::uint16_t>(aReport.m_waiting),
      m_events.Now() });
}

void SteeringModel::AddResults()
{
  std::size_t busiest = 0;
  for (const auto& upstream : m_upstreams) {
    busiest = std::max(busiest, upstream->m_runs);
  }
  if (m_result.m_runs > 0) {
    m_result.m_busiestLoad =
      static_cast<double>(busiest * m_upstreams.size()) / static_cast<double>(m_result.m_runs);
  }
  std::size_t vms = 0;
  for (const ModelOptions::Region& region : m_options.m_regions) {
    vms += region.m_vms;
  }
  m_result.m_upstreamsPerVm =
    static_cast<double>(m_usedPairs.size()) / static_cast<double>(std::max<std::size_t>(vms, 1));
  const auto shareOf = [](const std::map<std::size_t, std::size_t>& aRuns, std::size_t aRegion) {
    double all = 0;
    for (const auto& [region, runs] : aRuns) {
      all += static_cast<double>(runs);
    }
    const auto runs = aRuns.find(aRegion);
    return runs == aRuns.end() ? 0 : static_cast<double>(runs->second) / all;
  };
  for (const auto& [window, regions] : m_regionRuns) {
    const auto next = m_regionRuns.find(window + 1);
    // Requests that started before the end of the arrivals are all that the last window has.
    if (next == m_regionRuns.end() || (window + 2) * kWindow > m_options.m_duration) {
      break;
    }
    for (const auto& [region, runs] : regions) {
      for (std::size_t to = 0; to < m_options.m_regions.size(); ++to) {
        const double change = shareOf(next->second[region], to) - shareOf(runs, to);
        m_result.m_regionMove = std::max(m_result.m_regionMove, std::abs(change));
      }
    }
  }
}

bool SteeringModel::IsSlow(const Upstream& aUpstream) const
{
  const std::int64_t period = m_events.Elapsed() / m_options.m_slowTime;
  const std::uint64_t hash =
    XXH64(aUpstream.m_id.data(), aUpstream.m_id.size(), static_cast<std::uint64_t>(period) + 1);
  return static_cast<double>(hash % 1000) < m_options.m_slowShare * 1000;
}

double SteeringModel::RateFactor(std::size_t aRegion) const
{
  const Time now = m_events.Elapsed();
  const double periods = Seconds(now) / Seconds(m_options.m_wavePeriod);
  const double angle = 2 * std::numbers::pi * (periods + m_options.m_regions[aRegion].m_wavePhase);
  const double wave = 1 + m_options.m_waveAmplitude * std::sin(angle);
  const Time sinceBurst = now - m_options.m_burstAt;
  const bool isBurst = sinceBurst >= Time{ 0 } && sinceBurst < m_options.m_burstLength;
  return wave * (isBurst ? m_options.m_burstFactor : 1);
}

void SteeringModel::ScheduleArrival(std::size_t aRegion)
{
  // Thinning: arrivals are generated at the peak rate, and a part of them is dropped so that the
  // current rate is left.
  const double peak = m_options.m_regions[aRegion].m_requestsPerSecond *
                      (1 + m_options.m_waveAmplitude) * m_options.m_burstFactor;
  const Time gap =
    m_random.Exponential(Time{ static_cast<std::int64_t>(1e9 / std::max(peak, 1e-3)) });
  if (m_events.Elapsed() + gap >= m_options.m_duration) {
    return;
  }
  m_events.After(gap, [this, aRegion] {
    const double limit = (1 + m_options.m_waveAmplitude) * m_options.m_burstFactor;
    if (m_random.Unit() * limit < RateFactor(aRegion)) {
      Arrive(aRegion);
    }
    ScheduleArrival(aRegion);
  });
}

void SteeringModel::Arrive(std::size_t aRegion)
{
  auto request = std::make_shared<Request>();
  request->m_region = aRegion;
  request->m_key = (m_options.m_sharesKeys ? 0 : aRegion * m_options.m_keyCount) +
                   m_random.Below(m_options.m_keyCount);
  request->m_arrived = m_events.Elapsed();
  // The sum of three uniform values minus its mean approximates a normal distribution with a
  // standard deviation of 1/2.
  const double deviation = m_random.Unit() + m_random.Unit() + m_random.Unit() - 1.5;
  request->m_serviceTimeFactor =
    std::max(0.1, 1 + 2 * m_options.m_serviceTimeDeviation * deviation);
  Attempt(request);
}

void SteeringModel::Attempt(const RequestPtr& aRequest)
{
  aRequest->m_vm = m_vmRandom.Below(m_options.m_regions[aRequest->m_region].m_vms);
  aRequest->m_attemptAt = m_events.Elapsed();
  const Destination destination = Choose(*aRequest);
  if (!destination.m_upstream) {
    Reject(aRequest, destination);
    return;
  }
  if (m_scheduler != Scheduler::FullKnowledge) {
    BalancerFor(*aRequest).OnSent(
      destination.m_upstream->m_id, MakeQuery(*aRequest), m_events.Now());
  }
  Upstream& upstream = *destination.m_upstream;
  m_usedPairs.emplace(aRequest->m_region, aRequest->m_vm, upstream.m_id);
  m_result.m_sends += IsCounted(*aRequest) ? 1 : 0;
  m_events.After(OneWayDelay(upstream, *aRequest),
                 [this, &upstream, aRequest] { Receive(upstream, aRequest); });
  m_events.After(m_options.m_timeout, [this, aRequest] { TimeOut(aRequest); });
}

ServiceBalancer& SteeringModel::BalancerFor(const Request& aRequest)
{
  auto& balancers = m_balancers[aRequest.m_region];
  return balancers[aRequest.m_vm % balancers.size()];
}

ServiceBalancer::Query SteeringModel::MakeQuery(const Request& aRequest) const
{
  ServiceBalancer::Query query;
  query.m_key = XXH64(&aRequest.m_key, sizeof aRequest.m_key, 0);
  query.m_hasAffinity = true;
  query.m_remaining = m_options.m_timeout;
  query.m_targetLatency = m_options.m_targetLatency;
  return query;
}

SteeringModel::Destination SteeringModel::Choose(const Request& aRequest)
{
  if (m_scheduler == Scheduler::FullKnowledge) {
    return ChooseWithFullKnowledge(aRequest);
  }
  const auto choice = BalancerFor(aRequest).Choose(MakeQuery(aRequest), m_events.Now());
  if (choice.m_decision != ServiceBalancer::Decision::Send) {
    return { nullptr, RejectionCause::NoCapacity, choice.m_expectedLatency };
  }
  return { m_upstreams[std::stoul(choice.m_upstream->m_id)].get(),
           RejectionCause::NoCapacity,
           choice.m_expectedLatency };
}

SteeringModel::Destination SteeringModel::ChooseWithFullKnowledge(const Request& aRequest)
{
  // The slot time that the request takes from others weighs as much as its own latency.
  Destination best;
  Time bestCost = Time::max();
  for (const auto& upstream : m_upstreams) {
    if (!upstream->m_isRunning || upstream->m_waiting.size() >= m_options.m_queueCapacity) {
      continue;
    }
    const Time finish = FinishTime(*upstream, aRequest);
    const Time cost = finish + ServiceTime(*upstream, aRequest);
    if (cost < bestCost) {
      bestCost = cost;
      best = { upstream.get(), RejectionCause::NoCapacity, Millis(finish) };
    }
  }
  const Time service = best.m_upstream ? ServiceTime(*best.m_upstream, aRequest) : Time{ 0 };
  if (best.m_expected >
      std::max(m_options.m_targetLatency, Millis(service) + m_options.m_targetLatency / 2)) {
    best.m_upstream = nullptr;
  }
  return best;
}

Time SteeringModel::OneWayDelay(const Upstream& aUpstream, const Request& aRequest) const
{
  return aUpstream.m_region == aRequest.m_region ? m_options.m_localDelay
                                                 : m_options.m_crossRegionDelay;
}

Time SteeringModel::ServiceTime(const Upstream& aUpstream, const Request& aRequest) const
{
  const Time mean = HasServedKey(aUpstream, aRequest.m_key) ? m_options.m_warmServiceTime
                                                            : m_options.m_coldServiceTime;
  return Time{ static_cast<std::int64_t>(static_cast<double>(mean.count()) *
                                         aRequest.m_serviceTimeFactor *
                                         (IsSlow(aUpstream) ? m_options.m_slowFactor : 1)) };
}

Time SteeringModel::FinishTime(const Upstream& aUpstream, const Request& aRequest) const
{
  std::vector<Time> free(m_options.m_slots, m_events.Elapsed());
  for (std::size_t i = 0; i < aUpstream.m_running.size(); ++i) {
    free[i] = aUpstream.m_running[i].first;
  }
  for (const RequestPtr& waiting : aUpstream.m_waiting) {
    *std::ranges::min_element(free) += ServiceTime(aUpstream, *waiting);
  }
  const Time started =
    std::max(std::ranges::min(free) - m_events.Elapsed(), OneWayDelay(aUpstream, aRequest));
  return started + ServiceTime(aUpstream, aRequest) + OneWayDelay(aUpstream, aRequest);
}

void SteeringModel::Reject(const RequestPtr& aRequest, const Destination& aDestination)
{
  const Time spent = m_events.Elapsed() - aRequest->m_arrived;
  const Time left = m_options.m_deadline - spent;
  if (aRequest->m_isRetry || left <= Time{ 0 }) {
    Finish(aRequest, Outcome::Rejected);
    return;
  }
  const milliseconds wait = RetryDelay(aDestination.m_cause,
                                       aDestination.m_expected,
                                       Millis(left),
                                       XXH64(&aRequest->m_serviceTimeFactor, sizeof(double), 0));
  aRequest->m_isRetry = true;
  m_events.After(std::min<Time>(wait, left / kMaxWaitDivisor),
                 [this, aRequest] { Attempt(aRequest); });
}

void SteeringModel::Receive(Upstream& aUpstream, const RequestPtr& aRequest)
{
  const bool isFull = aUpstream.m_running.size() >= m_options.m_slots &&
                      aUpstream.m_waiting.size() >= m_options.m_queueCapacity;
  if (!aUpstream.m_isRunning || isFull) {
    m_result.m_fullRejections += aUpstream.m_isRunning && IsCounted(*aRequest) ? 1 : 0;
    m_events.After(OneWayDelay(aUpstream, *aRequest),
                   [this, &aUpstream, aRequest] { HandleRejection(aUpstream, aRequest); });
    return;
  }
  aUpstream.m_waiting.push_back(aRequest);
  StartWaiting(aUpstream);
}

void SteeringModel::HandleRejection(Upstream& aUpstream, const RequestPtr& aRequest)
{
  if (aRequest->m_isDone) {
    return;
  }
  if (m_scheduler != Scheduler::FullKnowledge) {
    const auto failure =
      aUpstream.m_isRunning ? AttemptFailure::Rejected : AttemptFailure::Unreachable;
    BalancerFor(*aRequest).OnFailure(
      aUpstream.m_id, failure, MakeReport(aUpstream), m_events.Now());
    RecordObservation(aUpstream, *aRequest, MakeReport(aUpstream));
  }
  Reject(aRequest, { nullptr, RejectionCause::NoCapacity, m_options.m_targetLatency });
}

void SteeringModel::StartWaiting(Upstream& aUpstream)
{
  while (aUpstream.m_running.size() < m_options.m_slots && !aUpstream.m_waiting.empty()) {
    const RequestPtr request = aUpstream.m_waiting.front();
    aUpstream.m_waiting.pop_front();
    if (request->m_isDone) {
      continue; // The VM timed out and closed the connection.
    }
    if (IsCounted(*request)) {
      ++m_result.m_runs;
      m_result.m_coldRuns += HasServedKey(aUpstream, request->m_key) ? 0 : 1;
      ++aUpstream.m_runs;
      ++m_regionRuns[m_events.Elapsed() / kWindow][request->m_region][aUpstream.m_region];
    }
    const Time time = ServiceTime(aUpstream, *request);
    aUpstream.m_running.emplace_back(m_events.Elapsed() + time, request);
    m_events.After(time, [this, &aUpstream, request] { Complete(aUpstream, request); });
  }
}

void SteeringModel::Complete(Upstream& aUpstream, const RequestPtr& aRequest)
{
  const auto erased = std::erase_if(
    aUpstream.m_running, [&](const auto& aRunning) { return aRunning.second == aRequest; });
  if (erased == 0) {
    return; // Cancelled in the meantime.
  }
  RecordServedKey(aUpstream, aRequest->m_key);
  StartWaiting(aUpstream);
  const LoadReport report = MakeReport(aUpstream);
  m_events.After(OneWayDelay(aUpstream, *aRequest), [this, &aUpstream, aRequest, report] {
    if (aRequest->m_isDone) {
      return;
    }
    if (m_scheduler != Scheduler::FullKnowledge) {
      BalancerFor(*aRequest).OnResponse(aUpstream.m_id,
                                        MakeQuery(*aRequest),
                                        m_events.Elapsed() - aRequest->m_attemptAt,
                                        report,
                                        m_events.Now());
      RecordObservation(aUpstream, *aRequest, report);
    }
    Finish(aRequest, Outcome::Served);
  });
}

void SteeringModel::TimeOut(const RequestPtr& aRequest)
{
  if (aRequest->m_isDone || m_events.Elapsed() - aRequest->m_attemptAt < m_options.m_timeout) {
    return;
  }
  for (const auto& upstream : m_upstreams) {
    const auto erased = std::erase_if(
      upstream->m_running, [&](const auto& aRunning) { return aRunning.second == aRequest; });
    const bool isWaiting =
      std::ranges::find(upstream->m_waiting, aRequest) != upstream->m_waiting.end();
    if (m_scheduler != Scheduler::FullKnowledge && (erased > 0 || isWaiting)) {
      BalancerFor(*aRequest).OnFailure(
        upstream->m_id, AttemptFailure::TimedOut, std::nullopt, m_events.Now());
    }
    if (erased > 0) {
      StartWaiting(*upstream);
    }
  }
  Finish(aRequest, Outcome::TimedOut);
}

void SteeringModel::CrashUpstreams()
{
  double crashesDue = 0;
  for (const auto& upstream : m_upstreams) {
    crashesDue += m_options.m_crashShare;
    if (crashesDue >= 1) {
      crashesDue -= 1;
      upstream->m_isRunning = false;
      upstream->m_running.clear();
      upstream->m_waiting.clear();
    }
  }
}

bool SteeringModel::IsCounted(const Request& aRequest) const
{
  return aRequest.m_arrived >= m_options.m_warmup;
}

void SteeringModel::Finish(const RequestPtr& aRequest, Outcome aOutcome)
{
  aRequest->m_isDone = true;
  if (!IsCounted(*aRequest)) {
    return;
  }
  const Time latency = m_events.Elapsed() - aRequest->m_arrived;
  const bool isServed = aOutcome == Outcome::Served;
  const bool isOnTime = isServed && latency <= m_options.m_targetLatency;
  ++m_result.m_requests;
  m_result.m_onTime += isOnTime ? 1 : 0;
  m_result.m_late += isServed && !isOnTime ? 1 : 0;
  m_result.m_rejected += aOutcome == Outcome::Rejected ? 1 : 0;
  m_result.m_timedOut += aOutcome == Outcome::TimedOut ? 1 : 0;
  if (isServed) {
    m_latencies.push_back(latency);
  }
  auto& [all, onTime] = m_windows[aRequest->m_arrived / kWindow];
  ++all;
  onTime += isOnTime ? 1 : 0;
}

bool SteeringModel::HasServedKey(const Upstream& aUpstream, std::uint64_t aKey) const
{
  return std::ranges::find(aUpstream.m_servedKeys, aKey) != aUpstream.m_servedKeys.end();
}

void SteeringModel::RecordServedKey(Upstream& aUpstream, std::uint64_t aKey)
{
  aUpstream.m_servedKeys.remove(aKey);
  aUpstream.m_servedKeys.push_back(aKey);
  if (aUpstream.m_servedKeys.size() > m_options.m_maxServedKeys) {
    aUpstream.m_servedKeys.pop_front();
  }
}

LoadReport SteeringModel::MakeReport(const Upstream& aUpstream) const
{
  return { static_cast<std::uint32_t>(aUpstream.m_running.size()),
           static_cast<std::uint32_t>(aUpstream.m_waiting.size()),
           m_options.m_slots,
           m_options.m_slowShare > 0
             ? std::optional<double>{ IsSlow(aUpstream) ? m_options.m_slowFactor : 1 }
             : std::nullopt };
}

} // namespace jaylane::policy::sim
