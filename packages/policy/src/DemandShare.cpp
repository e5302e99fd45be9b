#include "jaylane/policy/DemandShare.h"

#include <algorithm>

namespace jaylane::policy {

namespace {

/// Age up to which a zone's rate counts.
constexpr std::chrono::seconds kMaxAge{ 30 };
/// Age up to which a zone's rate is told to others.
constexpr std::chrono::seconds kTellAge{ 5 };
/// Added to the rate of each VM, so that VMs which have just started divide equally.
constexpr double kBaseRate = 0.1;

} // namespace

void DemandShare::OnOwnRate(double aRequestsPerSecond)
{
  m_ownRates[m_nextOwnRate++ % m_ownRates.size()] = aRequestsPerSecond;
}

void DemandShare::OnZoneDemand(const ZoneDemand& aDemand)
{
  const auto [zone, isNew] = m_zones.try_emplace(aDemand.m_zone, aDemand);
  if (!isNew && aDemand.m_seenAt > zone->second.m_seenAt) {
    zone->second = aDemand;
  }
}

double DemandShare::Share(const std::map<std::string, std::size_t>& aZoneVms,
                          base::MonotonicTime aNow) const
{
  const double own = kBaseRate + std::ranges::min(m_ownRates);
  double total = 0;
  for (const auto& [name, vms] : aZoneVms) {
    const auto zone = m_zones.find(name);
    const bool isKnown = zone != m_zones.end() && aNow - zone->second.m_seenAt < kMaxAge;
    total += isKnown ? zone->second.m_requestsPerSecond + kBaseRate * static_cast<double>(vms)
                     : own * static_cast<double>(vms);
  }
  return total <= own ? 1 : own / total;
}

std::optional<ZoneDemand> DemandShare::NextToTell(base::MonotonicTime aNow)
{
  auto next = m_zones.upper_bound(m_lastTold);
  for (std::size_t i = 0; i < m_zones.size(); ++i) {
    if (next == m_zones.end()) {
      next = m_zones.begin();
    }
    m_lastTold = next->first;
    if (aNow - next->second.m_seenAt < kTellAge) {
      return next->second;
    }
    ++next;
  }
  return std::nullopt;
}

} // namespace jaylane::policy
