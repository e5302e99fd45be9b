#include "TreeChecks.h"

#include "NodePath.h"
#include "SectionKeys.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace jaylane::settings {

namespace {

/// Names that entries may refer to.
class Names
{
public:
  Names(const SettingsTree& aTree, Reporter& aReporter)
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
      RequireRegion(aNames[i], Below(aPath, std::to_string(i)));
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
  // The store keeps one share table per zone name, so two regions must not share a name.
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

void CheckLinks(const SettingsTree& aTree, Names& aNames, Reporter& aReporter)
{
  for (const Link& link : aTree.Links()) {
    const JsonPath path{ "@links", IdentityOf(link) };
    aNames.RequireRegion(link.m_from, Below(path, "from"));
    aNames.RequireRegion(link.m_to, Below(path, "to"));
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

void CheckClientBlocks(const SettingsTree& aTree, Names& aNames, Reporter& aReporter)
{
  std::vector<const ClientBlock*> blocks;
  for (const ClientBlock& block : aTree.ClientBlocks()) {
    aNames.RequireRegion(block.m_region, { "@client_blocks", IdentityOf(block), "region" });
    blocks.push_back(&block);
  }
  std::sort(blocks.begin(), blocks.end(), [](const ClientBlock* aLeft, const ClientBlock* aRight) {
    return std::make_pair(aLeft->m_prefix.m_address, aLeft->m_prefix.m_length) <
           std::make_pair(aRight->m_prefix.m_address, aRight->m_prefix.m_length);
  });
  // Prefixes nest or are disjoint, so a block overlaps an earlier one if and only if it overlaps
  // the last outermost one.
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

/// Warns if the laws for callers of a region together leave no region for a service.
void CheckLawsOf(const SettingsTree& aTree,
                 const std::string& aOrigin,
                 const std::string& aService,
                 std::set<std::string>& aWarned,
                 Reporter& aReporter)
{
  std::set<std::string> left;
  for (const Region& region : aTree.Regions()) {
    left.insert(region.m_name);
  }
  const Law* last = nullptr;
  bool confirmed = false;
  for (const Law& law : aTree.Laws()) {
    if (law.m_originRegion != aOrigin || (!law.m_service.empty() && law.m_service != aService)) {
      continue;
    }
    const std::set<std::string> allowed(law.m_allowedRegions.begin(), law.m_allowedRegions.end());
    std::erase_if(left, [&](const std::string& aName) { return !allowed.contains(aName); });
    confirmed = confirmed || law.m_confirmNoRegion;
    last = &law;
  }
  if (last && left.empty() && !confirmed && aWarned.insert(last->m_id).second) {
    aReporter.Warning({ "@laws", last->m_id, "allowed_regions" },
                      fmt::format("leaves callers of {} with no allowed region{}; set "
                                  "confirm_no_region if this is intended",
                                  aOrigin,
                                  aService.empty() ? "" : " for " + aService));
  }
}

void CheckLaws(const SettingsTree& aTree, Names& aNames, Reporter& aReporter)
{
  std::set<std::string> origins;
  for (const Law& law : aTree.Laws()) {
    const JsonPath path{ "@laws", law.m_id };
    if (!law.m_service.empty()) {
      aNames.RequireService(law.m_service, Below(path, "service"));
    }
    aNames.RequireRegion(law.m_originRegion, Below(path, "origin_region"));
    aNames.RequireRegions(law.m_allowedRegions, Below(path, "allowed_regions"));
    if (law.m_transitRegions) {
      aNames.RequireRegions(*law.m_transitRegions, Below(path, "transit_regions"));
    }
    origins.insert(law.m_originRegion);
  }
  std::set<std::string> warned;
  for (const std::string& origin : origins) {
    CheckLawsOf(aTree, origin, "", warned, aReporter);
    for (const Service& service : aTree.Services()) {
      CheckLawsOf(aTree, origin, service.m_name, warned, aReporter);
    }
  }
}

void CheckDrains(const SettingsTree& aTree, Names& aNames)
{
  for (const Drain& drain : aTree.Drains()) {
    const JsonPath path{ "@drains", IdentityOf(drain) };
    if (drain.m_scope == DrainScope::Site) {
      aNames.RequireSite(drain.m_target, Below(path, "site"));
    } else if (drain.m_scope == DrainScope::Region) {
      aNames.RequireRegion(drain.m_target, Below(path, "region"));
    }
  }
}

/// Reports contradictions between the effective settings of a node, at the node that causes them.
class NodeCheck
{
public:
  NodeCheck(const SettingsTree& aTree, const std::string& aPath, Reporter& aReporter)
    : m_tree(aTree)
    , m_path(aPath)
    , m_reporter(aReporter)
  {
  }

  void Run()
  {
    const std::optional<EffectiveSettings> e = m_tree.EffectiveAt(m_path);
    if (!e) {
      return;
    }
    Require(
      e->m_shiftPlannedPartPercent + e->m_shiftFailoverPartPercent <= e->m_shiftTotalCapPercent,
      { "shift_planned_part_percent", "shift_failover_part_percent", "shift_total_cap_percent" },
      fmt::format("expected planned part {} + failover part {} <= total cap {}",
                  e->m_shiftPlannedPartPercent,
                  e->m_shiftFailoverPartPercent,
                  e->m_shiftTotalCapPercent));
    Require(e->m_lookupLifetime <= e->m_shiftWindow,
            { "lookup_lifetime_ms", "shift_window_seconds" },
            "expected lookup_lifetime_ms within shift_window_seconds, as a shift step lasts at "
            "least one lookup lifetime");
    Require(e->m_probeTimeout <= e->m_probeInterval,
            { "probe_timeout_ms", "probe_interval_ms" },
            "expected probe_timeout_ms <= probe_interval_ms, so that probes do not pile up");
    Require(e->m_queueLimitWait <= e->m_requestTimeout,
            { "queue_limit_wait_ms", "request_timeout_ms" },
            "expected queue_limit_wait_ms <= request_timeout_ms");
    Require(e->m_requestTimeout <= e->m_claimLifetime,
            { "claim_lifetime_seconds", "request_timeout_ms" },
            "expected claim_lifetime_seconds to cover request_timeout_ms, so that a claim outlives "
            "its request");
  }

private:
  void Require(bool aHolds, const std::vector<std::string>& aKeys, const std::string& aMessage)
  {
    if (aHolds) {
      return;
    }
    for (const std::string& key : aKeys) {
      if (m_tree.Find(m_path, key)) {
        m_reporter.Error({ m_path, key }, aMessage);
        return;
      }
    }
    // The node sets none of the keys: the node above it that does reports the contradiction.
  }

  const SettingsTree& m_tree;
  const std::string& m_path;
  Reporter& m_reporter;
};

void CheckNodes(const SettingsTree& aTree, Names& aNames, Reporter& aReporter)
{
  for (const auto& [path, values] : aTree.AllEntries()) {
    if (path.starts_with("@")) {
      continue;
    }
    const std::vector<std::string> parts = NodePath::Parse(path)->m_parts;
    if (!parts.empty()) {
      aNames.RequireRegion(parts[0], { path });
    }
    if (parts.size() > 1) {
      aNames.RequireService(parts[1], { path });
    }
    if (parts.size() > 2) {
      aNames.RequireSite(parts[0] + "/" + parts[2], { path });
    }
    NodeCheck(aTree, path, aReporter).Run();
  }
}

} // namespace

void CheckTree(const SettingsTree& aTree, Reporter& aReporter)
{
  Names names(aTree, aReporter);
  CheckZones(aTree, aReporter);
  CheckLinks(aTree, names, aReporter);
  CheckClientBlocks(aTree, names, aReporter);
  CheckLaws(aTree, names, aReporter);
  CheckDrains(aTree, names);
  CheckNodes(aTree, names, aReporter);
}

} // namespace jaylane::settings
