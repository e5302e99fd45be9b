// Simulates goodput with degraded upstreams when they are chosen by reported load, by the VM's own
// requests in flight, and by these with ConcurrencyLimit.

#include "Simulation.h"

#include "jaylane/policy/ConcurrencyLimit.h"

#include <fmt/format.h>

namespace jaylane::policy::sim {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMeanServiceTime{ 60 };
constexpr milliseconds kDeadline{ 500 };
constexpr milliseconds kRejectionTime{ 2 };
constexpr milliseconds kReportInterval{ 1000 };
constexpr std::size_t kUpstreams = 12;
constexpr std::size_t kDegraded = 4;
constexpr std::uint32_t kSlots = 3;
constexpr std::size_t kRequests = 60'000;

enum class Fault
{
  None,
  Sheds, // rejects attempts while one is in flight
  Slows  // service time grows with the square of the attempts in flight
};

/// What upstreams are compared by.
enum class Choice
{
  Reported,
  OwnCounts,
  OwnLimit
};

/// One VM that owns all slots of its upstreams.
class SimulatedVm
{
public:
  SimulatedVm(Fault aFault, bool aReportsZeroLoad, Choice aChoice)
    : m_fault(aFault)
    , m_reportsZeroLoad(aReportsZeroLoad)
    , m_choice(aChoice)
    , m_upstreams(kUpstreams)
  {
    for (std::size_t i = 0; i < kDegraded; ++i) {
      m_upstreams[i].m_degraded = aFault != Fault::None;
    }
  }

  void Run(double aLoad)
  {
    const Time meanInterval{ static_cast<std::int64_t>(Time{ kMeanServiceTime }.count() /
                                                       (kSlots * kUpstreams * aLoad)) };
    std::size_t left = kRequests;
    std::function<void()> arrive = [&] {
      Attempt(m_events.Now() + kDeadline, m_events.Elapsed(), 2);
      if (--left > 0) {
        m_events.After(m_arrivalRandom.Exponential(meanInterval), arrive);
      } else {
        m_lastArrival = m_events.Elapsed();
      }
    };
    std::function<void()> report = [&] {
      for (Upstream& upstream : m_upstreams) {
        upstream.m_reported = upstream.m_degraded && m_reportsZeroLoad ? 0 : upstream.m_inFlight;
      }
      if (left > 0) {
        m_events.After(kReportInterval, report);
      }
    };
    report();
    arrive();
    m_events.Run();
  }

  double SuccessShare() const
  {
    return static_cast<double>(m_completedLatencies.size()) / kRequests;
  }
  double ShedsPerRequest() const { return static_cast<double>(m_shedCount) / kRequests; }
  double LatencyQuantileMs(double aQuantile) { return QuantileMs(m_completedLatencies, aQuantile); }

private:
  struct Upstream
  {
    bool m_degraded = false;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_reported = 0;
    ConcurrencyLimit m_limit{ {} };
  };

  std::uint32_t Allowed(const Upstream& aUpstream) const
  {
    return m_choice == Choice::OwnLimit ? aUpstream.m_limit.Limit(kSlots) : kSlots;
  }

  double Score(const Upstream& aUpstream) const
  {
    return m_choice == Choice::Reported ? aUpstream.m_reported
                                        : double(aUpstream.m_inFlight + 1) / Allowed(aUpstream);
  }

  /// @return the less loaded of two random upstreams with a free slot, or null if there are none.
  Upstream* Choose()
  {
    std::vector<Upstream*> available;
    for (Upstream& upstream : m_upstreams) {
      if (upstream.m_inFlight < Allowed(upstream)) {
        available.push_back(&upstream);
      }
    }
    if (available.empty()) {
      return nullptr;
    }
    Upstream* const first = available[m_choiceRandom.Below(available.size())];
    Upstream* const second = available[m_choiceRandom.Below(available.size())];
    return Score(*first) <= Score(*second) ? first : second;
  }

  void Attempt(base::MonotonicTime aDeadline, Time aArrived, int aAttempts)
  {
    Upstream* const upstream = Choose();
    if (m_events.Now() >= aDeadline) {
      return;
    }
    if (!upstream) {
      // Waits for a free slot. Polling keeps the simulation simple.
      m_events.After(milliseconds{ 2 }, [=, this] { Attempt(aDeadline, aArrived, aAttempts); });
      return;
    }
    const auto started = m_events.Now();
    const std::uint32_t inFlight = ++upstream->m_inFlight;
    if (upstream->m_degraded && m_fault == Fault::Sheds && upstream->m_inFlight > 1) {
      m_events.After(kRejectionTime, [=, this] {
        --upstream->m_inFlight;
        ++m_shedCount;
        upstream->m_limit.OnShed(started, m_events.Now(), kSlots);
        if (aAttempts > 1) {
          Attempt(aDeadline, aArrived, aAttempts - 1);
        }
      });
      return;
    }
    Time service = m_serviceRandom.Exponential(kMeanServiceTime);
    if (upstream->m_degraded && m_fault == Fault::Slows) {
      service *= upstream->m_inFlight * upstream->m_inFlight;
    }
    const Time left = aDeadline - m_events.Now();
    m_events.After(std::min(service, left),
                   [=, this] { Finish(*upstream, inFlight, started, aArrived, service <= left); });
  }

  void Finish(Upstream& aUpstream,
              std::uint32_t aInFlight,
              base::MonotonicTime aStarted,
              Time aArrived,
              bool aIsInTime)
  {
    if (aIsInTime) {
      m_completedLatencies.push_back(m_events.Elapsed() - aArrived);
      aUpstream.m_limit.OnCompleted(aStarted, m_events.Now(), aInFlight, kSlots);
    } else {
      aUpstream.m_limit.OnShed(aStarted, m_events.Now(), kSlots);
    }
    --aUpstream.m_inFlight;
  }

  const Fault m_fault;
  const bool m_reportsZeroLoad;
  const Choice m_choice;
  std::vector<Upstream> m_upstreams;
  Events m_events;
  Random m_arrivalRandom{ 6 };
  Random m_serviceRandom{ 7 };
  Random m_choiceRandom{ 8 };
  std::vector<Time> m_completedLatencies;
  std::uint64_t m_shedCount = 0;
  Time m_lastArrival{ 0 };
};

} // namespace

Table SimulateLimits()
{
  Table table{ "Limits: 12 upstreams of 3 slots, 4 degraded, 65% load, 500 ms, two attempts",
               { "good part", "sheds/request", "p50 ms", "p99 ms" },
               {} };
  for (const auto& [fault, reportsZeroLoad, name] :
       { std::tuple(Fault::None, false, "healthy"),
         std::tuple(Fault::Sheds, false, "shed"),
         std::tuple(Fault::Sheds, true, "shed, report 0"),
         std::tuple(Fault::Slows, false, "slow"),
         std::tuple(Fault::Slows, true, "slow, report 0") }) {
    for (const auto& [choice, label] : { std::pair(Choice::Reported, "reported load"),
                                         std::pair(Choice::OwnCounts, "own counts"),
                                         std::pair(Choice::OwnLimit, "own counts and limit") }) {
      SimulatedVm vm(fault, reportsZeroLoad, choice);
      vm.Run(0.65);
      table.m_rows.push_back({ fmt::format("{}, {}", name, label),
                               { vm.SuccessShare(),
                                 vm.ShedsPerRequest(),
                                 vm.LatencyQuantileMs(0.5),
                                 vm.LatencyQuantileMs(0.99) } });
    }
  }
  return table;
}

} // namespace jaylane::policy::sim
