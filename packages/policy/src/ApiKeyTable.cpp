#include "jaylane/policy/ApiKeyTable.h"

#include <random>
#include <xxhash.h>

namespace jaylane::policy {

namespace detail {

ApiKeyHash::ApiKeyHash()
{
  static const std::uint64_t processSeed = [] {
    std::random_device random;
    return std::uint64_t{ random() } << 32 | random();
  }();
  m_seed = processSeed;
}

std::size_t ApiKeyHash::operator()(std::string_view aKey) const
{
  return XXH64(aKey.data(), aKey.size(), m_seed);
}

} // namespace detail

ApiKeyTable::ApiKeyTable(const Configuration& aConfiguration)
{
  if (!aConfiguration.m_teams) {
    return;
  }
  std::size_t count = 0;
  for (const Team& team : *aConfiguration.m_teams) {
    count += team.m_apiKeys.size();
  }
  m_teamByKey.reserve(count);
  for (const Team& team : *aConfiguration.m_teams) {
    for (const std::string& key : team.m_apiKeys) {
      m_teamByKey.try_emplace(key, &team);
    }
  }
}

const Team* ApiKeyTable::Find(std::string_view aKey) const
{
  const auto entry = m_teamByKey.find(aKey);
  return entry == m_teamByKey.end() ? nullptr : entry->second;
}

} // namespace jaylane::policy
