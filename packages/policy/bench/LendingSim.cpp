// Simulates request latency with pooled slots, with fixed shares, and with lending between VMs.

#include "Simulation.h"

#include "jaylane/policy/SharePlans.h"
#include "jaylane/policy/SlotBorrower.h"

#include <deque>
#include <fmt/format.h>
#include <memory>
#include <optional>

namespace jaylane::policy::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kMeanServiceTime{ 60 };
constexpr milliseconds kMessageDelay{ 2 };
constexpr seconds kTimeout{ 2 };
/// Requests of one run.
constexpr std::size_t kRequests = 120'000;
constexpr std::uint64_t kRuns = 3;

enum class Mode
{
  Pooled,  ///< One VM per zone owns all slots.
  Fixed,   ///< Equal shares without lending.
  Lending, ///< Equal shares with lending.
};

struct Scenario
{
  std::string m_name;
  std::size_t m_zones = 1;
  std::size_t m_vmsPerZone = 2;
  std::size_t m_upstreams = 1;
  std::uint32_t m_slots = 6;
  /// Fraction of a zone's arrivals that goes to its first VM; the others share the rest.
  double m_firstVmShare = 0.5;
  /// Offered load, as a fraction of the capacity of all slots.
  double m_utilization = 0.85;
  SlotLender::Options m_lender{};
  SlotBorrower::Options m_borrower{};
};

struct Totals
{
  std::vector<Time> m_latencies;
  std::uint64_t m_messages = 0;
  std::uint64_t m_borrowed = 0;
};

class Zone
{
public:
  Zone(Events& aEvents, Random& aRandom, Totals& aTotals, const Scenario& aScenario, Mode aMode)
    : m_events(aEvents)
    , m_random(aRandom)
    , m_totals(aTotals)
    , m_lends(aMode == Mode::Lending)
    , m_upstreamCount(static_cast<std::uint32_t>(aScenario.m_upstreams))
  {
    const std::size_t vms = aMode == Mode::Pooled ? 1 : aScenario.m_vmsPerZone;
    for (std::size_t i = 0; i < vms; ++i) {
      m_vms.push_back(std::make_unique<Vm>("vm-" + std::to_string(i), aScenario));
    }
    ShareTable table = *MakeInitialShareTable("vm-0", vms);
    for (std::uint32_t unit = 0; unit < table.Units(); ++unit) {
      table.Assign(unit, m_vms[unit % vms]->m_id, 0);
    }
    for (const auto& vm : m_vms) {
      for (std::size_t i = 0; i < aScenario.m_upstreams; ++i) {
        vm->m_pool.SetUpstream("upstream-" + std::to_string(i), aScenario.m_slots);
      }
      vm->m_pool.ApplyTable(table, 1, m_events.Now());
    }
  }

  void Arrive(std::size_t aVm)
  {
    Vm& vm = *m_vms[aVm % m_vms.size()];
    vm.m_queue.push_back(m_events.Elapsed());
    DispatchQueued(vm);
  }

private:
  struct Vm
  {
    Vm(VmIncarnation aId, const Scenario& aScenario)
      : m_id(std::move(aId))
      , m_pool(m_id, {})
      , m_slotLender(m_id, m_pool, aScenario.m_lender)
      , m_borrower(m_id, m_pool, aScenario.m_borrower)
    {
    }

    std::uint32_t Waiting() const { return static_cast<std::uint32_t>(m_queue.size()); }

    const VmIncarnation m_id;
    SlotPool m_pool;
    SlotLender m_slotLender;
    SlotBorrower m_borrower;
    std::deque<Time> m_queue;
    bool m_isRetryScheduled = false;
  };

  Vm& Find(const VmIncarnation& aId) { return *m_vms[std::stoul(aId.substr(3))]; }

  std::optional<SlotTicket> Acquire(Vm& aVm)
  {
    const auto first = static_cast<UpstreamIndex>(m_random.Below(m_upstreamCount));
    for (UpstreamIndex i = 0; i < m_upstreamCount; ++i) {
      const UpstreamIndex upstream = (first + i) % m_upstreamCount;
      if (const auto ticket = aVm.m_pool.Acquire(upstream, m_events.Now(), kTimeout)) {
        return ticket;
      }
    }
    return std::nullopt;
  }

  void DispatchQueued(Vm& aVm)
  {
    while (!aVm.m_queue.empty()) {
      const auto ticket = Acquire(aVm);
      if (!ticket) {
        break;
      }
      m_totals.m_borrowed += ticket->m_lease != 0 ? 1 : 0;
      const Time arrived = aVm.m_queue.front();
      aVm.m_queue.pop_front();
      m_events.After(std::min<Time>(m_random.Exponential(kMeanServiceTime), kTimeout),
                     [this, &aVm, ticket, arrived] { Finish(aVm, *ticket, arrived); });
    }
    if (m_lends && !aVm.m_queue.empty()) {
      RequestSlots(aVm);
    }
  }

  void RequestSlots(Vm& aVm)
  {
    const auto upstream = static_cast<UpstreamIndex>(m_random.Below(m_upstreamCount));
    if (const auto request =
          aVm.m_borrower.MaybeRequestSlots(upstream, aVm.Waiting(), m_events.Now())) {
      Send([this, &lender = Find(request->m_lender), message = request->m_request] {
        const auto index = *lender.m_pool.Find(message.m_upstream);
        SendGrant(lender.m_slotLender.OnRequest(message, lender.Waiting(), m_events.Now()));
        // A slot borrowed from the requesting VM may be free here.
        ReturnRequestedSlots(lender, index);
      });
    }
    if (!aVm.m_isRetryScheduled) {
      aVm.m_isRetryScheduled = true;
      m_events.After(milliseconds{ 10 }, [this, &aVm] {
        aVm.m_isRetryScheduled = false;
        DispatchQueued(aVm);
      });
    }
  }

  void Send(std::function<void()> aDeliver)
  {
    ++m_totals.m_messages;
    m_events.After(kMessageDelay, std::move(aDeliver));
  }

  void SendGrant(const std::optional<SlotGrant>& aGrant)
  {
    if (aGrant) {
      Send([this, &vm = Find(aGrant->m_borrower), grant = *aGrant] {
        vm.m_borrower.OnGrant(grant, m_events.Now());
        DispatchQueued(vm);
        SendReturns(vm.m_borrower.ReturnUnused(
          *vm.m_pool.Find(grant.m_upstream), vm.Waiting(), m_events.Now()));
      });
    }
  }

  void SendReturns(const std::vector<SlotReturn>& aReturns)
  {
    for (const SlotReturn& slotReturn : aReturns) {
      Send([this, &vm = Find(slotReturn.m_lender), slotReturn] {
        vm.m_slotLender.OnReturn(slotReturn);
        SendGrant(vm.m_slotLender.OnFree(
          *vm.m_pool.Find(slotReturn.m_upstream), vm.Waiting(), m_events.Now()));
        DispatchQueued(vm);
      });
    }
  }

  void ReturnRequestedSlots(Vm& aVm, UpstreamIndex aUpstream)
  {
    for (const VmIncarnation& lender : aVm.m_borrower.Lenders(aUpstream)) {
      if (aVm.m_slotLender.ShouldReturn(lender, aUpstream, aVm.Waiting(), m_events.Now())) {
        if (const auto slotReturn = aVm.m_borrower.ReturnOne(aUpstream, lender)) {
          SendReturns({ *slotReturn });
        }
      }
    }
  }

  void Finish(Vm& aVm, const SlotTicket& aTicket, Time aArrived)
  {
    m_totals.m_latencies.push_back(m_events.Elapsed() - aArrived);
    aVm.m_pool.Release(aTicket);
    if (m_lends) {
      SendGrant(aVm.m_slotLender.OnFree(aTicket.m_upstream, aVm.Waiting(), m_events.Now()));
      ReturnRequestedSlots(aVm, aTicket.m_upstream);
    }
    DispatchQueued(aVm);
    if (m_lends) {
      SendReturns(aVm.m_borrower.ReturnUnused(aTicket.m_upstream, aVm.Waiting(), m_events.Now()));
    }
  }

  Events& m_events;
  Random& m_random;
  Totals& m_totals;
  const bool m_lends;
  const std::uint32_t m_upstreamCount;
  std::vector<std::unique_ptr<Vm>> m_vms;
};

void Simulate(const Scenario& aScenario, Mode aMode, std::uint64_t aSeed, Totals& aTotals)
{
  Events events;
  Random arrivals(aSeed);
  Random services(aSeed + 100);
  std::vector<std::unique_ptr<Zone>> zones;
  for (std::size_t i = 0; i < aScenario.m_zones; ++i) {
    zones.push_back(std::make_unique<Zone>(events, services, aTotals, aScenario, aMode));
  }
  const double slots =
    static_cast<double>(aScenario.m_zones * aScenario.m_upstreams) * aScenario.m_slots;
  const Time gap{ static_cast<std::int64_t>(Time{ kMeanServiceTime }.count() /
                                            (slots * aScenario.m_utilization)) };
  std::size_t remaining = kRequests;
  std::function<void()> arrive = [&] {
    const bool first = arrivals.Unit() < aScenario.m_firstVmShare;
    const std::size_t vm = first ? 0 : 1 + arrivals.Below(aScenario.m_vmsPerZone - 1);
    zones[arrivals.Below(zones.size())]->Arrive(vm);
    if (--remaining > 0) {
      events.After(arrivals.Exponential(gap), arrive);
    }
  };
  arrive();
  events.Run();
}

Table::Row Measure(const std::string& aLabel,
                   const Scenario& aScenario,
                   Mode aMode,
                   double aPooledP99Ms)
{
  Totals totals;
  for (std::uint64_t run = 1; run <= kRuns; ++run) {
    Simulate(aScenario, aMode, run, totals);
  }
  const double requests = kRuns * kRequests;
  const double p99 = QuantileMs(totals.m_latencies, 0.99);
  return { aLabel,
           { QuantileMs(totals.m_latencies, 0.5),
             p99,
             p99 / (aPooledP99Ms == 0 ? p99 : aPooledP99Ms),
             static_cast<double>(totals.m_messages) / requests,
             static_cast<double>(totals.m_borrowed) / requests } };
}

const std::vector<std::string> kColumns{ "p50 ms",
                                         "p99 ms",
                                         "p99/pooled",
                                         "msg/request",
                                         "borrowed/req" };

} // namespace

Table SimulateLending()
{
  Table table{ "Lending: 3 runs of 120,000 requests, 60 ms exponential service, 2 ms per message",
               kColumns,
               {} };
  const std::vector<Scenario> scenarios{
    { "6 slots, 2 VMs", 1, 2, 1, 6, 0.5, 0.70 },
    { "6 slots, 2 VMs", 1, 2, 1, 6, 0.5, 0.85 },
    { "6 slots, 2 VMs, 70:30", 1, 2, 1, 6, 0.7, 0.85 },
    { "12 VMs, 6 zones, 3 x 4 slots", 6, 2, 3, 4, 0.5, 0.70 },
    { "12 VMs, 6 zones, 3 x 4 slots", 6, 2, 3, 4, 0.5, 0.85 },
    { "12 VMs, 1 zone, 12 x 4 slots", 1, 12, 12, 4, 1.0 / 12, 0.85 },
  };
  for (const Scenario& scenario : scenarios) {
    double pooledP99Ms = 0;
    for (const auto& [mode, name] : { std::pair(Mode::Pooled, "pooled"),
                                      std::pair(Mode::Fixed, "fixed"),
                                      std::pair(Mode::Lending, "lending") }) {
      const auto label =
        fmt::format("{}, {:.0f}%, {}", scenario.m_name, scenario.m_utilization * 100, name);
      table.m_rows.push_back(Measure(label, scenario, mode, pooledP99Ms));
      pooledP99Ms = mode == Mode::Pooled ? table.m_rows.back().m_values[1] : pooledP99Ms;
    }
  }
  return table;
}

Table SimulateLendingOptions()
{
  Table table{ "Lending options: 6 slots, 2 VMs, 85%, one option changed", kColumns, {} };
  for (const double firstVm : { 0.5, 0.7 }) {
    Scenario base{ "", 1, 2, 1, 6, firstVm, 0.85 };
    const auto add = [&](const char* aLabel, const std::function<void(Scenario&)>& aChange) {
      Scenario scenario = base;
      aChange(scenario);
      const double pooledP99Ms = table.m_rows.empty() ? 0 : table.m_rows.front().m_values[1];
      const Mode mode = table.m_rows.empty() ? Mode::Pooled : Mode::Lending;
      table.m_rows.push_back(
        Measure(fmt::format("{:.0f}:{:.0f}, {}", firstVm * 100, 100 - firstVm * 100, aLabel),
                scenario,
                mode,
                pooledP99Ms));
    };
    if (table.m_rows.empty()) {
      add("pooled", [](Scenario&) {});
    }
    add("defaults", [](Scenario&) {});
    add("reserve 0", [](Scenario& aOther) { aOther.m_lender.m_reserve = 0; });
    add("reserve 2", [](Scenario& aOther) { aOther.m_lender.m_reserve = 2; });
    add("imbalance 0", [](Scenario& aOther) { aOther.m_lender.m_imbalance = 0; });
    add("imbalance 1", [](Scenario& aOther) { aOther.m_lender.m_imbalance = 1; });
    add("imbalance 4", [](Scenario& aOther) { aOther.m_lender.m_imbalance = 4; });
    add("requests not queued", [](Scenario& aOther) { aOther.m_lender.m_queueTime = Time{ 0 }; });
    add("request every 5 ms", [](Scenario& aOther) {
      aOther.m_borrower.m_minIntervalPerUpstream = aOther.m_borrower.m_minInterval =
        milliseconds{ 5 };
    });
    add("request every 10 ms", [](Scenario& aOther) {
      aOther.m_borrower.m_minIntervalPerUpstream = aOther.m_borrower.m_minInterval =
        milliseconds{ 10 };
    });
    add("request every 20 ms",
        [](Scenario& aOther) { aOther.m_borrower.m_minIntervalPerUpstream = milliseconds{ 20 }; });
  }
  return table;
}

} // namespace jaylane::policy::sim
