#include "LookupLog.h"

#include <algorithm>
#include <set>
#include <string>

namespace jaylane::gateway {

namespace {

using policy::LookupScope;

constexpr std::chrono::seconds kLogInterval{ 1 };

std::string ZonesOf(const std::vector<LookupScope::Vm>& aVms,
                    const std::vector<std::string>& aNames)
{
  const std::set<std::string> names(aNames.begin(), aNames.end());
  std::set<std::string> zones;
  for (const LookupScope::Vm& vm : aVms) {
    if (names.contains(vm.m_name)) {
      zones.insert(vm.m_zone);
    }
  }
  std::string text;
  for (const std::string& zone : zones) {
    text += (text.empty() ? "" : ",") + zone;
  }
  return text;
}

} // namespace

void LookupLog::OnDecision(const std::vector<LookupScope::Vm>& aVms,
                           const LookupScope::Place& aCaller,
                           const LookupScope::Decision& aDecision)
{
  if (aDecision.m_kind == LookupScope::Kind::Zone) {
    return;
  }
  // A zone without VMs must not hide the lookups that name another region.
  Kind& kind = aDecision.m_kind == LookupScope::Kind::Region ? m_inRegion : m_outsideRegion;
  ++kind.m_unlogged;
  const base::MonotonicTime now = m_clock.Monotonic();
  if (kind.m_loggedAt && now - *kind.m_loggedAt < kLogInterval) {
    return;
  }
  const LookupScope::RegionCounts counts = LookupScope::Count(aVms, aCaller.m_region);
  m_log.Write(base::LogRecord("lookup_outside_zone")
                .Add("scope", policy::ToText(aDecision.m_kind))
                .Add("zone", aCaller.m_zone)
                .Add("region", aCaller.m_region)
                .Add("zones", ZonesOf(aVms, aDecision.m_names))
                .Add("vms", aDecision.m_names.size())
                .Add("region_vms", counts.m_known)
                .Add("ready", counts.m_ready)
                .Add("not_ready", counts.m_notReady)
                .Add("leaving", counts.m_leaving)
                .Add("overdue", counts.m_overdue)
                .Add("never_heard", counts.m_neverHeard)
                .Add("lookups", kind.m_unlogged));
  kind.m_unlogged = 0;
  kind.m_loggedAt = now;
}

} // namespace jaylane::gateway
