#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace jaylane::policy {

/// Split of a total shift cap. The planned part and the failover part add up to the total.
struct ShiftCap
{
  double m_total = 0.1;
  double m_failover = 0.05;

  double Planned() const { return m_total - m_failover; }
};

/// Size of the failover part, equal on all VMs.
struct FailoverLimits
{
  double m_failoverCap = 0.05;
  /// Load of the service within a window, in the unit of the acquired weights.
  double m_windowLoad = 0;
  std::chrono::milliseconds m_window{ 60'000 };
  /// Entry VMs of the deployment, from the settings and not from a VM list: views of the list
  /// differ during a partition, and the sum of the shares would exceed the cap.
  std::uint32_t m_vmCount = 1;
};

/// A VM's fixed share of the failover part of the shift cap, over a sliding window. The sum over
/// any set of VMs stays within the cap because shares are never lent or reassigned.
class FailoverBudget
{
public:
  /// @param aStartedAt start of this process. The share is available one window later: a
  ///   predecessor on the same VM may have used it up.
  /// @return the budget, or InvalidLimits.
  static base::Result<FailoverBudget> Make(const FailoverLimits& aLimits,
                                           base::MonotonicTime aStartedAt);

  /// @param aWeight load of the request that is to go to another site than its own.
  /// @return whether it may; if not, the request is rejected as not-run.
  bool TryAcquire(double aWeight, base::MonotonicTime aNow);

  /// @return how long until aWeight can be acquired; a window if it exceeds the whole share.
  std::chrono::milliseconds RetryAfter(double aWeight, base::MonotonicTime aNow) const;

  /// @return this VM's share of the cap.
  double Share() const { return m_share; }

private:
  /// A spent weight is counted until its whole slice has left the window.
  static constexpr std::size_t kSlices = 64;

  FailoverBudget() = default;
  std::int64_t SliceOf(base::MonotonicTime aNow) const;
  double Used(std::int64_t aSlice) const;

  struct Slice
  {
    std::int64_t m_number = -1;
    double m_weight = 0;
  };

  double m_share = 0;
  base::MonotonicTime m_availableAt{};
  std::chrono::nanoseconds m_window{ 0 };
  std::chrono::nanoseconds m_sliceLength{ 1 };
  std::int64_t m_latest = 0;
  std::array<Slice, kSlices + 2> m_slices{};
};

} // namespace jaylane::policy
