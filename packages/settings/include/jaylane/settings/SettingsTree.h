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
/// The path is a node ("/", "/<region>", "/<region>/<service>", "/<region>/<service>/<zone>")
/// with a setting as key, or a section ("@regions", "@services", "@links", "@client_blocks",
/// "@laws", "@drains") with the identity of one entry as key: name, "<from>><to>", prefix, law
/// id or "site:<region>/<zone>", "region:<name>", "upstream:<id>".
struct Change
{
  std::string m_path;
  std::string m_key;
  /// Nothing removes the key.
  std::optional<Json::Value> m_value;

  bool operator==(const Change&) const = default;
};

/// The settings of a deployment: a validated, immutable document.
class SettingsTree
{
public:
  using Entries = std::map<std::string, std::map<std::string, Json::Value>>;

  /// An empty tree: no regions, all defaults.
  SettingsTree() = default;

  /// @param aText YAML text.
  /// @param aFile name for diagnostics.
  /// @return the tree (with warnings) or all problems.
  static Parsed<SettingsTree> ParseYaml(std::string_view aText, std::string aFile);

  /// @param aPath file to read.
  /// @return the tree (with warnings) or all problems.
  static Parsed<SettingsTree> LoadYaml(const std::string& aPath);

  /// @param aJson form written by ToJson().
  /// @return the tree (with warnings) or all problems.
  static Parsed<SettingsTree> FromJson(const Json::Value& aJson);

  Json::Value ToJson() const;
  std::string ToYaml() const;

  /// @param aChanges applied together; only the result has to validate.
  /// @return the changed tree (with warnings) or all problems of the result.
  Parsed<SettingsTree> WithChanges(const std::vector<Change>& aChanges) const;

  /// @param aTarget tree to reach.
  /// @return changes that turn this tree into the target.
  std::vector<Change> Diff(const SettingsTree& aTarget) const;

  /// @return the value that this very path sets for the key.
  std::optional<Json::Value> Find(const std::string& aPath, const std::string& aKey) const;

  /// @return resolved settings; nodes that do not exist inherit.
  EffectiveSettings Effective(const std::string& aRegion,
                              const std::string& aService,
                              const std::string& aZone) const;

  /// @param aPath any node path, also of a node that sets nothing.
  /// @return resolved settings, or nothing if the path is malformed.
  std::optional<EffectiveSettings> EffectiveAt(const std::string& aPath) const;

  const std::vector<Region>& Regions() const { return m_regions; }
  const std::vector<Service>& Services() const { return m_services; }
  const std::vector<Link>& Links() const { return m_links; }
  const std::vector<ClientBlock>& ClientBlocks() const { return m_clientBlocks; }
  const std::vector<Law>& Laws() const { return m_laws; }
  const std::vector<Drain>& Drains() const { return m_drains; }

  /// @return the service, or null.
  const Service* FindService(std::string_view aName) const;

  /// @return the link from one region to the other, or null.
  const Link* FindLink(std::string_view aFrom, std::string_view aTo) const;

  /// @return all values by path and key; sections are paths that start with "@".
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
