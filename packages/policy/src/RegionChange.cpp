#include "jaylane/policy/RegionChange.h"

#include <map>

namespace jaylane::policy {

namespace {

using RegionsByName = std::map<std::string, std::set<std::string>>;

RegionsByName RegionsOfRoutes(const Configuration& aConfiguration)
{
  RegionsByName regions;
  for (const Route& route : aConfiguration.m_routes) {
    if (!route.m_allowedRegions.empty()) {
      regions[std::string{ route.m_host }.append(route.m_prefix)] = route.m_allowedRegions;
    }
  }
  return regions;
}

RegionsByName RegionsOfTeams(const Configuration& aConfiguration)
{
  RegionsByName regions;
  for (const Team& team : aConfiguration.m_teams.value_or(std::vector<Team>{})) {
    if (!team.m_allowedRegions.empty()) {
      regions[team.m_name] = team.m_allowedRegions;
    }
  }
  return regions;
}

void AddChanges(const RegionsByName& aPrevious,
                RegionsByName aNext,
                std::string RegionChange::*aName,
                std::vector<RegionChange>& aChanges)
{
  for (const auto& [name, regions] : aPrevious) {
    aNext.try_emplace(name);
  }
  for (auto& [name, regions] : aNext) {
    const auto previous = aPrevious.find(name);
    RegionChange change;
    change.*aName = name;
    change.m_previous = previous == aPrevious.end() ? std::set<std::string>{} : previous->second;
    change.m_allowed = std::move(regions);
    if (change.m_previous != change.m_allowed) {
      aChanges.push_back(std::move(change));
    }
  }
}

} // namespace

std::vector<RegionChange> RegionChangesBetween(const Configuration& aPrevious,
                                               const Configuration& aNext)
{
  std::vector<RegionChange> changes;
  AddChanges(RegionsOfRoutes(aPrevious), RegionsOfRoutes(aNext), &RegionChange::m_route, changes);
  AddChanges(RegionsOfTeams(aPrevious), RegionsOfTeams(aNext), &RegionChange::m_team, changes);
  return changes;
}

} // namespace jaylane::policy
