#pragma once

#include "LoadShares.h"
#include "jaylane/policy/ShiftPlanner.h"

#include <optional>
#include <vector>

namespace jaylane::policy {

inline constexpr SiteIndex kNoSite = 0xffff;

/// Appends the sites of the topology that the table does not list yet.
void AddMissingSites(SteeringTable& aTable, const Topology& aTopology);

/// Loads, capacities and permissions of a table's sites, kept up to date while moves are planned.
class PlacementModel
{
public:
  /// @param aTable table that lists all sites of the topology.
  /// @return the model, or InvalidTopology.
  static base::Result<PlacementModel> Make(const SteeringTable& aTable,
                                           const PlanInput& aInput,
                                           base::WallTime aNow);

  /// Adds the load of all buckets at their sites. A split bucket without a measurement of its
  /// parts counts in full at each of its sites, because any part may carry all of it.
  void AddLoads(const SteeringTable& aTable, const LoadShares& aShares);

  /// @return why load of the origin has to leave the site, or nothing if it may stay.
  std::optional<MoveReason> RequiredMoveReason(OriginIndex aOrigin, SiteIndex aSite) const;

  /// @return whether load may be moved there for aReason, apart from capacity.
  bool IsTarget(OriginIndex aOrigin, SiteIndex aSite, MoveReason aReason) const;

  /// @param aFrom site that the load leaves, or kNoSite for load that is new.
  /// @return whether aWeight more at aTo stays within the capacities of site, region and link, less
  ///   the reserve. Moves within a region add no load to region and link.
  bool Fits(OriginIndex aOrigin, SiteIndex aFrom, SiteIndex aTo, double aWeight) const;

  /// @return cost of placing aWeight more at the site; lower is better.
  double Score(OriginIndex aOrigin, SiteIndex aSite, double aWeight) const;

  void AddLoad(OriginIndex aOrigin, SiteIndex aSite, double aWeight);

  std::size_t SiteCount() const { return m_sites.size(); }
  std::size_t OriginCount() const { return m_originCount; }
  /// @return sum of the capacities of live sites.
  double LiveCapacity() const;

  /// @return load relative to the capacity; 0 without capacity.
  double SiteUtilization(SiteIndex aSite) const;
  /// @return load relative to the lower of the region's limit and the sum of its sites' capacities;
  ///   0 without capacity.
  double RegionUtilization(std::size_t aRegion) const;
  const std::vector<std::string>& Regions() const { return m_regionNames; }
  /// @return load relative to the limit; without a limit the load itself.
  double LinkUtilization(OriginIndex aOrigin, std::size_t aRegion) const;
  std::size_t RegionOf(SiteIndex aSite) const { return m_sites[aSite].m_region; }

private:
  struct SiteModel
  {
    SiteState m_state = SiteState::Dead;
    std::size_t m_region = 0;
    double m_capacity = 0;
    double m_load = 0;
    bool m_inRecoveryHold = false; ///< Live for less than the recovery hold.
  };
  struct RegionModel
  {
    double m_capacity = 0;
    double m_load = 0;
  };
  /// Traffic from the callers of one origin to the sites of one region.
  struct PathModel
  {
    double m_capacity = 0;
    double m_load = 0;
    double m_latency = 0; ///< Relative to the latency scale.
    bool m_allowedNow = true;
    bool m_allowedEventually = true; ///< Also once all pending rules are in force.
  };

  base::Status SetSites(const SteeringTable& aTable, const PlanInput& aInput, base::WallTime aNow);
  base::Status SetLimits(const SteeringTable& aTable, const PlanInput& aInput);
  void SetPaths(const SteeringTable& aTable, const PlanInput& aInput, base::WallTime aNow);
  void SetPermanentTargets();
  std::optional<std::size_t> FindRegion(const std::string& aRegion) const;
  const PathModel& Path(OriginIndex aOrigin, SiteIndex aSite) const
  {
    return m_paths[aOrigin * m_regions.size() + m_sites[aSite].m_region];
  }
  PathModel& Path(OriginIndex aOrigin, SiteIndex aSite)
  {
    return m_paths[aOrigin * m_regions.size() + m_sites[aSite].m_region];
  }

  std::size_t m_originCount = 0;
  double m_usableFraction = 1;
  double m_latencyWeight = 0;
  std::vector<SiteModel> m_sites;
  std::vector<std::string> m_regionNames;
  std::vector<RegionModel> m_regions;
  std::vector<PathModel> m_paths;
  /// By origin: whether some live site is allowed both now and by pending rules.
  std::vector<bool> m_hasPermanentTarget;
};

} // namespace jaylane::policy
