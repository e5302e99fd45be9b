#include "jaylane/settings/SettingsTree.h"

#include "NodePath.h"
#include "SectionKeys.h"
#include "TreeKeys.h"
#include "TreeParser.h"

#include <algorithm>

namespace jaylane::settings {

namespace {

EffectiveSettings Resolve(const SettingsTree& aTree, const std::vector<std::string>& aPaths)
{
  EffectiveSettings effective;
  for (const KeySpec<EffectiveSettings>& key : TreeKeys()) {
    key.m_assign(effective, key.m_default);
    effective.m_origins[key.m_name] = "default";
  }
  for (const std::string& path : aPaths) {
    const auto node = aTree.AllEntries().find(path);
    if (node == aTree.AllEntries().end()) {
      continue;
    }
    for (const auto& [name, value] : node->second) {
      FindKey(TreeKeys(), name)->m_assign(effective, value);
      effective.m_origins[name] = path;
    }
  }
  return effective;
}

} // namespace

Parsed<SettingsTree> SettingsTree::ParseYaml(std::string_view aText, std::string aFile)
{
  const LocatedJson document = ReadYaml(aText, aFile);
  return TreeParser::ParseDocument(document, std::move(aFile));
}

Parsed<SettingsTree> SettingsTree::LoadYaml(const std::string& aPath)
{
  return TreeParser::ParseDocument(ReadYamlFile(aPath), aPath);
}

Parsed<SettingsTree> SettingsTree::FromJson(const Json::Value& aJson)
{
  LocatedJson document;
  document.m_value = aJson;
  return TreeParser::ParseDocument(document, "");
}

Json::Value SettingsTree::ToJson() const
{
  Json::Value json(Json::objectValue);
  for (const auto& [path, values] : m_entries) {
    if (path.starts_with("@")) {
      Json::Value& list = json[path.substr(1)] = Json::arrayValue;
      for (const auto& [key, value] : values) {
        list.append(value);
      }
    } else {
      for (const auto& [key, value] : values) {
        json["nodes"][path][key] = value;
      }
    }
  }
  return json;
}

std::string SettingsTree::ToYaml() const
{
  return WriteYaml(ToJson(), kSections);
}

Parsed<SettingsTree> SettingsTree::WithChanges(const std::vector<Change>& aChanges) const
{
  Entries entries = m_entries;
  for (const Change& change : aChanges) {
    if (change.m_value) {
      entries[change.m_path][change.m_key] = *change.m_value;
      continue;
    }
    if (auto node = entries.find(change.m_path); node != entries.end()) {
      node->second.erase(change.m_key);
      if (node->second.empty()) {
        entries.erase(node);
      }
    }
  }
  return TreeParser::ParseEntries(entries);
}

std::vector<Change> SettingsTree::Diff(const SettingsTree& aTarget) const
{
  std::vector<Change> changes;
  for (const auto& [path, values] : m_entries) {
    for (const auto& [key, value] : values) {
      if (!aTarget.Find(path, key)) {
        changes.push_back({ path, key, std::nullopt });
      }
    }
  }
  for (const auto& [path, values] : aTarget.m_entries) {
    for (const auto& [key, value] : values) {
      if (Find(path, key) != value) {
        changes.push_back({ path, key, value });
      }
    }
  }
  return changes;
}

std::optional<Json::Value> SettingsTree::Find(const std::string& aPath,
                                              const std::string& aKey) const
{
  const auto node = m_entries.find(aPath);
  if (node == m_entries.end()) {
    return std::nullopt;
  }
  const auto value = node->second.find(aKey);
  return value == node->second.end() ? std::nullopt : std::optional(value->second);
}

EffectiveSettings SettingsTree::Effective(const std::string& aRegion,
                                          const std::string& aService,
                                          const std::string& aZone) const
{
  return Resolve(*this, NodePath{ { aRegion, aService, aZone } }.PathsFromRoot());
}

std::optional<EffectiveSettings> SettingsTree::EffectiveAt(const std::string& aPath) const
{
  const std::optional<NodePath> path = NodePath::Parse(aPath);
  return path ? std::optional(Resolve(*this, path->PathsFromRoot())) : std::nullopt;
}

const Service* SettingsTree::FindService(std::string_view aName) const
{
  const auto found =
    std::find_if(m_services.begin(), m_services.end(), [&](const Service& aService) {
      return aService.m_name == aName;
    });
  return found == m_services.end() ? nullptr : &*found;
}

const Link* SettingsTree::FindLink(std::string_view aFrom, std::string_view aTo) const
{
  const auto found = std::find_if(m_links.begin(), m_links.end(), [&](const Link& aLink) {
    return aLink.m_from == aFrom && aLink.m_to == aTo;
  });
  return found == m_links.end() ? nullptr : &*found;
}

} // namespace jaylane::settings
