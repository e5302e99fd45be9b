// Goodput with degraded upstreams: chosen by reported load, by own counts, with the limit.

#include "Simulation.h"

#include "jaylane/policy/ConcurrencyLimit.h"

#include <fmt/format.h>

namespace jaylane::policy::sim {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kService{ 60 };
constexpr milliseconds kDeadline{ 500 };
constexpr milliseconds kReject{ 2 };
constexpr milliseconds kReportInterval{ 1000 };
constexpr std::size_t kUpstreams = 12;
constexpr std::size_t kDegraded = 4;
constexpr std::uint32_t kSlots = 3;
constexpr std::size_t kRequests = 60'000;

enum class Fault
{
  None,
  Sheds, // rejects all but one attempt at a time
  Slows  // takes longer in proportion to the square of the attempts in flight
};

enum class Choice
{
  Reported,
  OwnCounts,
  OwnLimit
};

class Site
{
public:
  Site(Fault aFault, bool aLies, Choice aChoice)
    : m_fault(aFault)
    , m_lies(aLies)
    , m_choice(aChoice)
    , m_upstreams(kUpstreams)
  {
    for (std::size_t i = 0; i < kDegraded; ++i) {
      m_upstreams[i].m_degraded = aFault != Fault::None;
    }
  }

  void Run(double aLoad)
  {
    const Time gap{ static_cast<std::int64_t>(Time{ kService }.count() /
                                              (kSlots * kUpstreams * aLoad)) };
    std::size_t left = kRequests;
    std::function<void()> arrive = [&] {
      Try(m_events.Now() + kDeadline, m_events.Elapsed(), 2);
      if (--left > 0) {
        m_events.After(m_arrivals.Exponential(gap), arrive);
      } else {
        m_end = m_events.Elapsed();
      }
    };
    std::function<void()> report = [&] {
      for (Upstream& upstream : m_upstreams) {
        upstream.m_reported = upstream.m_degraded && m_lies ? 0 : upstream.m_inFlight;
      }
      if (left > 0) {
        m_events.After(kReportInterval, report);
      }
    };
    report();
    arrive();
    m_events.Run();
  }

  double Good() const { return static_cast<double>(m_good.size()) / kRequests; }
  double Sheds() const { return static_cast<double>(m_sheds) / kRequests; }
  double Quantile(double aQuantile) { return QuantileMs(m_good, aQuantile); }

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

  /// @return the better of two random upstreams that have a slot, or nothing.
  Upstream* Choose()
  {
    std::vector<Upstream*> open;
    for (Upstream& upstream : m_upstreams) {
      if (upstream.m_inFlight < Allowed(upstream)) {
        open.push_back(&upstream);
      }
    }
    if (open.empty()) {
      return nullptr;
    }
    Upstream* const first = open[m_choices.Below(open.size())];
    Upstream* const second = open[m_choices.Below(open.size())];
    return Score(*first) <= Score(*second) ? first : second;
  }

  void Try(base::MonotonicTime aDeadline, Time aArrived, int aAttempts)
  {
    Upstream* const upstream = Choose();
    if (m_events.Now() >= aDeadline) {
      return;
    }
    if (!upstream) {
      // Waits for a slot; polling keeps the simulation short.
      m_events.After(milliseconds{ 2 }, [=, this] { Try(aDeadline, aArrived, aAttempts); });
      return;
    }
    const auto started = m_events.Now();
    const std::uint32_t inFlight = ++upstream->m_inFlight;
    if (upstream->m_degraded && m_fault == Fault::Sheds && upstream->m_inFlight > 1) {
      m_events.After(kReject, [=, this] {
        --upstream->m_inFlight;
        ++m_sheds;
        upstream->m_limit.OnShed(started, m_events.Now(), kSlots);
        if (aAttempts > 1) {
          Try(aDeadline, aArrived, aAttempts - 1);
        }
      });
      return;
    }
    Time service = m_services.Exponential(kService);
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
              bool aGood)
  {
    if (aGood) {
      m_good.push_back(m_events.Elapsed() - aArrived);
      aUpstream.m_limit.OnCompleted(aStarted, m_events.Now(), aInFlight, kSlots);
    } else {
      aUpstream.m_limit.OnShed(aStarted, m_events.Now(), kSlots);
    }
    --aUpstream.m_inFlight;
  }

  const Fault m_fault;
  const bool m_lies;
  const Choice m_choice;
  std::vector<Upstream> m_upstreams;
  Events m_events;
  Random m_arrivals{ 6 };
  Random m_services{ 7 };
  Random m_choices{ 8 };
  std::vector<Time> m_good;
  std::uint64_t m_sheds = 0;
  Time m_end{ 0 };
};

} // namespace

Table SimulateLimits()
{
  Table table{ "Limits: 12 upstreams of 3 slots, 4 degraded, 65% load, 500 ms, two attempts",
               { "good part", "sheds/request", "p50 ms", "p99 ms" },
               {} };
  for (const auto& [fault, lies, name] : { std::tuple(Fault::None, false, "healthy"),
                                           std::tuple(Fault::Sheds, false, "shed"),
                                           std::tuple(Fault::Sheds, true, "shed, report 0"),
                                           std::tuple(Fault::Slows, false, "slow"),
                                           std::tuple(Fault::Slows, true, "slow, report 0") }) {
    for (const auto& [choice, label] : { std::pair(Choice::Reported, "reported load"),
                                         std::pair(Choice::OwnCounts, "own counts"),
                                         std::pair(Choice::OwnLimit, "own counts and limit") }) {
      Site site(fault, lies, choice);
      site.Run(0.65);
      table.m_rows.push_back(
        { fmt::format("{}, {}", name, label),
          { site.Good(), site.Sheds(), site.Quantile(0.5), site.Quantile(0.99) } });
    }
  }
  return table;
}

} // namespace jaylane::policy::sim
