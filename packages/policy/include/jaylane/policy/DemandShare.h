#pragma once

#include "jaylane/base/Clock.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace jaylane::policy {

/// Request rate of all VMs of an availability zone.
struct ZoneDemand
{
  std::string m_zone;
  double m_requestsPerSecond = 0;
  base::MonotonicTime m_seenAt;
};

/// Estimates the part of all requests that arrives at this VM, by which the VMs divide what they
/// may send to an upstream together. Load pattern: callers use a few VMs of each zone, other ones
/// as demand rises, and VMs start, stop and lose each other.
///
/// A zone that is not heard of counts as if each of its VMs had the own rate, so that a VM which
/// hears nobody takes an equal part. Not thread safe.
class DemandShare
{
public:
  /// Reports this VM's request rate; to be called about once a second.
  void OnOwnRate(double aRequestsPerSecond);

  /// Reports a zone's request rate, from this VM or from another one.
  void OnZoneDemand(const ZoneDemand& aDemand);

  /// @param aZoneVms number of known VMs of each zone, running or not, this one included.
  /// @return this VM's part of all requests, above 0 and at most 1.
  double Share(const std::map<std::string, std::size_t>& aZoneVms, base::MonotonicTime aNow) const;

  /// @return the demand of one zone to tell other VMs, of each in turn; empty if none is known.
  std::optional<ZoneDemand> NextToTell(base::MonotonicTime aNow);

private:
  /// Rates of this VM, of the last seconds. The lowest counts, because the other zones' rates are
  /// as old as that.
  std::array<double, 3> m_ownRates{};
  std::size_t m_nextOwnRate = 0;
  std::map<std::string, ZoneDemand> m_zones;
  std::string m_lastTold;
};

} // namespace jaylane::policy
