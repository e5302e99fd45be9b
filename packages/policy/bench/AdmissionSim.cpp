// Simulates goodput under overload, with and without deadlines in the admission queue.

#include "Simulation.h"

#include "jaylane/policy/AdmissionQueue.h"

#include <deque>
#include <fmt/format.h>
#include <optional>

namespace jaylane::policy::sim {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMeanServiceTime{ 60 };
constexpr std::uint32_t kSlots = 6;
constexpr std::size_t kRequests = 120'000;

struct Policy
{
  std::string m_name;
  bool m_usesDeadlines = false;
  AdmissionQueue::Order m_order = AdmissionQueue::Order::Fifo;
  /// AdmissionQueue::ServiceTimes::m_serviceTimeBound.
  milliseconds m_serviceTimeBound{ 0 };
  std::size_t m_capacity = 1024;
};

/// One VM that owns all slots. The time limits of its requests are uniformly distributed between
/// 0.5 s and 1.5 s.
class Server
{
public:
  explicit Server(const Policy& aPolicy)
    : m_policy(aPolicy)
    , m_queue({ aPolicy.m_capacity, aPolicy.m_order })
    , m_serviceTimes{ aPolicy.m_serviceTimeBound, Time{ kMeanServiceTime } / kSlots }
  {
  }

  void Run(double aLoad)
  {
    const Time meanInterval{ static_cast<std::int64_t>(Time{ kMeanServiceTime }.count() /
                                                       (kSlots * aLoad)) };
    std::size_t left = kRequests;
    std::function<void()> arrive = [&] {
      Arrive();
      if (--left > 0) {
        m_events.After(m_arrivalRandom.Exponential(meanInterval), arrive);
      } else {
        m_lastArrival = m_events.Elapsed();
      }
    };
    arrive();
    m_events.Run();
  }

  /// @return requests per second that were completed before their deadlines.
  double GoodputPerSecond() const
  {
    return static_cast<double>(m_completedLatencies.size()) /
           std::chrono::duration<double>(m_lastArrival).count();
  }
  double LatencyQuantileMs(double aQuantile) { return QuantileMs(m_completedLatencies, aQuantile); }
  /// @return time in which 99% of the rejected requests were answered, in milliseconds.
  double P99RejectionMs() { return QuantileMs(m_rejectionLatencies, 0.99); }
  /// @return fraction of the busy time of the slots that was spent on requests that failed.
  double WastedShare() const
  {
    return m_busyTime.count() == 0 ? 0 : double(m_wastedTime.count()) / double(m_busyTime.count());
  }

private:
  struct Request
  {
    Time m_arrived{ 0 };
    base::MonotonicTime m_deadline;
  };

  void Arrive()
  {
    const milliseconds timeLimit{ 500 + static_cast<int>(m_arrivalRandom.Below(1000)) };
    const std::uint64_t id = m_requests.size();
    m_requests.push_back({ m_events.Elapsed(), m_events.Now() + timeLimit });
    if (m_policy.m_usesDeadlines) {
      DropLate();
      if (!m_queue.Offer({ id, m_requests[id].m_deadline }, m_serviceTimes, m_events.Now())) {
        m_rejectionLatencies.push_back(Time{ 0 });
      }
    } else if (m_queueWithoutDeadlines.size() < m_policy.m_capacity) {
      m_queueWithoutDeadlines.push_back(id);
    }
    StartRequests();
  }

  void DropLate()
  {
    for (const auto& entry : m_queue.DropLate(m_serviceTimes, m_events.Now())) {
      m_rejectionLatencies.push_back(m_events.Elapsed() - m_requests[entry.m_id].m_arrived);
    }
  }

  std::optional<std::uint64_t> TakeNext()
  {
    if (m_policy.m_usesDeadlines) {
      DropLate();
      const auto entry = m_queue.Take();
      return entry ? std::optional(entry->m_id) : std::nullopt;
    }
    if (m_queueWithoutDeadlines.empty()) {
      return std::nullopt;
    }
    const std::uint64_t id = m_queueWithoutDeadlines.front();
    m_queueWithoutDeadlines.pop_front();
    return id;
  }

  void StartRequests()
  {
    while (m_usedSlots < kSlots) {
      const auto id = TakeNext();
      if (!id) {
        return;
      }
      ++m_usedSlots;
      const Request request = m_requests[*id];
      const Time service = m_serviceRandom.Exponential(kMeanServiceTime);
      // With deadlines, the attempt is cancelled at the deadline.
      const Time left = request.m_deadline - m_events.Now();
      const Time slotTime =
        m_policy.m_usesDeadlines ? std::min(service, std::max(left, Time{ 0 })) : service;
      m_events.After(slotTime, [this, request, slotTime, isInTime = service <= left] {
        --m_usedSlots;
        m_busyTime += slotTime;
        if (isInTime) {
          m_completedLatencies.push_back(m_events.Elapsed() - request.m_arrived);
        } else {
          m_wastedTime += slotTime;
        }
        StartRequests();
      });
    }
  }

  const Policy m_policy;
  Events m_events;
  Random m_arrivalRandom{ 3 };
  Random m_serviceRandom{ 4 };
  AdmissionQueue m_queue;
  const AdmissionQueue::ServiceTimes m_serviceTimes;
  std::deque<std::uint64_t> m_queueWithoutDeadlines;
  std::vector<Request> m_requests;
  std::uint32_t m_usedSlots = 0;
  std::vector<Time> m_completedLatencies;
  std::vector<Time> m_rejectionLatencies;
  Time m_busyTime{ 0 };
  Time m_wastedTime{ 0 };
  Time m_lastArrival{ 0 };
};

} // namespace

Table SimulateAdmission()
{
  using Order = AdmissionQueue::Order;
  Table table{ "Admission: 6 slots, 60 ms exponential service, deadlines 0.5 to 1.5 s",
               { "goodput/s", "of FIFO 1x", "p50 ms", "p99 ms", "wasted part", "429 p99 ms" },
               {} };
  const std::vector<Policy> policies{
    { "FIFO, bound p99 276 ms", true, Order::Fifo, milliseconds{ 276 } },
    { "FIFO, bound p50 42 ms", true, Order::Fifo, milliseconds{ 42 } },
    { "FIFO, bound p99 276 ms, 20 wait", true, Order::Fifo, milliseconds{ 276 }, 20 },
    { "LIFO, bound p99 276 ms", true, Order::Lifo, milliseconds{ 276 } },
    { "FIFO, no deadlines", false, Order::Fifo, milliseconds{ 0 } },
  };
  double baselineGoodput = 0; // of the first policy at load 1
  for (const Policy& policy : policies) {
    for (const double load : { 1.0, 2.0, 5.0, 10.0 }) {
      Server server(policy);
      server.Run(load);
      if (baselineGoodput == 0) {
        baselineGoodput = server.GoodputPerSecond();
      }
      table.m_rows.push_back({ fmt::format("{}, {:.0f}x", policy.m_name, load),
                               { server.GoodputPerSecond(),
                                 server.GoodputPerSecond() / baselineGoodput,
                                 server.LatencyQuantileMs(0.5),
                                 server.LatencyQuantileMs(0.99),
                                 server.WastedShare(),
                                 server.P99RejectionMs() } });
    }
  }
  return table;
}

} // namespace jaylane::policy::sim
