#pragma once

#include "ValueSpec.h"
#include "jaylane/settings/TreeSections.h"

#include <string>
#include <vector>

namespace jaylane::settings {

/// Names of the document sections in the order in which they are written.
inline const std::vector<std::string> kSections = { "regions",       "services", "links",
                                                    "client_blocks", "laws",     "drains" };

const std::vector<KeySpec<Region>>& RegionKeys();
const std::vector<KeySpec<Service>>& ServiceKeys();
const std::vector<KeySpec<Link>>& LinkKeys();
const std::vector<KeySpec<ClientBlock>>& ClientBlockKeys();
const std::vector<KeySpec<Law>>& LawKeys();
const std::vector<KeySpec<Drain>>& DrainKeys();

/// @return the key under which an entry of a section is edited.
std::string IdentityOf(const Region& aRegion);
std::string IdentityOf(const Service& aService);
std::string IdentityOf(const Link& aLink);
std::string IdentityOf(const ClientBlock& aBlock);
std::string IdentityOf(const Law& aLaw);
std::string IdentityOf(const Drain& aDrain);

/// @param aSection name of a section.
/// @param aEntry unchecked entry.
/// @return its identity, or an empty text if it has none.
std::string RawIdentity(const std::string& aSection, const Json::Value& aEntry);

/// @return the value as a mapping with all keys, also those at their default.
template<typename T>
Json::Value WriteMapping(const std::vector<KeySpec<T>>& aKeys, const T& aValue)
{
  Json::Value json(Json::objectValue);
  for (const KeySpec<T>& key : aKeys) {
    Json::Value member = key.m_read(aValue);
    if (!member.isNull()) {
      json[key.m_name] = std::move(member);
    }
  }
  return json;
}

} // namespace jaylane::settings
