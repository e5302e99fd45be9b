#pragma once

#include "ValueSpec.h"
#include "jaylane/settings/TreeSections.h"

#include <string>
#include <vector>

namespace jaylane::settings {

/// Names of the tree's sections, in the order in which ToYaml() writes them.
inline const std::vector<std::string> kSections = { "regions",       "services", "links",
                                                    "client_blocks", "laws",     "drains" };

const std::vector<KeySpec<Region>>& RegionKeys();
const std::vector<KeySpec<Service>>& ServiceKeys();
const std::vector<KeySpec<Link>>& LinkKeys();
const std::vector<KeySpec<ClientBlock>>& ClientBlockKeys();
const std::vector<KeySpec<Law>>& LawKeys();
const std::vector<KeySpec<Drain>>& DrainKeys();

/// @return the key that identifies an entry within its section; see Change.
std::string IdentityOf(const Region& aRegion);
std::string IdentityOf(const Service& aService);
std::string IdentityOf(const Link& aLink);
std::string IdentityOf(const ClientBlock& aBlock);
std::string IdentityOf(const Law& aLaw);
std::string IdentityOf(const Drain& aDrain);

/// Like IdentityOf(), for an entry that has not been validated.
/// @param aSection name of the section.
/// @param aEntry entry as read from the document.
/// @return the key, or an empty string if the members that form it are missing or malformed.
std::string RawIdentity(const std::string& aSection, const Json::Value& aEntry);

/// @return a mapping with all keys of the value, including those that have their default. Optional
/// keys without a value are left out.
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
