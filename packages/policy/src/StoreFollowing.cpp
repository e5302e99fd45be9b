#include "jaylane/policy/StoreFollowing.h"

#include <cmath>
#include <cstdint>
#include <iterator>
#include <tuple>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

/// Part of the drain time for which a view counts as confirmed. Before that, the VM that confirmed
/// it may have missed changes for a quarter of the drain time; afterwards, this VM asks the store.
constexpr double kConfirmationShare = 0.4;

/// VMs announce their cores in thousandths. A VM must take its own cores for the number that the
/// others know, or they would elect different VMs.
constexpr double kAnnouncedPerCore = 1000;

/// @return a key by which the VMs that are elected first sort first.
std::tuple<long, std::uint64_t, std::string_view> ElectionOrder(const StoreFollowing::Vm& aVm)
{
  return { -std::lround(aVm.m_cores * kAnnouncedPerCore),
           XXH64(aVm.m_name.data(), aVm.m_name.size(), 0),
           aVm.m_name };
}

} // namespace

StoreFollowing::Options StoreFollowing::OptionsFor(std::chrono::milliseconds aDrainTime)
{
  Options options;
  options.m_confirmationTimeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDrainTime * kConfirmationShare);
  return options;
}

std::size_t StoreFollowing::ElectedCount(std::size_t aZoneVms) const
{
  const std::size_t perSize =
    (aZoneVms + m_options.m_vmsPerElected - 1) / m_options.m_vmsPerElected;
  return std::max(m_options.m_electedPerZone, perSize);
}

std::vector<std::string> StoreFollowing::ElectedAmong(std::vector<Vm> aZoneVms) const
{
  std::ranges::sort(aZoneVms, {}, ElectionOrder);
  aZoneVms.resize(std::min(aZoneVms.size(), ElectedCount(aZoneVms.size())));
  std::vector<std::string> names;
  std::ranges::transform(aZoneVms, std::back_inserter(names), &Vm::m_name);
  return names;
}

StoreRole StoreFollowing::Decide(const std::vector<Vm>& aZoneVms, base::MonotonicTime aNow) const
{
  const auto own = ElectionOrder(m_own);
  const auto before =
    std::ranges::count_if(aZoneVms, [&](const Vm& aVm) { return ElectionOrder(aVm) < own; });
  if (static_cast<std::size_t>(before) < ElectedCount(aZoneVms.size() + 1)) {
    return StoreRole::Elected;
  }
  return m_confirmedAt && aNow - *m_confirmedAt < m_options.m_confirmationTimeout
           ? StoreRole::Relying
           : StoreRole::Fallback;
}

} // namespace jaylane::policy
