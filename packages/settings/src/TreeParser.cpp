#include "TreeParser.h"

#include "NodePath.h"
#include "SectionKeys.h"
#include "TreeChecks.h"
#include "TreeKeys.h"

#include <algorithm>

namespace jaylane::settings {

namespace {

bool IsSection(const std::string& aName)
{
  return std::find(kSections.begin(), kSections.end(), aName) != kSections.end();
}

/// Checks an entry for constraints that involve several of its keys.
template<typename T>
void CheckEntry(const Json::Value&, const JsonPath&, const T&, Reporter&)
{
}

void CheckEntry(const Json::Value& aJson, const JsonPath& aPath, const Drain&, Reporter& aReporter)
{
  const int targets =
    aJson.isMember("site") + aJson.isMember("region") + aJson.isMember("upstream");
  if (targets != 1) {
    aReporter.Error(aPath, "expected exactly one of site, region and upstream");
  }
}

} // namespace

Parsed<SettingsTree> TreeParser::ParseDocument(const LocatedJson& aDocument, std::string aFile)
{
  SourcePaths sourcePaths;
  // Diagnostics address values by section or node path and key. The document has section entries
  // in lists and nodes below "nodes".
  auto lineOf = [&](const JsonPath& aPath) {
    if (aPath.size() >= 2) {
      if (auto position = sourcePaths.find({ aPath[0], aPath[1] }); position != sourcePaths.end()) {
        JsonPath path = position->second;
        path.insert(path.end(), aPath.begin() + 2, aPath.end());
        return aDocument.LineOf(std::move(path));
      }
    }
    if (!aPath.empty() && aPath[0].starts_with("@")) {
      return aDocument.LineOf({ aPath[0].substr(1) });
    }
    if (!aPath.empty() && aPath[0].starts_with("/")) {
      JsonPath path{ "nodes" };
      path.insert(path.end(), aPath.begin(), aPath.end());
      return aDocument.LineOf(std::move(path));
    }
    return aDocument.LineOf(aPath);
  };
  Reporter reporter(std::move(aFile), lineOf);
  reporter.Append(aDocument.m_diagnostics);
  if (reporter.Failed() && aDocument.m_value.isNull()) {
    return { std::nullopt, reporter.All() };
  }
  TreeParser parser(reporter);
  parser.Build(parser.Flatten(aDocument.m_value, sourcePaths));
  return parser.Finish();
}

Parsed<SettingsTree> TreeParser::ParseEntries(const SettingsTree::Entries& aEntries)
{
  Reporter reporter;
  TreeParser parser(reporter);
  parser.Build(aEntries);
  return parser.Finish();
}

SettingsTree::Entries TreeParser::Flatten(const Json::Value& aDocument, SourcePaths& aSourcePaths)
{
  SettingsTree::Entries entries;
  if (!aDocument.isObject()) {
    m_reporter.Error({}, "expected a mapping with regions, services, links and nodes");
    return entries;
  }
  for (const std::string& name : aDocument.getMemberNames()) {
    if (name == "nodes") {
      FlattenNodes(aDocument[name], entries);
    } else if (IsSection(name)) {
      FlattenSection(name, aDocument[name], entries, aSourcePaths);
    } else {
      m_reporter.Error({ name }, "expected a known section; this one is unknown");
    }
  }
  return entries;
}

void TreeParser::FlattenSection(const std::string& aSection,
                                const Json::Value& aList,
                                SettingsTree::Entries& aEntries,
                                SourcePaths& aSourcePaths)
{
  if (!aList.isArray() && !aList.isNull()) {
    m_reporter.Error({ aSection }, "expected a list");
    return;
  }
  const std::string path = "@" + aSection;
  for (Json::ArrayIndex i = 0; i < aList.size(); ++i) {
    const JsonPath position{ aSection, std::to_string(i) };
    std::string key = RawIdentity(aSection, aList[i]);
    if (key.empty()) {
      // An entry that lacks its key is kept under its index, so that its problems are reported too.
      key = "#" + std::to_string(i);
    }
    if (!aEntries[path].emplace(key, aList[i]).second) {
      m_reporter.Error(position, "expected each entry once, found " + key + " again");
      continue;
    }
    aSourcePaths.emplace(std::make_pair(path, key), position);
  }
}

void TreeParser::FlattenNodes(const Json::Value& aNodes, SettingsTree::Entries& aEntries)
{
  if (!aNodes.isObject()) {
    if (!aNodes.isNull()) {
      m_reporter.Error({ "nodes" }, "expected a mapping from node paths to settings");
    }
    return;
  }
  for (const std::string& path : aNodes.getMemberNames()) {
    const Json::Value& node = aNodes[path];
    if (!path.starts_with("/")) {
      m_reporter.Error({ "nodes", path }, "expected a node path that starts with \"/\"");
    } else if (!node.isObject() && !node.isNull()) {
      m_reporter.Error({ path }, "expected a mapping from keys to values");
    } else if (node.isObject()) {
      for (const std::string& key : node.getMemberNames()) {
        aEntries[path][key] = node[key];
      }
    }
  }
}

void TreeParser::Build(const SettingsTree::Entries& aEntries)
{
  BuildSection(aEntries, "@regions", RegionKeys(), m_tree.m_regions);
  BuildSection(aEntries, "@services", ServiceKeys(), m_tree.m_services);
  BuildSection(aEntries, "@links", LinkKeys(), m_tree.m_links);
  BuildSection(aEntries, "@client_blocks", ClientBlockKeys(), m_tree.m_clientBlocks);
  BuildSection(aEntries, "@laws", LawKeys(), m_tree.m_laws);
  BuildSection(aEntries, "@drains", DrainKeys(), m_tree.m_drains);
  for (const auto& [path, values] : aEntries) {
    if (path.starts_with("@")) {
      if (!IsSection(path.substr(1))) {
        m_reporter.Error({ path }, "expected a known section; this one is unknown");
      }
    } else {
      BuildNode(path, values);
    }
  }
}

void TreeParser::BuildNode(const std::string& aPath,
                           const std::map<std::string, Json::Value>& aValues)
{
  if (!NodePath::Parse(aPath)) {
    m_reporter.Error({ aPath },
                     "expected \"/\", \"/<region>\", \"/<region>/<service>\" or "
                     "\"/<region>/<service>/<zone>\"");
    return;
  }
  for (const auto& [key, value] : aValues) {
    const KeySpec<EffectiveSettings>* spec = FindKey(TreeKeys(), key);
    if (!spec) {
      m_reporter.Error({ aPath, key }, "expected a known key; this one is unknown");
      continue;
    }
    const std::size_t before = m_reporter.All().size();
    spec->m_value.m_check(value, { aPath, key }, m_reporter);
    if (m_reporter.All().size() == before) {
      // Stores the normalized value, so that 5 and 5.0 compare as equal.
      EffectiveSettings single;
      spec->m_assign(single, value);
      m_tree.m_entries[aPath][key] = spec->m_read(single);
    }
  }
}

template<typename T>
void TreeParser::BuildSection(const SettingsTree::Entries& aEntries,
                              const std::string& aSection,
                              const std::vector<KeySpec<T>>& aKeys,
                              std::vector<T>& aTarget)
{
  const auto section = aEntries.find(aSection);
  if (section == aEntries.end()) {
    return;
  }
  for (const auto& [key, value] : section->second) {
    const JsonPath path{ aSection, key };
    const std::size_t before = m_reporter.All().size();
    T entry;
    ReadMapping(value, path, aKeys, entry, m_reporter);
    if (value.isObject()) {
      CheckEntry(value, path, entry, m_reporter);
    }
    if (m_reporter.All().size() != before) {
      continue;
    }
    if (IdentityOf(entry) != key) {
      m_reporter.Error(path, "expected the key " + IdentityOf(entry) + " for this entry");
      continue;
    }
    m_tree.m_entries[aSection][key] = WriteMapping(aKeys, entry);
    aTarget.push_back(std::move(entry));
  }
}

Parsed<SettingsTree> TreeParser::Finish()
{
  CheckTree(m_tree, m_reporter);
  if (m_reporter.Failed()) {
    return { std::nullopt, m_reporter.All() };
  }
  return { std::move(m_tree), m_reporter.All() };
}

} // namespace jaylane::settings
