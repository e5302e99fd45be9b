#pragma once

#include "VmContext.h"
#include "jaylane/policy/FailoverBudget.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>

namespace jaylane::entry {

/// Enforces the failover cap of one service at this VM. The cap is a fraction of the requests that
/// the VM itself received within the window, so that without any coordination all VMs together fail
/// over at most this fraction of all requests. Thread safe.
class FailoverLimiter
{
public:
  /// @param aWindow time over which requests are counted.
  /// @param aFailoverCap fraction of the window's requests that may be failed over.
  FailoverLimiter(const VmContext& aContext, std::chrono::seconds aWindow, double aFailoverCap);

  /// Counts a request received from a caller.
  void CountRequest();

  /// @return whether a request may be served here although another site should serve it.
  bool TryAcquire();

private:
  /// Intervals that the window is divided into for counting.
  static constexpr std::size_t kSlices = 16;
  /// Below this many requests in a window, a single one would exceed the cap by itself.
  static constexpr double kMinWindowRequests = 20;

  /// Requests received in one interval.
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
