#pragma once

#include "jaylane/base/AsyncLog.h"
#include "jaylane/base/Clock.h"
#include "jaylane/policy/LookupScope.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace jaylane::gateway {

/// Logs lookups that were not answered with VMs of the caller's zone, and why: one record a second
/// at most, which counts those that were left out before.
class LookupLog
{
public:
  LookupLog(const base::Clock& aClock, base::AsyncLog& aLog)
    : m_clock(aClock)
    , m_log(aLog)
  {
  }

  /// @param aVms all VMs that were known.
  /// @param aCaller place of the caller.
  void OnDecision(const std::vector<policy::LookupScope::Vm>& aVms,
                  const policy::LookupScope::Place& aCaller,
                  const policy::LookupScope::Decision& aDecision);

private:
  /// What is known of records of one kind.
  struct Kind
  {
    std::uint64_t m_unlogged = 0;
    std::optional<base::MonotonicTime> m_loggedAt;
  };

  const base::Clock& m_clock;
  base::AsyncLog& m_log;
  /// Lookups answered with VMs of the caller's region, and others.
  Kind m_inRegion;
  Kind m_outsideRegion;
};

} // namespace jaylane::gateway
