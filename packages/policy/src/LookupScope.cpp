#include "jaylane/policy/LookupScope.h"

#include <algorithm>

namespace jaylane::policy {

namespace {

using Vm = LookupScope::Vm;

template<typename Predicate>
std::vector<std::string> NamesOf(const std::vector<Vm>& aVms, Predicate aPredicate)
{
  std::vector<std::string> names;
  for (const Vm& vm : aVms) {
    if (aPredicate(vm)) {
      names.push_back(vm.m_name);
    }
  }
  return names;
}

} // namespace

LookupScope::Decision LookupScope::Decide(const std::vector<Vm>& aVms, const Place& aCaller) const
{
  const bool isAnyReady =
    std::ranges::any_of(aVms, [](const Vm& aVm) { return aVm.IsRunning() && aVm.m_isReady; });
  const auto inZone = [&](const std::string& aZone) {
    return NamesOf(aVms, [&](const Vm& aVm) {
      return aVm.IsRunning() && (aVm.m_isReady || !isAnyReady) && aVm.m_zone == aZone;
    });
  };
  Decision decision{ Kind::Zone, inZone(aCaller.m_zone) };
  if (decision.m_names.empty()) {
    decision = { Kind::Region, NamesOf(aVms, [&](const Vm& aVm) {
                   return aVm.IsRunning() && (aVm.m_isReady || !isAnyReady) &&
                          aVm.m_region == aCaller.m_region;
                 }) };
  }
  if (decision.m_names.empty()) {
    decision = { Kind::OtherRegion, inZone(m_ownZone) };
  }
  if (decision.m_names.empty()) {
    decision.m_kind = Kind::None;
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
