#include "PlacementModel.h"

#include "jaylane/policy/PolicyError.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>

namespace jaylane::policy {

namespace {

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

/// Score added during the recovery hold, so that a site that may be flapping is the last choice.
constexpr double kRecoveryHoldPenalty = 1000;

bool IsCapacity(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0;
}

base::Error TopologyError(std::string aDetail)
{
  return { PolicyErrc::InvalidTopology, std::move(aDetail) };
}

} // namespace

void AddMissingSites(SteeringTable& aTable, const Topology& aTopology)
{
  const std::set<SiteId> known(aTable.Sites().begin(), aTable.Sites().end());
  for (const auto& site : aTopology.m_sites) {
    if (!known.contains(site.m_id)) {
      aTable.AddSite(site.m_id);
    }
  }
}

base::Result<PlacementModel> PlacementModel::Make(const SteeringTable& aTable,
                                                  const PlanInput& aInput,
                                                  base::WallTime aNow)
{
  PlacementModel model;
  model.m_originCount = aTable.Origins().size();
  model.m_usableFraction = 1 - aInput.m_limits.m_reserve;
  model.m_latencyWeight = aInput.m_limits.m_latencyWeight;
  if (auto status = model.SetSites(aTable, aInput, aNow); !status) {
    return status.GetError();
  }
  model.SetPaths(aTable, aInput, aNow);
  if (auto status = model.SetLimits(aTable, aInput); !status) {
    return status.GetError();
  }
  model.SetPermanentTargets();
  return model;
}

base::Status PlacementModel::SetSites(const SteeringTable& aTable,
                                      const PlanInput& aInput,
                                      base::WallTime aNow)
{
  std::unordered_map<std::string, std::size_t> regions;
  for (const auto& site : aTable.Sites()) {
    const auto region = regions.emplace(site.m_region, m_regions.size()).first->second;
    if (region == m_regions.size()) {
      m_regions.emplace_back();
      m_regionNames.push_back(site.m_region);
    }
    // Sites that the topology does not list count as dead.
    m_sites.push_back({ SiteState::Dead, region, 0, 0, false });
  }
  std::map<SiteId, SiteIndex> positions;
  for (std::size_t i = 0; i < aTable.Sites().size(); ++i) {
    positions.emplace(aTable.Sites()[i], static_cast<SiteIndex>(i));
  }
  std::vector<bool> seen(m_sites.size());
  for (const auto& site : aInput.m_topology.m_sites) {
    const auto position = positions.at(site.m_id);
    if (!IsCapacity(site.m_capacity) || seen[position]) {
      return TopologyError("site " + site.m_id.m_region + "/" + site.m_id.m_zone +
                           " is listed twice or its capacity is negative or not finite");
    }
    seen[position] = true;
    auto& model = m_sites[position];
    model.m_state = site.m_state;
    model.m_capacity = site.m_capacity;
    model.m_inRecoveryHold = aNow - site.m_liveSince < aInput.m_limits.m_recoveryHold;
    m_regions[model.m_region].m_capacity += site.m_capacity;
  }
  return base::Success{};
}

void PlacementModel::SetPaths(const SteeringTable& aTable,
                              const PlanInput& aInput,
                              base::WallTime aNow)
{
  m_paths.resize(m_originCount * m_regions.size());
  for (std::size_t origin = 0; origin < m_originCount; ++origin) {
    for (std::size_t region = 0; region < m_regions.size(); ++region) {
      const auto& from = aTable.Origins()[origin];
      const auto& to = m_regionNames[region];
      auto& path = m_paths[origin * m_regions.size() + region];
      path.m_capacity = kUnlimited;
      // A region of unknown latency counts as distant: one latency scale.
      path.m_latency = 1;
      path.m_allowedNow = aInput.m_legal.Allows(from, to, aNow);
      path.m_allowedEventually = aInput.m_legal.AllowsEventually(from, to);
    }
  }
  const std::chrono::duration<double> scale = aInput.m_limits.m_latencyScale;
  for (const auto& latency : aInput.m_topology.m_latencies) {
    const auto origin = aTable.FindOrigin(latency.m_origin);
    const auto region = FindRegion(latency.m_region);
    if (origin && region) {
      m_paths[*origin * m_regions.size() + *region].m_latency =
        std::chrono::duration<double>(latency.m_latency) / scale;
    }
  }
}

base::Status PlacementModel::SetLimits(const SteeringTable& aTable, const PlanInput& aInput)
{
  for (const auto& limit : aInput.m_topology.m_regionLimits) {
    if (!IsCapacity(limit.m_capacity)) {
      return TopologyError("limit of region " + limit.m_region + " is negative or not finite");
    }
    if (const auto region = FindRegion(limit.m_region)) {
      auto& capacity = m_regions[*region].m_capacity;
      capacity = std::min(capacity, limit.m_capacity);
    }
  }
  for (const auto& limit : aInput.m_topology.m_linkLimits) {
    if (!IsCapacity(limit.m_capacity)) {
      return TopologyError("limit of link " + limit.m_from + " to " + limit.m_to +
                           " is negative or not finite");
    }
    const auto origin = aTable.FindOrigin(limit.m_from);
    const auto region = FindRegion(limit.m_to);
    if (origin && region) {
      m_paths[*origin * m_regions.size() + *region].m_capacity = limit.m_capacity;
    }
  }
  return base::Success{};
}

void PlacementModel::SetPermanentTargets()
{
  m_hasPermanentTarget.resize(m_originCount);
  for (std::size_t origin = 0; origin < m_originCount; ++origin) {
    m_hasPermanentTarget[origin] =
      std::any_of(m_sites.begin(), m_sites.end(), [this, origin](const SiteModel& aSite) {
        const auto& path = m_paths[origin * m_regions.size() + aSite.m_region];
        return aSite.m_state == SiteState::Live && path.m_allowedNow && path.m_allowedEventually;
      });
  }
}

std::optional<std::size_t> PlacementModel::FindRegion(const std::string& aRegion) const
{
  const auto found = std::find(m_regionNames.begin(), m_regionNames.end(), aRegion);
  if (found == m_regionNames.end()) {
    return std::nullopt;
  }
  return found - m_regionNames.begin();
}

void PlacementModel::AddLoad(OriginIndex aOrigin, SiteIndex aSite, double aWeight)
{
  m_sites[aSite].m_load += aWeight;
  m_regions[m_sites[aSite].m_region].m_load += aWeight;
  Path(aOrigin, aSite).m_load += aWeight;
}

void PlacementModel::AddLoads(const SteeringTable& aTable, const LoadShares& aShares)
{
  for (std::uint32_t bucket = 0; bucket < aTable.BucketCount(); ++bucket) {
    const OriginIndex origin = bucket / kBucketsPerOrigin;
    if (!aTable.IsSplit(bucket)) {
      AddLoad(origin, aTable.SiteOf(bucket), aShares.Weight(bucket));
      continue;
    }
    std::map<SiteIndex, PartMask> bySite;
    for (std::uint32_t part = 0; part < kPartsPerBucket; ++part) {
      const auto site = aTable.SiteOf(bucket, part);
      if (aShares.HasMeasuredParts(bucket)) {
        AddLoad(origin, site, aShares.Weight(bucket, PartMask{ 1 } << part));
      } else {
        bySite[site] |= PartMask{ 1 } << part;
      }
    }
    for (const auto& [site, parts] : bySite) {
      AddLoad(origin, site, aShares.Weight(bucket, parts));
    }
  }
}

std::optional<MoveReason> PlacementModel::RequiredMoveReason(OriginIndex aOrigin,
                                                             SiteIndex aSite) const
{
  const auto& path = Path(aOrigin, aSite);
  if (m_sites[aSite].m_state == SiteState::Dead) {
    return MoveReason::DeadSite;
  }
  if (!path.m_allowedNow) {
    return MoveReason::LegalRule;
  }
  if (!path.m_allowedEventually) {
    return MoveReason::PendingRule;
  }
  if (m_sites[aSite].m_state == SiteState::Drained) {
    return MoveReason::Drain;
  }
  return std::nullopt;
}

bool PlacementModel::IsTarget(OriginIndex aOrigin, SiteIndex aSite, MoveReason aReason) const
{
  const auto& site = m_sites[aSite];
  const auto& path = Path(aOrigin, aSite);
  if (site.m_state != SiteState::Live || !path.m_allowedNow) {
    return false;
  }
  if (site.m_inRecoveryHold && aReason >= MoveReason::Drain) {
    return false;
  }
  if (path.m_allowedEventually) {
    return true;
  }
  // If no live site satisfies the pending rules too, load that is not served at all may move to one
  // that is allowed for now.
  return aReason < MoveReason::PendingRule && !m_hasPermanentTarget[aOrigin];
}

bool PlacementModel::Fits(OriginIndex aOrigin, SiteIndex aFrom, SiteIndex aTo, double aWeight) const
{
  const auto& site = m_sites[aTo];
  if (site.m_load + aWeight > site.m_capacity * m_usableFraction) {
    return false;
  }
  if (aFrom != kNoSite && m_sites[aFrom].m_region == site.m_region) {
    return true;
  }
  const auto& region = m_regions[site.m_region];
  const auto& path = Path(aOrigin, aTo);
  return region.m_load + aWeight <= region.m_capacity * m_usableFraction &&
         path.m_load + aWeight <= path.m_capacity * m_usableFraction;
}

double PlacementModel::Score(OriginIndex aOrigin, SiteIndex aSite, double aWeight) const
{
  const auto& site = m_sites[aSite];
  const auto use = site.m_capacity > 0 ? (site.m_load + aWeight) / site.m_capacity : kUnlimited;
  return m_latencyWeight * Path(aOrigin, aSite).m_latency +
         (m_latencyWeight < 1 ? (1 - m_latencyWeight) * use : 0) +
         (site.m_inRecoveryHold ? kRecoveryHoldPenalty : 0);
}

double PlacementModel::LiveCapacity() const
{
  double sum = 0;
  for (const auto& site : m_sites) {
    sum += site.m_state == SiteState::Live ? site.m_capacity : 0;
  }
  return sum;
}

double PlacementModel::SiteUtilization(SiteIndex aSite) const
{
  const auto& site = m_sites[aSite];
  return site.m_capacity > 0 ? site.m_load / site.m_capacity : 0;
}

double PlacementModel::RegionUtilization(std::size_t aRegion) const
{
  const auto& region = m_regions[aRegion];
  return region.m_capacity > 0 ? region.m_load / region.m_capacity : 0;
}

double PlacementModel::LinkUtilization(OriginIndex aOrigin, std::size_t aRegion) const
{
  const auto& path = m_paths[aOrigin * m_regions.size() + aRegion];
  return path.m_capacity < kUnlimited && path.m_capacity > 0 ? path.m_load / path.m_capacity
                                                             : path.m_load;
}

} // namespace jaylane::policy
