#pragma once

#include "jaylane/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace jaylane::policy {

/// Whether this VM can be sure that its configuration is the newest.
/// Load pattern: changes of the configuration while VMs are cut off from the store, from the other
/// VMs or from both, or their connections are open but silent.
///
/// A VM that is cut off from everything hears of nothing newer, so only recent evidence counts.
class ConfirmedView
{
public:
  /// @param aMaxAge time within which a change must be in force.
  explicit ConfirmedView(std::chrono::milliseconds aMaxAge)
    : m_maxAge(aMaxAge)
  {
  }

  /// This VM has every change that the store had at a time.
  void OnConfirmed(base::MonotonicTime aSeenAt)
  {
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, aSeenAt) : aSeenAt;
  }

  /// @param aIsBehind whether another VM has announced a change that this one lacks.
  bool IsConfirmed(bool aIsBehind, base::MonotonicTime aNow) const
  {
    return !aIsBehind && m_confirmedAt && aNow - *m_confirmedAt <= m_maxAge;
  }

private:
  std::chrono::milliseconds m_maxAge;
  std::optional<base::MonotonicTime> m_confirmedAt;
};

} // namespace jaylane::policy
