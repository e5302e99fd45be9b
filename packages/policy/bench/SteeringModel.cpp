#include "SteeringModel.h"

#include <cmath>
#include <numbers>
#include <xxhash.h>

namespace jaylane::policy::sim {

namespace {

using std::chrono::milliseconds;

constexpr Time kWindow = std::chrono::seconds{ 2 };
/// Callers return after at most this part of the time that they have left.
constexpr int kLongestReturn = 3;

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
      candidate.m_roundTrip = Millis(2 * (isNear ? m_options.m_nearDelay : m_options.m_farDelay));
      candidates.push_back(std::move(candidate));
    }
    auto& balancers = m_balancers.emplace_back();
    const std::size_t count =
      m_scheduler == Scheduler::PerVm ? m_options.m_regions[region].m_vms : 1;
    for (std::size_t vm = 0; vm < count; ++vm) {
      balancers.emplace_back(m_options.m_balancer, RegionName(region));
      balancers.back().Update(candidates, m_events.Now());
    }
  }
}

ModelResult SteeringModel::Play()
{
  for (std::size_t region = 0; region < m_options.m_regions.size(); ++region) {
    ScheduleArrival(region);
  }
  if (m_options.m_crashShare > 0) {
    m_events.After(m_options.m_crashAt, [this] { Crash(); });
  }
  m_events.Run();
  m_result.m_p50 = QuantileMs(m_latencies, 0.5);
  m_result.m_p99 = QuantileMs(m_latencies, 0.99);
  for (const auto& [window, counts] : m_windows) {
    const auto [all, good] = counts;
    m_result.m_worst =
      std::min(m_result.m_worst, static_cast<double>(good) / static_cast<double>(all));
  }
  return m_result;
}

double SteeringModel::RateFactor(std::size_t aRegion) const
{
  const Time now = m_events.Elapsed();
  const double turn = Seconds(now) / Seconds(m_options.m_period);
  const double angle = 2 * std::numbers::pi * (turn + m_options.m_regions[aRegion].m_phase);
  const double wave = 1 + m_options.m_swing * std::sin(angle);
  const Time sinceBurst = now - m_options.m_burstAt;
  const bool isBurst = sinceBurst >= Time{ 0 } && sinceBurst < m_options.m_burstLength;
  return wave * (isBurst ? m_options.m_burst : 1);
}

void SteeringModel::ScheduleArrival(std::size_t aRegion)
{
  // Arrivals at the peak rate, of which those above the present rate are left out.
  const double peak =
    m_options.m_regions[aRegion].m_perSecond * (1 + m_options.m_swing) * m_options.m_burst;
  const Time gap =
    m_random.Exponential(Time{ static_cast<std::int64_t>(1e9 / std::max(peak, 1e-3)) });
  if (m_events.Elapsed() + gap >= m_options.m_length) {
    return;
  }
  m_events.After(gap, [this, aRegion] {
    const double limit = (1 + m_options.m_swing) * m_options.m_burst;
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
  request->m_key = aRegion * m_options.m_keys + m_random.Below(m_options.m_keys);
  request->m_arrived = m_events.Elapsed();
  const double uniform = m_random.Unit() + m_random.Unit() + m_random.Unit() - 1.5;
  request->m_work = std::max(0.1, 1 + 2 * m_options.m_spread * uniform);
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
    BalancerOf(*aRequest).OnSent(destination.m_upstream->m_id, QueryOf(*aRequest), m_events.Now());
  }
  Upstream& upstream = *destination.m_upstream;
  m_events.After(Delay(upstream, *aRequest),
                 [this, &upstream, aRequest] { Receive(upstream, aRequest); });
  m_events.After(m_options.m_timeout, [this, aRequest] { TimeOut(aRequest); });
}

ServiceBalancer& SteeringModel::BalancerOf(const Request& aRequest)
{
  auto& balancers = m_balancers[aRequest.m_region];
  return balancers[aRequest.m_vm % balancers.size()];
}

ServiceBalancer::Query SteeringModel::QueryOf(const Request& aRequest) const
{
  ServiceBalancer::Query query;
  query.m_key = XXH64(&aRequest.m_key, sizeof aRequest.m_key, 0);
  query.m_hasAffinity = true;
  query.m_remaining = m_options.m_timeout;
  query.m_targetLatency = m_options.m_target;
  return query;
}

SteeringModel::Destination SteeringModel::Choose(const Request& aRequest)
{
  if (m_scheduler == Scheduler::FullKnowledge) {
    return ChooseWithFullKnowledge(aRequest);
  }
  const auto choice = BalancerOf(aRequest).Choose(QueryOf(aRequest), m_events.Now());
  if (choice.m_decision != ServiceBalancer::Decision::Send) {
    return { nullptr, RejectionCause::NoCapacity, choice.m_expectedLatency };
  }
  return { m_upstreams[std::stoul(choice.m_upstream->m_id)].get(),
           RejectionCause::NoCapacity,
           choice.m_expectedLatency };
}

SteeringModel::Destination SteeringModel::ChooseWithFullKnowledge(const Request& aRequest)
{
  // The slot time that a request takes from others counts as much as its own completion.
  Destination best;
  Time bestCost = Time::max();
  for (const auto& upstream : m_upstreams) {
    if (!upstream->m_isRunning || upstream->m_waiting.size() >= m_options.m_queue) {
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
  if (best.m_expected > std::max(m_options.m_target, Millis(service) + m_options.m_target / 2)) {
    best.m_upstream = nullptr;
  }
  return best;
}

Time SteeringModel::Delay(const Upstream& aUpstream, const Request& aRequest) const
{
  return aUpstream.m_region == aRequest.m_region ? m_options.m_nearDelay : m_options.m_farDelay;
}

Time SteeringModel::ServiceTime(const Upstream& aUpstream, const Request& aRequest) const
{
  const Time mean =
    Knows(aUpstream, aRequest.m_key) ? m_options.m_knownTime : m_options.m_unknownTime;
  return Time{ static_cast<std::int64_t>(static_cast<double>(mean.count()) * aRequest.m_work) };
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
    std::max(std::ranges::min(free) - m_events.Elapsed(), Delay(aUpstream, aRequest));
  return started + ServiceTime(aUpstream, aRequest) + Delay(aUpstream, aRequest);
}

void SteeringModel::Reject(const RequestPtr& aRequest, const Destination& aDestination)
{
  const Time spent = m_events.Elapsed() - aRequest->m_arrived;
  const Time left = m_options.m_deadline - spent;
  if (aRequest->m_isReturning || left <= Time{ 0 }) {
    Finish(aRequest, Outcome::Rejected);
    return;
  }
  const milliseconds wait = RetryDelay(aDestination.m_cause,
                                       aDestination.m_expected,
                                       Millis(left),
                                       XXH64(&aRequest->m_work, sizeof(double), 0));
  aRequest->m_isReturning = true;
  m_events.After(std::min<Time>(wait, left / kLongestReturn),
                 [this, aRequest] { Attempt(aRequest); });
}

void SteeringModel::Receive(Upstream& aUpstream, const RequestPtr& aRequest)
{
  const bool isFull = aUpstream.m_running.size() >= m_options.m_slots &&
                      aUpstream.m_waiting.size() >= m_options.m_queue;
  if (!aUpstream.m_isRunning || isFull) {
    m_events.After(Delay(aUpstream, *aRequest),
                   [this, &aUpstream, aRequest] { Shed(aUpstream, aRequest); });
    return;
  }
  aUpstream.m_waiting.push_back(aRequest);
  StartWaiting(aUpstream);
}

void SteeringModel::Shed(Upstream& aUpstream, const RequestPtr& aRequest)
{
  if (aRequest->m_isDone) {
    return;
  }
  if (m_scheduler != Scheduler::FullKnowledge) {
    const auto failure =
      aUpstream.m_isRunning ? AttemptFailure::Rejected : AttemptFailure::Unreachable;
    BalancerOf(*aRequest).OnFailure(aUpstream.m_id, failure, Report(aUpstream), m_events.Now());
  }
  Reject(aRequest, { nullptr, RejectionCause::NoCapacity, m_options.m_target });
}

void SteeringModel::StartWaiting(Upstream& aUpstream)
{
  while (aUpstream.m_running.size() < m_options.m_slots && !aUpstream.m_waiting.empty()) {
    const RequestPtr request = aUpstream.m_waiting.front();
    aUpstream.m_waiting.pop_front();
    if (request->m_isDone) {
      continue; // The caller's VM gave up and closed the connection.
    }
    if (IsCounted(*request)) {
      ++m_result.m_runs;
      m_result.m_unknownRuns += Knows(aUpstream, request->m_key) ? 0 : 1;
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
    return; // Cancelled meanwhile.
  }
  Remember(aUpstream, aRequest->m_key);
  StartWaiting(aUpstream);
  const LoadReport report = Report(aUpstream);
  m_events.After(Delay(aUpstream, *aRequest), [this, &aUpstream, aRequest, report] {
    if (aRequest->m_isDone) {
      return;
    }
    if (m_scheduler != Scheduler::FullKnowledge) {
      BalancerOf(*aRequest).OnResponse(aUpstream.m_id,
                                       QueryOf(*aRequest),
                                       m_events.Elapsed() - aRequest->m_attemptAt,
                                       report,
                                       m_events.Now());
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
      BalancerOf(*aRequest).OnFailure(
        upstream->m_id, AttemptFailure::TimedOut, std::nullopt, m_events.Now());
    }
    if (erased > 0) {
      StartWaiting(*upstream);
    }
  }
  Finish(aRequest, Outcome::TimedOut);
}

void SteeringModel::Crash()
{
  double due = 0;
  for (const auto& upstream : m_upstreams) {
    due += m_options.m_crashShare;
    if (due >= 1) {
      due -= 1;
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
  const bool isInTarget = isServed && latency <= m_options.m_target;
  ++m_result.m_requests;
  m_result.m_inTarget += isInTarget ? 1 : 0;
  m_result.m_late += isServed && !isInTarget ? 1 : 0;
  m_result.m_rejected += aOutcome == Outcome::Rejected ? 1 : 0;
  m_result.m_timedOut += aOutcome == Outcome::TimedOut ? 1 : 0;
  if (isServed) {
    m_latencies.push_back(latency);
  }
  auto& [all, good] = m_windows[aRequest->m_arrived / kWindow];
  ++all;
  good += isInTarget ? 1 : 0;
}

bool SteeringModel::Knows(const Upstream& aUpstream, std::uint64_t aKey) const
{
  return std::ranges::find(aUpstream.m_keys, aKey) != aUpstream.m_keys.end();
}

void SteeringModel::Remember(Upstream& aUpstream, std::uint64_t aKey)
{
  aUpstream.m_keys.remove(aKey);
  aUpstream.m_keys.push_back(aKey);
  if (aUpstream.m_keys.size() > m_options.m_keysKept) {
    aUpstream.m_keys.pop_front();
  }
}

LoadReport SteeringModel::Report(const Upstream& aUpstream) const
{
  return { static_cast<std::uint32_t>(aUpstream.m_running.size()),
           static_cast<std::uint32_t>(aUpstream.m_waiting.size()),
           m_options.m_slots };
}

} // namespace jaylane::policy::sim
