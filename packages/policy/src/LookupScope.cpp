#include "jaylane/policy/LookupScope.h"

#include <algorithm>

namespace jaylane::policy {

namespace {

using Vm = LookupScope::Vm;

} // namespace

LookupScope::Decision LookupScope::Decide(const std::vector<Vm>& aVms,
                                          const Place& aCaller,
                                          std::chrono::nanoseconds aUptime) const
{
  const bool isRegionSilent = std::ranges::none_of(aVms, [&](const Vm& aVm) {
    return aVm.m_region == aCaller.m_region && aVm.m_silence &&
           *aVm.m_silence < m_options.m_regionTimeout;
  });
  const auto isReady = [](const Vm& aVm) { return aVm.IsRunning() && aVm.m_isReady; };
  const auto isRunning = [](const Vm& aVm) { return aVm.IsRunning(); };
  const auto isOverdue = [&](const Vm& aVm) {
    return aVm.m_isReady && !aVm.m_isLeaving && !isRegionSilent && aVm.m_silence &&
           *aVm.m_silence < m_options.m_memory;
  };
  const auto isNearCaller = [&](const Vm& aVm) { return aVm.m_zone == aCaller.m_zone; };
  const auto isInRegion = [&](const Vm& aVm) { return aVm.m_region == aCaller.m_region; };
  const auto isInThisRegion = [&](const Vm& aVm) { return aVm.m_region == m_options.m_region; };

  Decision decision;
  const auto choose = [&](Kind aKind, const auto& aIsThere, const auto& aIsUsable) {
    for (const Vm& vm : aVms) {
      if (aIsThere(vm) && aIsUsable(vm)) {
        decision.m_names.push_back(vm.m_name);
      }
    }
    decision.m_kind = decision.m_names.empty() ? Kind::None : aKind;
    return !decision.m_names.empty();
  };
  if (choose(Kind::Zone, isNearCaller, isReady) || choose(Kind::Region, isInRegion, isReady) ||
      choose(Kind::Zone, isNearCaller, isRunning) || choose(Kind::Region, isInRegion, isRunning) ||
      choose(Kind::Region, isInRegion, isOverdue)) {
    return decision;
  }
  const bool isStarting = aUptime < m_options.m_startTime;
  if (aCaller.m_region == m_options.m_region ||
      (isStarting && m_options.m_regions.contains(aCaller.m_region))) {
    return decision;
  }
  if (!choose(Kind::OtherRegion, isInThisRegion, isReady)) {
    choose(Kind::OtherRegion, isInThisRegion, isRunning);
  }
  return decision;
}

LookupScope::RegionCounts LookupScope::Count(const std::vector<Vm>& aVms,
                                             const std::string& aRegion)
{
  RegionCounts counts;
  for (const Vm& vm : aVms) {
    if (vm.m_region != aRegion) {
      continue;
    }
    ++counts.m_known;
    ++(vm.m_isLeaving    ? counts.m_leaving
       : !vm.m_silence   ? counts.m_neverHeard
       : !vm.IsRunning() ? counts.m_overdue
       : vm.m_isReady    ? counts.m_ready
                         : counts.m_notReady);
  }
  return counts;
}

const char* ToText(LookupScope::Kind aKind)
{
  switch (aKind) {
    case LookupScope::Kind::Zone:
      return "zone";
    case LookupScope::Kind::Region:
      return "region";
    case LookupScope::Kind::OtherRegion:
      return "other_region";
    case LookupScope::Kind::None:
      return "none";
  }
  return "unknown";
}

} // namespace jaylane::policy
