// Simulates the attempts per request with and without a retry budget while upstreams fail.

#include "Simulation.h"

#include "jaylane/policy/RetryBudget.h"

#include <fmt/format.h>

namespace jaylane::policy::sim {

namespace {

constexpr std::size_t kRequests = 120'000;
constexpr std::chrono::milliseconds kRequestInterval{ 1 };

/// VMs that each request passes one after the other; each of them retries on its own.
struct VmChain
{
  /// One for each VM.
  std::vector<RetryBudget> m_budgets;
  bool m_usesBudget = false;
  int m_maxAttempts = 2;
  double m_failureRate = 1;
  Random m_random{ 5 };
  /// Attempts that reached an upstream.
  std::uint64_t m_upstreamAttempts = 0;
  std::uint64_t m_successes = 0;

  /// Sends a request through the VMs from index aHop on.
  /// @return whether it succeeded.
  bool TryFrom(std::size_t aHop, base::MonotonicTime aNow)
  {
    if (aHop == m_budgets.size()) {
      ++m_upstreamAttempts;
      return m_random.Unit() >= m_failureRate;
    }
    RetryBudget& budget = m_budgets[aHop];
    budget.OnRequest(aNow);
    for (int attempt = 1;; ++attempt) {
      if (TryFrom(aHop + 1, aNow)) {
        return true;
      }
      if (attempt == m_maxAttempts || (m_usesBudget && !budget.TryRetry(aNow))) {
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
        for (const bool usesBudget : { false, true }) {
          VmChain chain{
            std::vector<RetryBudget>(hops, RetryBudget({})), usesBudget, attempts, failures
          };
          Events events;
          for (std::size_t i = 0; i < kRequests; ++i) {
            events.After(kRequestInterval * static_cast<int>(i),
                         [&] { chain.m_successes += chain.TryFrom(0, events.Now()) ? 1 : 0; });
          }
          events.Run();
          table.m_rows.push_back({ fmt::format("{:.0f}% fail, {} VM, {} attempts, {}",
                                               failures * 100,
                                               hops,
                                               attempts,
                                               usesBudget ? "budget" : "no budget"),
                                   { double(chain.m_upstreamAttempts) / kRequests,
                                     double(chain.m_successes) / kRequests } });
        }
      }
    }
  }
  return table;
}

} // namespace jaylane::policy::sim
