#include "TreeChecks.h"

#include "NodePath.h"
#include "SectionKeys.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace jaylane::settings {

namespace {

/// Regions, services and sites of a tree; reports references to any others.
class KnownNames
{
public:
  KnownNames(const SettingsTree& aTree, Reporter& aReporter)
    : m_reporter(aReporter)
  {
    for (const Region& region : aTree.Regions()) {
      m_regions.insert(region.m_name);
      for (const std::string& zone : region.m_zones) {
        m_sites.insert(region.m_name + "/" + zone);
      }
    }
    for (const Service& service : aTree.Services()) {
      m_services.insert(service.m_name);
    }
  }

  void RequireRegion(const std::string& aName, const JsonPath& aPath)
  {
    Require(m_regions, "region", aName, aPath);
  }
  void RequireService(const std::string& aName, const JsonPath& aPath)
  {
    Require(m_services, "service", aName, aPath);
  }
  void RequireSite(const std::string& aName, const JsonPath& aPath)
  {
    Require(m_sites, "site", aName, aPath);
  }
  void RequireRegions(const std::vector<std::string>& aNames, const JsonPath& aPath)
  {
    for (std::size_t i = 0; i < aNames.size(); ++i) {
      RequireRegion(aNames[i], ChildPath(aPath, std::to_string(i)));
    }
  }

private:
  void Require(const std::set<std::string>& aKnown,
               const char* aKind,
               const std::string& aName,
               const JsonPath& aPath)
  {
    if (!aKnown.contains(aName)) {
      m_reporter.Error(aPath, fmt::format("expected a known {}, found {}", aKind, aName));
    }
  }

  Reporter& m_reporter;
  std::set<std::string> m_regions;
  std::set<std::string> m_services;
  std::set<std::string> m_sites;
};

void CheckZones(const SettingsTree& aTree, Reporter& aReporter)
{
  // The store has one share table per zone name, so a zone name must be unique over all regions.
  std::set<std::string> zones;
  for (const Region& region : aTree.Regions()) {
    for (const std::string& zone : region.m_zones) {
      if (!zones.insert(zone).second) {
        aReporter.Error(
          { "@regions", region.m_name, "zones" },
          fmt::format("expected zone names unique over all regions, found {} again", zone));
      }
    }
  }
}

void CheckLinks(const SettingsTree& aTree, KnownNames& aKnownNames, Reporter& aReporter)
{
  for (const Link& link : aTree.Links()) {
    const JsonPath path{ "@links", IdentityOf(link) };
    aKnownNames.RequireRegion(link.m_from, ChildPath(path, "from"));
    aKnownNames.RequireRegion(link.m_to, ChildPath(path, "to"));
    if (link.m_from == link.m_to) {
      aReporter.Error(path, "expected a link between two different regions");
    }
  }
  for (const Region& from : aTree.Regions()) {
    for (const Region& to : aTree.Regions()) {
      if (from.m_name != to.m_name && !aTree.FindLink(from.m_name, to.m_name)) {
        aReporter.Error(
          { "@links" },
          fmt::format("expected a link from {} to {}; it is missing", from.m_name, to.m_name));
      }
    }
  }
}

void CheckClientBlocks(const SettingsTree& aTree, KnownNames& aKnownNames, Reporter& aReporter)
{
  std::vector<const ClientBlock*> blocks;
  for (const ClientBlock& block : aTree.ClientBlocks()) {
    aKnownNames.RequireRegion(block.m_region, { "@client_blocks", IdentityOf(block), "region" });
    blocks.push_back(&block);
  }
  std::sort(blocks.begin(), blocks.end(), [](const ClientBlock* aLeft, const ClientBlock* aRight) {
    return std::make_pair(aLeft->m_prefix.m_address, aLeft->m_prefix.m_length) <
           std::make_pair(aRight->m_prefix.m_address, aRight->m_prefix.m_length);
  });
  // Two prefixes either are disjoint or one contains the other. In sorted order, a block therefore
  // overlaps an earlier one if and only if it overlaps the last block that no other contains.
  const ClientBlock* outer = nullptr;
  for (const ClientBlock* block : blocks) {
    if (outer && outer->m_prefix.Overlaps(block->m_prefix)) {
      aReporter.Error({ "@client_blocks", IdentityOf(*block) },
                      "expected no overlap, found one with " + IdentityOf(*outer));
    } else {
      outer = block;
    }
  }
}

/// Warns if the laws for callers in a region together leave no allowed region for a service.
/// @param aService service name; empty for laws that apply to all services.
/// @param aWarned ids of laws that have been warned about; each law is reported once.
void CheckAllowedRegions(const SettingsTree& aTree,
                         const std::string& aOrigin,
                         const std::string& aService,
                         std::set<std::string>& aWarned,
                         Reporter& aReporter)
{
  std::set<std::string> remaining;
  for (const Region& region : aTree.Regions()) {
    remaining.insert(region.m_name);
  }
  const Law* last = nullptr;
  bool confirmed = false;
  for (const Law& law : aTree.Laws()) {
    if (law.m_originRegion != aOrigin || (!law.m_service.empty() && law.m_service != aService)) {
      continue;
    }
    const std::set<std::string> allowed(law.m_allowedRegions.begin(), law.m_allowedRegions.end());
    std::erase_if(remaining, [&](const std::string& aName) { return !allowed.contains(aName); });
    confirmed = confirmed || law.m_confirmNoRegion;
    last = &law;
  }
  if (last && remaining.empty() && !confirmed && aWarned.insert(last->m_id).second) {
    aReporter.Warning({ "@laws", last->m_id, "allowed_regions" },
                      fmt::format("leaves callers of {} with no allowed region{}; set "
                                  "confirm_no_region if this is intended",
                                  aOrigin,
                                  aService.empty() ? "" : " for " + aService));
  }
}

void CheckLaws(const SettingsTree& aTree, KnownNames& aKnownNames, Reporter& aReporter)
{
  std::set<std::string> origins;
  for (const Law& law : aTree.Laws()) {
    const JsonPath path{ "@laws", law.m_id };
    if (!law.m_service.empty()) {
      aKnownNames.RequireService(law.m_service, ChildPath(path, "service"));
    }
    aKnownNames.RequireRegion(law.m_originRegion, ChildPath(path, "origin_region"));
    aKnownNames.RequireRegions(law.m_allowedRegions, ChildPath(path, "allowed_regions"));
    if (law.m_transitRegions) {
      aKnownNames.RequireRegions(*law.m_transitRegions, ChildPath(path, "transit_regions"));
    }
    origins.insert(law.m_originRegion);
  }
  std::set<std::string> warned;
  for (const std::string& origin : origins) {
    CheckAllowedRegions(aTree, origin, "", warned, aReporter);
    for (const Service& service : aTree.Services()) {
      CheckAllowedRegions(aTree, origin, service.m_name, warned, aReporter);
    }
  }
}

void CheckDrains(const SettingsTree& aTree, KnownNames& aKnownNames)
{
  for (const Drain& drain : aTree.Drains()) {
    const JsonPath path{ "@drains", IdentityOf(drain) };
    if (drain.m_scope == DrainScope::Site) {
      aKnownNames.RequireSite(drain.m_target, ChildPath(path, "site"));
    } else if (drain.m_scope == DrainScope::Region) {
      aKnownNames.RequireRegion(drain.m_target, ChildPath(path, "region"));
    }
  }
}

/// Reports contradictions between the effective settings of a node, if the node itself sets one of
/// the keys involved.
class NodeChecker
{
public:
  NodeChecker(const SettingsTree& aTree, const std::string& aPath, Reporter& aReporter)
    : m_tree(aTree)
    , m_path(aPath)
    , m_reporter(aReporter)
  {
  }

  void Run()
  {
    const std::optional<EffectiveSettings> effective = m_tree.EffectiveAt(m_path);
    if (!effective) {
      return;
    }
    Require(
      effective->m_shiftPlannedPartPercent + effective->m_shiftFailoverPartPercent <=
        effective->m_shiftTotalCapPercent,
      { "shift_planned_part_percent", "shift_failover_part_percent", "shift_total_cap_percent" },
      fmt::format("expected planned part {} + failover part {} <= total cap {}",
                  effective->m_shiftPlannedPartPercent,
                  effective->m_shiftFailoverPartPercent,
                  effective->m_shiftTotalCapPercent));
    Require(effective->m_lookupLifetime <= effective->m_shiftWindow,
            { "lookup_lifetime_ms", "shift_window_seconds" },
            "expected lookup_lifetime_ms within shift_window_seconds, as a shift step lasts at "
            "least one lookup lifetime");
    Require(effective->m_probeTimeout <= effective->m_probeInterval,
            { "probe_timeout_ms", "probe_interval_ms" },
            "expected probe_timeout_ms <= probe_interval_ms, so that probes do not pile up");
    Require(effective->m_queueLimitWait <= effective->m_requestTimeout,
            { "queue_limit_wait_ms", "request_timeout_ms" },
            "expected queue_limit_wait_ms <= request_timeout_ms");
    Require(effective->m_requestTimeout <= effective->m_claimLifetime,
            { "claim_lifetime_seconds", "request_timeout_ms" },
            "expected claim_lifetime_seconds to cover request_timeout_ms, so that a claim outlives "
            "its request");
  }

private:
  void Require(bool aCondition, const std::vector<std::string>& aKeys, const std::string& aMessage)
  {
    if (aCondition) {
      return;
    }
    for (const std::string& key : aKeys) {
      if (m_tree.Find(m_path, key)) {
        m_reporter.Error({ m_path, key }, aMessage);
        return;
      }
    }
    // All keys are inherited: the contradiction is reported for the node above that sets one.
  }

  const SettingsTree& m_tree;
  const std::string& m_path;
  Reporter& m_reporter;
};

void CheckNodes(const SettingsTree& aTree, KnownNames& aKnownNames, Reporter& aReporter)
{
  for (const auto& [path, values] : aTree.AllEntries()) {
    if (path.starts_with("@")) {
      continue;
    }
    const std::vector<std::string> parts = NodePath::Parse(path)->m_parts;
    if (!parts.empty()) {
      aKnownNames.RequireRegion(parts[0], { path });
    }
    if (parts.size() > 1) {
      aKnownNames.RequireService(parts[1], { path });
    }
    if (parts.size() > 2) {
      aKnownNames.RequireSite(parts[0] + "/" + parts[2], { path });
    }
    NodeChecker(aTree, path, aReporter).Run();
  }
}

} // namespace

void CheckTree(const SettingsTree& aTree, Reporter& aReporter)
{
  KnownNames knownNames(aTree, aReporter);
  CheckZones(aTree, aReporter);
  CheckLinks(aTree, knownNames, aReporter);
  CheckClientBlocks(aTree, knownNames, aReporter);
  CheckLaws(aTree, knownNames, aReporter);
  CheckDrains(aTree, knownNames);
  CheckNodes(aTree, knownNames, aReporter);
}

} // namespace jaylane::settings
