// Attempts per request with and without a retry budget, while upstreams fail.

#include "Simulation.h"

#include "jaylane/policy/RetryBudget.h"

#include <fmt/format.h>

namespace jaylane::policy::sim {

namespace {

constexpr std::size_t kRequests = 120'000;
constexpr std::chrono::milliseconds kGap{ 1 };

/// @param aHops VMs that a request passes; each retries on its own.
/// @return attempts at the upstreams for one request.
struct Chain
{
  std::vector<RetryBudget> m_budgets;
  bool m_limited = false;
  int m_attempts = 2;
  double m_failures = 1;
  Random m_random{ 5 };
  std::uint64_t m_sent = 0;
  std::uint64_t m_succeeded = 0;

  bool Attempt(std::size_t aHop, base::MonotonicTime aNow)
  {
    if (aHop == m_budgets.size()) {
      ++m_sent;
      return m_random.Unit() >= m_failures;
    }
    RetryBudget& budget = m_budgets[aHop];
    budget.OnRequest(aNow);
    for (int attempt = 1;; ++attempt) {
      if (Attempt(aHop + 1, aNow)) {
        return true;
      }
      if (attempt == m_attempts || (m_limited && !budget.TryRetry(aNow))) {
        return false;
      }
    }
  }
};

} // namespace

Table SimulateRetries()
{
  Table table{ "Retries: 120,000 requests, 1,000 a second, budget 10% of 10 s and 3",
               { "attempts/req", "success part" },
               {} };
  for (const double failures : { 1.0, 0.5, 0.05 }) {
    for (const std::size_t hops : { 1, 2 }) {
      for (const int attempts : { 2, 3 }) {
        for (const bool limited : { false, true }) {
          Chain chain{
            std::vector<RetryBudget>(hops, RetryBudget({})), limited, attempts, failures
          };
          Events events;
          for (std::size_t i = 0; i < kRequests; ++i) {
            events.After(kGap * static_cast<int>(i),
                         [&] { chain.m_succeeded += chain.Attempt(0, events.Now()) ? 1 : 0; });
          }
          events.Run();
          table.m_rows.push_back(
            { fmt::format("{:.0f}% fail, {} VM, {} attempts, {}",
                          failures * 100,
                          hops,
                          attempts,
                          limited ? "budget" : "no budget"),
              { double(chain.m_sent) / kRequests, double(chain.m_succeeded) / kRequests } });
        }
      }
    }
  }
  return table;
}

} // namespace jaylane::policy::sim
