#include "jaylane/policy/StoreFollowing.h"

#include <utility>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

/// Part of the drain time for which a view counts as confirmed. Before that, the VM that confirmed
/// it may have missed changes for a quarter of the drain time; afterwards, this VM asks the store.
constexpr double kConfirmationShare = 0.4;

std::pair<std::uint64_t, std::string_view> ElectionOrder(std::string_view aName)
{
  return { XXH64(aName.data(), aName.size(), 0), aName };
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

std::vector<std::string> StoreFollowing::ElectedAmong(std::vector<std::string> aZoneVms) const
{
  std::ranges::sort(aZoneVms, {}, ElectionOrder);
  aZoneVms.resize(std::min(aZoneVms.size(), ElectedCount(aZoneVms.size())));
  return aZoneVms;
}

StoreRole StoreFollowing::Decide(const std::vector<std::string>& aZoneVms,
                                 base::MonotonicTime aNow) const
{
  const auto own = ElectionOrder(m_name);
  const auto before = std::ranges::count_if(
    aZoneVms, [&](const std::string& aName) { return ElectionOrder(aName) < own; });
  if (static_cast<std::size_t>(before) < ElectedCount(aZoneVms.size() + 1)) {
    return StoreRole::Elected;
  }
  return m_confirmedAt && aNow - *m_confirmedAt < m_options.m_confirmationTimeout
           ? StoreRole::Relying
           : StoreRole::Fallback;
}

} // namespace jaylane::policy
