#include "jaylane/policy/EvacuatedZones.h"

namespace jaylane::policy {

void EvacuatedZones::Replace(const std::set<std::string>& aZones, base::MonotonicTime aNow)
{
  const auto holdEnd =
    m_restoredAt ? std::optional(*m_restoredAt + m_options.m_hold) : std::nullopt;
  std::erase_if(m_zones, [&](const auto& aEntry) {
    return !aZones.contains(aEntry.first) && !(holdEnd && aNow < *holdEnd);
  });
  for (auto& [zone, heldUntil] : m_zones) {
    heldUntil = holdEnd;
  }
  for (const std::string& zone : aZones) {
    Put(zone);
  }
}

bool EvacuatedZones::RemoveExpired(base::MonotonicTime aNow)
{
  return std::erase_if(m_zones, [aNow](const auto& aEntry) {
           return aEntry.second && aNow >= *aEntry.second;
         }) > 0;
}

std::set<std::string> EvacuatedZones::Zones() const
{
  std::set<std::string> zones;
  for (const auto& [zone, heldUntil] : m_zones) {
    zones.insert(zone);
  }
  return zones;
}

} // namespace jaylane::policy
