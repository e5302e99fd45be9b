#pragma once

#include "jaylane/settings/Diagnostic.h"
#include "jaylane/settings/EffectiveSettings.h"
#include "jaylane/settings/TreeSections.h"

#include <json/value.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// Sets or removes one value of the tree.
///
/// A path names either a node or a section:
/// - node: "/", "/<region>", "/<region>/<service>" or "/<region>/<service>/<zone>". The key is the
///   name of a setting.
/// - section: "@regions", "@services", "@links", "@client_blocks", "@laws" or "@drains". The key
///   identifies an entry: the name of a region or service, "<from>><to>" of a link, the prefix of
///   a client block, the id of a law, and "site:<region>/<zone>", "region:<name>" or
///   "upstream:<id>" of a drain.
struct Change
{
  std::string m_path;
  std::string m_key;
  /// New value; nullopt removes the key.
  std::optional<Json::Value> m_value;

  bool operator==(const Change&) const = default;
};

/// Settings of a deployment. A tree is always valid, and changing it creates a new one.
class SettingsTree
{
public:
  /// Values by path and key; see Change.
  using Entries = std::map<std::string, std::map<std::string, Json::Value>>;

  /// Creates a tree without regions in which every setting has its default.
  SettingsTree() = default;

  /// @param aText YAML text.
  /// @param aFile file name for diagnostics.
  /// @return the tree and its warnings, or all problems of the text.
  static Parsed<SettingsTree> ParseYaml(std::string_view aText, std::string aFile);

  /// @param aPath file to read.
  /// @return the tree and its warnings, or all problems of the file.
  static Parsed<SettingsTree> LoadYaml(const std::string& aPath);

  /// @param aJson form of ToJson().
  /// @return the tree and its warnings, or all problems of the value.
  static Parsed<SettingsTree> FromJson(const Json::Value& aJson);

  Json::Value ToJson() const;
  std::string ToYaml() const;

  /// @param aChanges changes to apply; only their combined result is validated.
  /// @return the changed tree and its warnings, or all problems of the result.
  Parsed<SettingsTree> WithChanges(const std::vector<Change>& aChanges) const;

  /// @param aTarget tree to compare with.
  /// @return the changes that turn this tree into the target.
  std::vector<Change> Diff(const SettingsTree& aTarget) const;

  /// @return the value that the path itself sets for the key, without inheritance; nullopt if it
  /// sets none.
  std::optional<Json::Value> Find(const std::string& aPath, const std::string& aKey) const;

  /// @return settings of a service in a zone after inheritance. Names that the tree does not
  /// contain inherit from the nodes above them.
  EffectiveSettings Effective(const std::string& aRegion,
                              const std::string& aService,
                              const std::string& aZone) const;

  /// @param aPath node path; the node does not have to exist.
  /// @return settings of the node after inheritance, or nullopt if the path is malformed.
  std::optional<EffectiveSettings> EffectiveAt(const std::string& aPath) const;

  const std::vector<Region>& Regions() const { return m_regions; }
  const std::vector<Service>& Services() const { return m_services; }
  const std::vector<Link>& Links() const { return m_links; }
  const std::vector<ClientBlock>& ClientBlocks() const { return m_clientBlocks; }
  const std::vector<Law>& Laws() const { return m_laws; }
  const std::vector<Drain>& Drains() const { return m_drains; }

  /// @return the service, or null if it does not exist.
  const Service* FindService(std::string_view aName) const;

  /// @return the link from one region to the other, or null if it does not exist.
  const Link* FindLink(std::string_view aFrom, std::string_view aTo) const;

  /// @return all values that nodes and sections set; defaults are not included.
  const Entries& AllEntries() const { return m_entries; }

  bool operator==(const SettingsTree& aOther) const { return m_entries == aOther.m_entries; }

private:
  friend class TreeParser;

  Entries m_entries;
  std::vector<Region> m_regions;
  std::vector<Service> m_services;
  std::vector<Link> m_links;
  std::vector<ClientBlock> m_clientBlocks;
  std::vector<Law> m_laws;
  std::vector<Drain> m_drains;
};

} // namespace jaylane::settings
