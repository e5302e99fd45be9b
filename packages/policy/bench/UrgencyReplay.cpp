#include "UrgencyReplay.h"

#include <cmath>
#include <numbers>

namespace jaylane::policy::sim {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t kUpstreams = 24;
constexpr std::size_t kVms = 14;
constexpr std::size_t kSlots = 6;
constexpr std::size_t kQueue = 18;
constexpr std::size_t kKeys = 60;
constexpr std::size_t kKnownKeys = 40;
constexpr double kUnknownFactor = 1 / 0.3;
constexpr Time kOneWay = 2ms;
constexpr Time kDuration = 40s;
constexpr Time kWarmup = 10s;
constexpr Time kBurstAt = 20s;
constexpr Time kBurstLength = 5s;
constexpr double kWaveAmplitude = 0.55;
constexpr Time kWavePeriod = 36s;
constexpr Time kHoldInterval = 20ms;
/// Urgent kind and patient kind.
constexpr std::array<milliseconds, 2> kTarget{ 500ms, 4000ms };
constexpr std::array<milliseconds, 2> kTimeout{ 2500ms, 6000ms };
constexpr std::array<milliseconds, 2> kServiceTime{ 264ms, 816ms };

} // namespace

UrgencyReplay::Vm::Vm(const std::vector<ServiceBalancer::Candidate>& aCandidates)
{
  m_balancer.Update(aCandidates, {});
}

UrgencyReplay::UrgencyReplay(Options aOptions)
  : m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_upstreams(kUpstreams)
{
  std::vector<ServiceBalancer::Candidate> candidates(kUpstreams);
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    candidates[i].m_upstream.m_id = std::to_string(i);
    candidates[i].m_upstream.m_region = "r";
    candidates[i].m_upstream.m_slots = kSlots;
    candidates[i].m_roundTrip = 4ms;
  }
  for (std::size_t i = 0; i < kVms; ++i) {
    m_vms.push_back(std::make_unique<Vm>(candidates));
  }
}

std::array<UrgencyReplay::Count, 2> UrgencyReplay::Run()
{
  ScheduleArrival(0);
  ScheduleArrival(1);
  for (const auto& vm : m_vms) {
    TryHeldRegularly(*vm);
  }
  m_events.Run();
  return m_counts;
}

double UrgencyReplay::Rate(std::size_t aKind) const
{
  const Time sinceBurst = m_events.Elapsed() - kBurstAt;
  const bool isBurst = sinceBurst >= Time{ 0 } && sinceBurst < kBurstLength;
  const double angle =
    2 * std::numbers::pi *
    std::chrono::duration<double>(sinceBurst - kBurstLength / 2 + kWavePeriod / 4) /
    std::chrono::duration<double>(kWavePeriod);
  const double wave = 1 + kWaveAmplitude * std::sin(angle);
  return wave * (aKind == 0
                   ? m_options.m_urgentPerSecond
                   : m_options.m_patientPerSecond * (isBurst ? m_options.m_burstFactor : 1));
}

void UrgencyReplay::ScheduleArrival(std::size_t aKind)
{
  const double rate = Rate(aKind);
  if (rate == 0 || m_events.Elapsed() > kDuration) {
    return;
  }
  const Time gap = m_random.Exponential(Time{ static_cast<std::int64_t>(1e9 / rate) });
  m_events.After(gap, [this, aKind] {
    Request request;
    request.m_id = m_nextId++;
    request.m_kind = aKind;
    request.m_vm = m_random.Below(kVms);
    request.m_query.m_key = (aKind * kKeys + m_random.Below(kKeys) + 1) * 0x9E3779B97F4A7C15;
    request.m_query.m_hasAffinity = true;
    request.m_query.m_targetLatency = kTarget[aKind];
    request.m_query.m_remaining = kTimeout[aKind];
    request.m_query.m_priority = aKind == 0 ? 0 : m_options.m_patientPriority;
    request.m_arrivedAt = m_events.Elapsed();
    if (Count* count = CountOf(request)) {
      ++count->m_requests;
    }
    if (!TrySend(request)) {
      Reject(request);
    }
    ScheduleArrival(aKind);
  });
}

UrgencyReplay::Count* UrgencyReplay::CountOf(const Request& aRequest)
{
  return aRequest.m_arrivedAt < kWarmup ? nullptr : &m_counts[aRequest.m_kind];
}

bool UrgencyReplay::TrySend(Request& aRequest)
{
  Vm& vm = *m_vms[aRequest.m_vm];
  const Time held = m_events.Elapsed() - aRequest.m_arrivedAt;
  aRequest.m_query.m_held = std::chrono::duration_cast<milliseconds>(held);
  aRequest.m_query.m_remaining = kTimeout[aRequest.m_kind] - aRequest.m_query.m_held;
  const auto choice = vm.m_balancer.Choose(aRequest.m_query, m_events.Now());
  if (choice.m_decision != ServiceBalancer::Decision::Send) {
    const auto hold = vm.m_queue.Assess(aRequest.m_id,
                                        { aRequest.m_query.m_priority,
                                          aRequest.m_query.m_targetLatency,
                                          base::MonotonicTime{ aRequest.m_arrivedAt },
                                          choice.m_expectedHold,
                                          choice.m_latencyWithoutQueue },
                                        m_events.Now());
    if (!choice.m_mayHold || !hold) {
      return false;
    }
    aRequest.m_query.m_isCounted = true;
    vm.m_held[aRequest.m_id] = aRequest;
    if (const auto displaced = vm.m_queue.Put(*hold)) {
      Reject(vm.m_held.extract(*displaced).mapped());
    }
    return true;
  }
  if (Count* count = CountOf(aRequest)) {
    count->m_longestHold = std::max(count->m_longestHold, held);
  }
  if (aRequest.m_query.m_isCounted) {
    vm.m_queue.OnSent(aRequest.m_id, m_events.Now());
  }
  aRequest.m_sentAt = m_events.Elapsed();
  vm.m_balancer.OnSent(choice.m_upstream->m_id, aRequest.m_query, m_events.Now());
  const std::size_t upstream = std::stoul(choice.m_upstream->m_id);
  m_events.After(kOneWay, [this, upstream, request = aRequest] { Receive(upstream, request); });
  return true;
}

void UrgencyReplay::Reject(const Request& aRequest)
{
  if (Count* count = CountOf(aRequest)) {
    ++count->m_rejectedBySender;
  }
}

void UrgencyReplay::TryHeld(Vm& aVm)
{
  for (const std::uint64_t id : aVm.m_queue.InOrder()) {
    aVm.m_queue.Remove(id);
    Request request = aVm.m_held.extract(id).mapped();
    if (!TrySend(request)) {
      Reject(request);
    }
  }
}

void UrgencyReplay::TryHeldRegularly(Vm& aVm)
{
  TryHeld(aVm);
  if (m_events.Elapsed() < kDuration + 10s) {
    m_events.After(kHoldInterval, [this, &aVm] { TryHeldRegularly(aVm); });
  }
}

void UrgencyReplay::Receive(std::size_t aUpstream, const Request& aRequest)
{
  Upstream& upstream = m_upstreams[aUpstream];
  if (upstream.m_running >= kSlots && upstream.m_waiting.size() >= kQueue) {
    m_vms[aRequest.m_vm]->m_balancer.OnFailure(std::to_string(aUpstream),
                                               AttemptFailure::Rejected,
                                               LoadReport{ kSlots, kQueue, kSlots },
                                               m_events.Now());
    if (Count* count = CountOf(aRequest)) {
      ++count->m_rejectedByUpstream;
    }
    return;
  }
  upstream.m_waiting.push_back(aRequest);
  StartWaiting(aUpstream);
}

void UrgencyReplay::StartWaiting(std::size_t aUpstream)
{
  Upstream& upstream = m_upstreams[aUpstream];
  while (upstream.m_running < kSlots && !upstream.m_waiting.empty()) {
    const Request request = upstream.m_waiting.front();
    upstream.m_waiting.pop_front();
    ++upstream.m_running;
    const auto known = std::ranges::find(upstream.m_knownKeys, request.m_query.m_key);
    const double factor = known == upstream.m_knownKeys.end() ? kUnknownFactor : 1;
    const Time usual = kServiceTime[request.m_kind];
    const double spread = 0.85 + 0.3 * m_random.Unit();
    const Time time{ static_cast<std::int64_t>(static_cast<double>(usual.count()) * factor *
                                               spread) };
    m_events.After(time, [this, aUpstream, request] { Complete(aUpstream, request); });
  }
}

void UrgencyReplay::Complete(std::size_t aUpstream, const Request& aRequest)
{
  Upstream& upstream = m_upstreams[aUpstream];
  --upstream.m_running;
  upstream.m_knownKeys.remove(aRequest.m_query.m_key);
  upstream.m_knownKeys.push_back(aRequest.m_query.m_key);
  if (upstream.m_knownKeys.size() > kKnownKeys) {
    upstream.m_knownKeys.pop_front();
  }
  StartWaiting(aUpstream);
  const LoadReport report{ static_cast<std::uint32_t>(upstream.m_running),
                           static_cast<std::uint32_t>(upstream.m_waiting.size()),
                           kSlots };
  m_events.After(kOneWay, [this, aUpstream, aRequest, report] {
    Vm& vm = *m_vms[aRequest.m_vm];
    vm.m_balancer.OnResponse(std::to_string(aUpstream),
                             aRequest.m_query,
                             m_events.Elapsed() - aRequest.m_sentAt,
                             report,
                             m_events.Now());
    const bool isOnTime = m_events.Elapsed() - aRequest.m_arrivedAt <= kTarget[aRequest.m_kind];
    if (Count* count = CountOf(aRequest)) {
      count->m_onTime += isOnTime ? 1 : 0;
    }
    TryHeld(vm);
  });
}

} // namespace jaylane::policy::sim
