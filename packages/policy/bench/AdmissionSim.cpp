// Goodput under overload with and without deadlines in the queue.

#include "Simulation.h"

#include "jaylane/policy/AdmissionQueue.h"

#include <deque>
#include <fmt/format.h>
#include <optional>

namespace jaylane::policy::sim {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kService{ 60 };
constexpr std::uint32_t kSlots = 6;
constexpr std::size_t kRequests = 120'000;

struct Policy
{
  std::string m_name;
  bool m_deadlines = false;
  AdmissionQueue::Order m_order = AdmissionQueue::Order::Fifo;
  /// Time for which a request must be expected to run.
  milliseconds m_bound{ 0 };
  std::size_t m_capacity = 1024;
};

/// One VM that owns all slots. Requests have 1 s, spread by half of that.
class Server
{
public:
  explicit Server(const Policy& aPolicy)
    : m_policy(aPolicy)
    , m_queue({ aPolicy.m_capacity, aPolicy.m_order })
    , m_speed{ aPolicy.m_bound, Time{ kService } / kSlots }
  {
  }

  void Run(double aLoad)
  {
    const Time gap{ static_cast<std::int64_t>(Time{ kService }.count() / (kSlots * aLoad)) };
    std::size_t left = kRequests;
    std::function<void()> arrive = [&] {
      Arrive();
      if (--left > 0) {
        m_events.After(m_arrivals.Exponential(gap), arrive);
      } else {
        m_end = m_events.Elapsed();
      }
    };
    arrive();
    m_events.Run();
  }

  /// @return requests completed before their deadline, per second of arrivals.
  double Goodput() const
  {
    return static_cast<double>(m_good.size()) / std::chrono::duration<double>(m_end).count();
  }
  double Quantile(double aQuantile) { return QuantileMs(m_good, aQuantile); }
  /// @return time after which 99% of the rejected requests are answered.
  double RejectedAfter() { return QuantileMs(m_rejected, 0.99); }
  /// @return part of the slots' time that went to requests that failed.
  double Wasted() const
  {
    return m_busy.count() == 0 ? 0 : double(m_wasted.count()) / double(m_busy.count());
  }

private:
  struct Request
  {
    Time m_arrived{ 0 };
    base::MonotonicTime m_deadline;
  };

  void Arrive()
  {
    const milliseconds budget{ 500 + static_cast<int>(m_arrivals.Below(1000)) };
    const std::uint64_t id = m_requests.size();
    m_requests.push_back({ m_events.Elapsed(), m_events.Now() + budget });
    if (m_policy.m_deadlines) {
      DropLate();
      if (!m_queue.Offer({ id, m_requests[id].m_deadline }, m_speed, m_events.Now())) {
        m_rejected.push_back(Time{ 0 });
      }
    } else if (m_plain.size() < m_policy.m_capacity) {
      m_plain.push_back(id);
    }
    Pump();
  }

  void DropLate()
  {
    for (const auto& entry : m_queue.DropLate(m_speed, m_events.Now())) {
      m_rejected.push_back(m_events.Elapsed() - m_requests[entry.m_id].m_arrived);
    }
  }

  std::optional<std::uint64_t> Next()
  {
    if (m_policy.m_deadlines) {
      DropLate();
      const auto entry = m_queue.Take();
      return entry ? std::optional(entry->m_id) : std::nullopt;
    }
    if (m_plain.empty()) {
      return std::nullopt;
    }
    const std::uint64_t id = m_plain.front();
    m_plain.pop_front();
    return id;
  }

  void Pump()
  {
    while (m_used < kSlots) {
      const auto id = Next();
      if (!id) {
        return;
      }
      ++m_used;
      const Request request = m_requests[*id];
      const Time service = m_services.Exponential(kService);
      // With deadlines the attempt is cancelled when the deadline passes.
      const Time left = request.m_deadline - m_events.Now();
      const Time used =
        m_policy.m_deadlines ? std::min(service, std::max(left, Time{ 0 })) : service;
      m_events.After(used, [this, request, used, good = service <= left] {
        --m_used;
        m_busy += used;
        if (good) {
          m_good.push_back(m_events.Elapsed() - request.m_arrived);
        } else {
          m_wasted += used;
        }
        Pump();
      });
    }
  }

  const Policy m_policy;
  Events m_events;
  Random m_arrivals{ 3 };
  Random m_services{ 4 };
  AdmissionQueue m_queue;
  const AdmissionQueue::ServiceTimes m_speed;
  std::deque<std::uint64_t> m_plain;
  std::vector<Request> m_requests;
  std::uint32_t m_used = 0;
  std::vector<Time> m_good;
  std::vector<Time> m_rejected;
  Time m_busy{ 0 };
  Time m_wasted{ 0 };
  Time m_end{ 0 };
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
  double atCapacity = 0; // goodput at 1x of the first policy
  for (const Policy& policy : policies) {
    for (const double load : { 1.0, 2.0, 5.0, 10.0 }) {
      Server server(policy);
      server.Run(load);
      if (atCapacity == 0) {
        atCapacity = server.Goodput();
      }
      table.m_rows.push_back({ fmt::format("{}, {:.0f}x", policy.m_name, load),
                               { server.Goodput(),
                                 server.Goodput() / atCapacity,
                                 server.Quantile(0.5),
                                 server.Quantile(0.99),
                                 server.Wasted(),
                                 server.RejectedAfter() } });
    }
  }
  return table;
}

} // namespace jaylane::policy::sim
