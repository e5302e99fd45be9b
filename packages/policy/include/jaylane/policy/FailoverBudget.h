#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace jaylane::policy {

/// Largest fractions of the load that may be shifted within a window: in total, and by failover.
/// Planned shifts may use the difference.
struct ShiftCap
{
  double m_total = 0.1;
  double m_failover = 0.05;

  double Planned() const { return m_total - m_failover; }
};

/// Parameters of the failover budget; equal on all VMs.
struct FailoverLimits
{
  /// Largest fraction of the service's load that may fail over within a window.
  double m_failoverCap = 0.05;
  /// Load of the service within a window, in the unit of the acquired weights.
  double m_windowLoad = 0;
  std::chrono::milliseconds m_window{ 60'000 };
  /// Number of entry VMs from the settings. It is not taken from the VM list, because views of the
  /// list differ during a partition and the sum of the shares would exceed the cap.
  std::uint32_t m_vmCount = 1;
};

/// A VM's fixed share of the failover cap over a sliding window. The sum over any set of VMs stays
/// within the cap because shares are never lent or reassigned. Not thread safe.
class FailoverBudget
{
public:
  /// @param aStartedAt start of this process. The share becomes available one window later, because
  ///   the previous process on the same VM may have used it up.
  /// @return the budget, or InvalidLimits.
  static base::Result<FailoverBudget> Make(const FailoverLimits& aLimits,
                                           base::MonotonicTime aStartedAt);

  /// Takes the weight of a request that is to be sent to another site than its own.
  /// @param aWeight load of the request.
  /// @return whether it may be sent there. If not, the request must be rejected as not-run.
  bool TryAcquire(double aWeight, base::MonotonicTime aNow);

  /// @return time until aWeight can be acquired; the length of the window if it exceeds the whole
  ///   share.
  std::chrono::milliseconds RetryAfter(double aWeight, base::MonotonicTime aNow) const;

  /// @return this VM's share of the cap, as weight per window.
  double Share() const { return m_share; }

private:
  /// Slices per window. An acquired weight counts until its whole slice has left the window.
  static constexpr std::size_t kSlices = 64;

  FailoverBudget() = default;
  std::int64_t SliceOf(base::MonotonicTime aNow) const;
  double Used(std::int64_t aSlice) const;

  struct Slice
  {
    /// Time divided by m_sliceLength, or -1 if unused.
    std::int64_t m_index = -1;
    double m_weight = 0;
  };

  double m_share = 0;
  base::MonotonicTime m_availableAt{};
  std::chrono::nanoseconds m_window{ 0 };
  std::chrono::nanoseconds m_sliceLength{ 1 };
  /// Index of the latest slice in which a weight was requested.
  std::int64_t m_latestSlice = 0;
  std::array<Slice, kSlices + 2> m_slices{};
};

} // namespace jaylane::policy
