#include "jaylane/policy/StoreFollowing.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace jaylane::policy {

namespace {

std::pair<std::uint64_t, std::string_view> ElectionOrder(std::string_view aName)
{
  return { XXH64(aName.data(), aName.size(), 0), aName };
}

} // namespace

StoreRole StoreFollowing::Decide(const std::vector<std::string>& aZoneVms,
                                 base::MonotonicTime aNow) const
{
  const auto own = ElectionOrder(m_name);
  const auto before = std::ranges::count_if(
    aZoneVms, [&](const std::string& aName) { return ElectionOrder(aName) < own; });
  if (static_cast<std::size_t>(before) < m_options.m_electedPerZone) {
    return StoreRole::Elected;
  }
  return m_lastHeard && aNow - *m_lastHeard < m_options.m_followerTimeout ? StoreRole::Relying
                                                                          : StoreRole::Fallback;
}

} // namespace jaylane::policy
