#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace jaylane::policy {

/// Decides which affinity keys of a service are placed across regions, that is, ranked over the
/// upstreams of all regions instead of those of the own region first.
/// Load pattern: an upstream serves a key that it knows several times faster, each region meets
/// each key for the first time, and regions differ in upstreams for the same demand.
///
/// One upstream for a key in all regions means fewer first requests and a share of all regions'
/// slots, but most requests travel further. That pays if the service time that a known key saves is
/// a multiple of the distance. The fraction of the keys follows the measured times in small steps,
/// so that few requests change their region at a time. Not thread safe.
class CrossRegionPlacement
{
public:
  struct Options
  {
    /// Saved service time, as a multiple of the distance, from which on keys are placed across
    /// regions, and below which they return. In between nothing changes.
    double m_placeGain = 2;
    double m_returnGain = 1.2;
    /// Fraction of the keys that change per step, and the time between two steps.
    double m_step = 0.016;
    std::chrono::milliseconds m_stepInterval{ 400 };
  };

  explicit CrossRegionPlacement(Options aOptions)
    : m_options(aOptions)
  {
  }

  /// Takes the estimated times into account. The first call places all keys at once.
  /// @param aSavedTime service time that a known key saves.
  /// @param aDistance additional time of a request to another region.
  void Update(std::chrono::nanoseconds aSavedTime,
              std::chrono::nanoseconds aDistance,
              base::MonotonicTime aNow);

  /// @param aKey hash of the affinity key.
  /// @return whether the key is placed across regions.
  bool Contains(std::uint64_t aKey) const;

  /// @return fraction of the keys that are placed across regions.
  double Share() const { return m_share; }

private:
  Options m_options;
  double m_share = 0;
  bool m_isInitialized = false;
  base::MonotonicTime m_lastStep;
};

} // namespace jaylane::policy
