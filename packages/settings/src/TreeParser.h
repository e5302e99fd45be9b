#pragma once

#include "Reporter.h"
#include "ValueSpec.h"
#include "jaylane/settings/SettingsTree.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::settings {

/// Builds validated trees from documents or from entries, and reports all problems.
class TreeParser
{
public:
  /// @param aDocument document with or without line numbers.
  /// @param aFile file name for diagnostics.
  static Parsed<SettingsTree> ParseDocument(const LocatedJson& aDocument, std::string aFile);

  /// @param aEntries entries to validate, such as those of a tree after an edit.
  static Parsed<SettingsTree> ParseEntries(const SettingsTree::Entries& aEntries);

private:
  /// Maps section path and key of an entry to its position in the document.
  using SourcePaths = std::map<std::pair<std::string, std::string>, JsonPath>;

  explicit TreeParser(Reporter& aReporter)
    : m_reporter(aReporter)
  {
  }

  /// Converts a document to entries and records where each section entry comes from.
  SettingsTree::Entries Flatten(const Json::Value& aDocument, SourcePaths& aSourcePaths);
  void FlattenSection(const std::string& aSection,
                      const Json::Value& aList,
                      SettingsTree::Entries& aEntries,
                      SourcePaths& aSourcePaths);
  void FlattenNodes(const Json::Value& aNodes, SettingsTree::Entries& aEntries);

  /// Validates the entries one by one and adds the valid ones to the tree.
  void Build(const SettingsTree::Entries& aEntries);
  void BuildNode(const std::string& aPath, const std::map<std::string, Json::Value>& aValues);

  template<typename T>
  void BuildSection(const SettingsTree::Entries& aEntries,
                    const std::string& aSection,
                    const std::vector<KeySpec<T>>& aKeys,
                    std::vector<T>& aTarget);

  /// Checks the entries against each other.
  /// @return the tree, or no value if any problem is an error.
  /// Checks the entries of the tree against each other.
  /// @return the tree, or no value if any problem is an error.
  Parsed<SettingsTree> Finish();

  Reporter& m_reporter;
  SettingsTree m_tree;
};

} // namespace jaylane::settings
