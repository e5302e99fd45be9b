#include "DispatchSimulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <optional>
#include <queue>
#include <random>

namespace jaylane::policy {

namespace {

using base::MonotonicTime;
using Seconds = std::chrono::duration<double>;

constexpr Seconds kServiceTime{ 0.060 };
constexpr Seconds kReportLag{ 5 };
const MonotonicTime kStart{ std::chrono::hours{ 1 } };

MonotonicTime After(MonotonicTime aTime, Seconds aDelay)
{
  return aTime + std::chrono::duration_cast<std::chrono::nanoseconds>(aDelay);
}

struct SimulatedRequest
{
  MonotonicTime m_arrival;
  MonotonicTime m_dispatch;
  std::size_t m_vm = 0;
};

struct SimulatedUpstream
{
  std::string m_id;
  bool m_isSlow = false;
  bool m_isCold = false;
  std::size_t m_inFlight = 0;
  std::size_t m_running = 0;
  std::size_t m_served = 0;
  std::deque<SimulatedRequest> m_queue;
};

enum class SimulatedEventKind
{
  Arrival,
  Completion,
  Report,
  ReportDelivery,
  Join,
};

struct SimulatedEvent
{
  MonotonicTime m_at;
  SimulatedEventKind m_kind{};
  std::size_t m_upstream = 0;
  SimulatedRequest m_request;
  std::uint32_t m_reported = 0;

  bool operator>(const SimulatedEvent& aOther) const { return m_at > aOther.m_at; }
};

class Simulation
{
public:
  explicit Simulation(const DispatchScenario& aScenario)
    : m_scenario(aScenario)
    , m_random(aScenario.m_seed)
    , m_measureFrom(kStart + (aScenario.m_joining > 0 ? kJoinAt : kWarmUp))
  {
    for (std::size_t i = 0; i < aScenario.m_upstreams; ++i) {
      AddUpstream(i < aScenario.m_slowUpstreams, false);
    }
    for (std::size_t vm = 0; vm < aScenario.m_vms; ++vm) {
      m_selectors.emplace_back(aScenario.m_options, [this] { return m_random(); });
    }
    ApplyLists(kStart);
    const double slow = static_cast<double>(aScenario.m_slowUpstreams);
    const double speed = static_cast<double>(aScenario.m_upstreams + aScenario.m_joining) - slow +
                         slow / aScenario.m_slowFactor;
    m_rate =
      aScenario.m_load * speed * static_cast<double>(aScenario.m_slots) / kServiceTime.count();
    m_events.push({ kStart, SimulatedEventKind::Arrival, 0, {}, 0 });
    m_events.push({ kStart, SimulatedEventKind::Report, 0, {}, 0 });
    if (aScenario.m_joining > 0) {
      m_events.push({ kStart + kJoinAt, SimulatedEventKind::Join, 0, {}, 0 });
    }
  }

  DispatchStats Run()
  {
    const auto end = kStart + (m_scenario.m_joining > 0 ? kEndAfterJoin : kEnd);
    while (m_events.top().m_at < end) {
      const SimulatedEvent event = m_events.top();
      m_events.pop();
      Handle(event);
    }
    return Stats();
  }

private:
  void Handle(const SimulatedEvent& aEvent)
  {
    switch (aEvent.m_kind) {
      case SimulatedEventKind::Arrival:
        return Arrive(aEvent.m_at);
      case SimulatedEventKind::Completion:
        return Complete(aEvent);
      case SimulatedEventKind::Report:
        return Report(aEvent.m_at);
      case SimulatedEventKind::ReportDelivery:
        for (auto& selector : m_selectors) {
          selector.ApplyLoad(m_upstreams[aEvent.m_upstream].m_id, aEvent.m_reported, aEvent.m_at);
        }
        return;
      case SimulatedEventKind::Join:
        for (std::size_t i = 0; i < m_scenario.m_joining; ++i) {
          AddUpstream(false, true);
        }
        ApplyLists(aEvent.m_at);
        return;
    }
  }

  void AddUpstream(bool aIsSlow, bool aIsCold)
  {
    SimulatedUpstream upstream;
    upstream.m_id = fmt::format("u-{:03}", m_upstreams.size());
    upstream.m_isSlow = aIsSlow;
    upstream.m_isCold = aIsCold;
    m_upstreams.push_back(std::move(upstream));
  }

  void ApplyLists(MonotonicTime aNow)
  {
    std::vector<ListedUpstream> list;
    for (const auto& upstream : m_upstreams) {
      list.push_back({ upstream.m_id, "1", static_cast<std::uint32_t>(m_scenario.m_slots), false });
    }
    for (auto& selector : m_selectors) {
      selector.ApplyList(list, aNow);
      for (const auto& upstream : m_upstreams) {
        selector.ApplyProbe(upstream.m_id, "1", ProbeResult::Active, aNow);
      }
    }
  }

  std::optional<std::size_t> Choose(std::size_t aVm, MonotonicTime aNow)
  {
    switch (m_scenario.m_policy) {
      case DispatchPolicy::RoundRobin:
        return m_roundRobinTurns[aVm]++ % m_upstreams.size();
      case DispatchPolicy::LeastConnections: {
        // The search starts at a random upstream, so that ties do not always go to the same one.
        const auto start = m_random() % m_upstreams.size();
        std::size_t best = start;
        for (std::size_t i = 1; i < m_upstreams.size(); ++i) {
          const auto other = (start + i) % m_upstreams.size();
          best = m_upstreams[other].m_inFlight < m_upstreams[best].m_inFlight ? other : best;
        }
        return best;
      }
      case DispatchPolicy::Selector:
        break;
    }
    auto& selector = m_selectors[aVm];
    const auto hasFreeSlot = [&](std::string_view aId) {
      return selector.Find(aId)->m_inFlight < m_scenario.m_slotsPerVm;
    };
    const auto choice = selector.Pick(hasFreeSlot, {}, aNow);
    if (!choice) {
      return std::nullopt;
    }
    selector.Dispatched(*choice);
    return static_cast<std::size_t>(std::stoul(choice->m_id.substr(2)));
  }

  void Arrive(MonotonicTime aNow)
  {
    const Seconds gap{ std::exponential_distribution<double>(m_rate)(m_random) };
    m_events.push({ After(aNow, gap), SimulatedEventKind::Arrival, 0, {}, 0 });
    const std::size_t vm = m_random() % m_scenario.m_vms;
    m_arrived += aNow >= m_measureFrom ? 1 : 0;
    m_waiting[vm].push_back({ aNow, aNow, vm });
    DispatchWaiting(vm, aNow);
  }

  void DispatchWaiting(std::size_t aVm, MonotonicTime aNow)
  {
    while (!m_waiting[aVm].empty()) {
      const auto chosen = Choose(aVm, aNow);
      if (!chosen) {
        return;
      }
      auto& upstream = m_upstreams[*chosen];
      ++upstream.m_inFlight;
      if (aNow >= m_measureFrom) {
        ++m_dispatched;
        m_dispatchedToSlow += upstream.m_isSlow ? 1 : 0;
        RecordFairShare(upstream, aNow);
      }
      upstream.m_queue.push_back(m_waiting[aVm].front());
      upstream.m_queue.back().m_dispatch = aNow;
      m_waiting[aVm].pop_front();
      StartNext(*chosen, aNow);
    }
  }

  void StartNext(std::size_t aUpstream, MonotonicTime aNow)
  {
    auto& upstream = m_upstreams[aUpstream];
    if (upstream.m_queue.empty() || upstream.m_running >= m_scenario.m_slots) {
      return;
    }
    Seconds mean = kServiceTime * (upstream.m_isSlow ? m_scenario.m_slowFactor : 1);
    const double missShare =
      std::exp(-static_cast<double>(upstream.m_served) / m_scenario.m_cache.m_requestsToWarm);
    if (upstream.m_isCold && std::uniform_real_distribution<double>()(m_random) < missShare) {
      mean *= 1 + m_scenario.m_cache.m_missCost;
    }
    const Seconds time{ std::exponential_distribution<double>(1 / mean.count())(m_random) };
    ++upstream.m_running;
    m_events.push({ After(aNow, time),
                    SimulatedEventKind::Completion,
                    aUpstream,
                    upstream.m_queue.front(),
                    0 });
    upstream.m_queue.pop_front();
  }

  void Complete(const SimulatedEvent& aEvent)
  {
    auto& upstream = m_upstreams[aEvent.m_upstream];
    --upstream.m_running;
    --upstream.m_inFlight;
    ++upstream.m_served;
    const auto latency = aEvent.m_at - aEvent.m_request.m_arrival;
    if (m_scenario.m_policy == DispatchPolicy::Selector) {
      auto& selector = m_selectors[aEvent.m_request.m_vm];
      const UpstreamChoice choice{ upstream.m_id, selector.Find(upstream.m_id)->m_incarnation };
      selector.Finished(
        choice, DispatchResult::Completed, aEvent.m_at - aEvent.m_request.m_dispatch, aEvent.m_at);
    }
    if (aEvent.m_request.m_arrival >= m_measureFrom) {
      m_latencies.push_back(Seconds(latency).count());
    }
    StartNext(aEvent.m_upstream, aEvent.m_at);
    DispatchWaiting(aEvent.m_request.m_vm, aEvent.m_at);
  }

  void Report(MonotonicTime aNow)
  {
    m_events.push({ After(aNow, Seconds{ 1 }), SimulatedEventKind::Report, 0, {}, 0 });
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
      auto reported = static_cast<std::uint32_t>(m_upstreams[i].m_inFlight);
      if (m_scenario.m_reports == LoadReports::Wrong) {
        reported = m_upstreams[i].m_isSlow ? 0 : static_cast<std::uint32_t>(m_random() % 40);
      }
      if (m_scenario.m_reports != LoadReports::None) {
        m_events.push(
          { After(aNow, kReportLag), SimulatedEventKind::ReportDelivery, i, {}, reported });
      }
    }
  }

  // The fair share is reached when the joined upstreams got 90% of their share of the requests of
  // the last second.
  void RecordFairShare(const SimulatedUpstream& aUpstream, MonotonicTime aNow)
  {
    const double joining = static_cast<double>(m_scenario.m_joining);
    m_lastSecond.emplace_back(aNow, aUpstream.m_isCold);
    m_coldInLastSecond += aUpstream.m_isCold ? 1 : 0;
    while (aNow - m_lastSecond.front().first > std::chrono::seconds{ 1 }) {
      m_coldInLastSecond -= m_lastSecond.front().second ? 1 : 0;
      m_lastSecond.pop_front();
    }
    const double share =
      static_cast<double>(m_coldInLastSecond) / static_cast<double>(m_lastSecond.size());
    const double fair = joining / static_cast<double>(m_upstreams.size());
    if (m_secondsToFairShare == 0 && joining > 0 && m_lastSecond.size() > 100 &&
        share >= 0.9 * fair) {
      m_secondsToFairShare = Seconds(aNow - m_measureFrom).count();
    }
  }

  DispatchStats Stats()
  {
    std::sort(m_latencies.begin(), m_latencies.end());
    const auto quantile = [this](double aShare) {
      const auto index = static_cast<std::size_t>(aShare * static_cast<double>(m_latencies.size()));
      return m_latencies[std::min(index, m_latencies.size() - 1)] * 1000;
    };
    // Requests that are unfinished at the end count as slower than all others.
    const double arrived = static_cast<double>(m_arrived);
    const double scale = arrived / static_cast<double>(m_latencies.size());
    const auto slow =
      m_latencies.end() - std::upper_bound(m_latencies.begin(), m_latencies.end(), 1.0);
    return { quantile(0.5 * scale),
             quantile(0.99 * scale),
             m_arrived,
             static_cast<double>(m_dispatchedToSlow) / static_cast<double>(m_dispatched),
             m_secondsToFairShare,
             static_cast<double>(slow) / static_cast<double>(m_latencies.size()) };
  }

  DispatchScenario m_scenario;
  std::mt19937_64 m_random;
  MonotonicTime m_measureFrom;
  double m_rate = 0;
  std::vector<SimulatedUpstream> m_upstreams;
  std::vector<UpstreamSelector> m_selectors;
  std::array<std::size_t, 16> m_roundRobinTurns{};
  std::priority_queue<SimulatedEvent, std::vector<SimulatedEvent>, std::greater<>> m_events;
  std::vector<double> m_latencies;
  std::array<std::deque<SimulatedRequest>, 16> m_waiting;
  std::size_t m_arrived = 0;
  std::size_t m_dispatched = 0;
  std::size_t m_dispatchedToSlow = 0;
  std::deque<std::pair<MonotonicTime, bool>> m_lastSecond;
  std::size_t m_coldInLastSecond = 0;
  double m_secondsToFairShare = 0;
};

} // namespace

DispatchStats Simulate(const DispatchScenario& aScenario)
{
  return Simulation(aScenario).Run();
}

} // namespace jaylane::policy
