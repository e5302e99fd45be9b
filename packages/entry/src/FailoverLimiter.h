#pragma once

#include "VmContext.h"
#include "jaylane/policy/FailoverBudget.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>

namespace jaylane::entry {

/// This VM's part of the failover cap of one service. The VM may fail over the cap's share of the
/// requests that it received itself within the window; summed over all VMs that is the cap's share
/// of all requests, whatever the VMs know of each other. Thread safe.
class FailoverLimiter
{
public:
  FailoverLimiter(const VmContext& aContext, std::chrono::seconds aWindow, double aFailoverCap);

  /// Counts a request received from a caller.
  void CountRequest();

  /// @return whether a request may be served here although another site should serve it.
  bool TryAcquire();

private:
  static constexpr std::size_t kSlices = 16;
  /// Below this many requests in a window, a single one would exceed the cap by itself.
  static constexpr double kMinWindowRequests = 20;

  struct Slice
  {
    std::int64_t m_number = -1;
    std::uint64_t m_requests = 0;
  };

  std::int64_t SliceOf(base::MonotonicTime aNow) const;
  double WindowRequests(base::MonotonicTime aNow) const;

  const VmContext& m_context;
  const std::chrono::nanoseconds m_window;
  std::mutex m_mutex;
  std::optional<policy::FailoverBudget> m_budget;
  std::array<Slice, kSlices> m_slices;
};

} // namespace jaylane::entry
