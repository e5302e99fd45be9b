#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/LoadObservation.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <vector>

namespace jaylane::policy {

/// Selects which observations of this VM are sent to other VMs.
/// Load pattern: each of hundreds of VMs sends to a given upstream a few times a minute, and the
/// traffic between VMs allows a few tens of observations per second.
///
/// Those sent least often come first, and of these the newest. Not thread safe.
class LoadObservations
{
public:
  /// Age from which on an observation is not sent.
  static constexpr std::chrono::milliseconds kMaxAge{ 2000 };
  /// Observations kept; the oldest are dropped.
  static constexpr std::size_t kMaxKept = 64;

  /// Adds an observation. It replaces an older one of the same upstream and key.
  void Add(const LoadObservation& aObservation);

  /// @return at most aCount observations, whose turn it is.
  std::vector<LoadObservation> Next(std::size_t aCount, base::MonotonicTime aNow);

private:
  struct Entry
  {
    LoadObservation m_observation;
    std::size_t m_sends = 0;
  };

  /// The newest first.
  std::deque<Entry> m_entries;
};

} // namespace jaylane::policy
