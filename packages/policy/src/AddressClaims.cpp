#include "jaylane/policy/AddressClaims.h"

#include <string_view>
#include <unordered_map>

namespace jaylane::policy {

std::map<std::string, std::string> SupersededUpstreams(const std::vector<const Upstream*>& aEntries)
{
  std::unordered_map<std::string_view, const Upstream*> latest;
  for (const Upstream* entry : aEntries) {
    const auto [known, isNew] = latest.try_emplace(entry->m_address, entry);
    if (!isNew && known->second->m_revision < entry->m_revision) {
      known->second = entry;
    }
  }
  std::map<std::string, std::string> superseded;
  for (const Upstream* entry : aEntries) {
    const Upstream& holder = *latest.at(entry->m_address);
    if (entry->m_revision < holder.m_revision) {
      superseded[entry->m_id] = holder.m_id;
    }
  }
  return superseded;
}

} // namespace jaylane::policy
