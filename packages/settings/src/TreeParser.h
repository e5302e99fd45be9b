#pragma once

#include "Reporter.h"
#include "ValueSpec.h"
#include "jaylane/settings/SettingsTree.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::settings {

/// Turns documents into entries and entries into trees; reports all problems.
class TreeParser
{
public:
  /// @param aDocument document with or without lines.
  /// @param aFile name for diagnostics.
  static Parsed<SettingsTree> ParseDocument(const LocatedJson& aDocument, std::string aFile);

  /// @param aEntries unchecked entries, such as those of a tree after an edit.
  static Parsed<SettingsTree> ParseEntries(const SettingsTree::Entries& aEntries);

private:
  /// Where an entry stands in the document.
  using Places = std::map<std::pair<std::string, std::string>, JsonPath>;

  explicit TreeParser(Reporter& aReporter)
    : m_reporter(aReporter)
  {
  }

  SettingsTree::Entries Flatten(const Json::Value& aDocument, Places& aPlaces);
  void FlattenSection(const std::string& aSection,
                      const Json::Value& aList,
                      SettingsTree::Entries& aEntries,
                      Places& aPlaces);
  void FlattenNodes(const Json::Value& aNodes, SettingsTree::Entries& aEntries);

  void Build(const SettingsTree::Entries& aEntries);
  void BuildNode(const std::string& aPath, const std::map<std::string, Json::Value>& aValues);

  template<typename T>
  void BuildSection(const SettingsTree::Entries& aEntries,
                    const std::string& aSection,
                    const std::vector<KeySpec<T>>& aKeys,
                    std::vector<T>& aTarget);

  Parsed<SettingsTree> Finish();

  Reporter& m_reporter;
  SettingsTree m_tree;
};

} // namespace jaylane::settings
