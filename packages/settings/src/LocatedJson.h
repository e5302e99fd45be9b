#pragma once

#include "jaylane/settings/Diagnostic.h"

#include <json/value.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// Member names and list indexes from the root of a document to a value.
using JsonPath = std::vector<std::string>;

/// A document and the lines that its values started on.
struct LocatedJson
{
  Json::Value m_value;
  std::map<JsonPath, int> m_lines;
  /// Syntax errors and duplicate keys.
  Diagnostics m_diagnostics;

  /// @return line of the value or of the nearest enclosing one that has a line; else 0.
  int LineOf(JsonPath aPath) const;
};

/// Reads YAML into JSON values. Plain scalars become numbers and booleans where they look like
/// one; only "true" and "false" are booleans, so that a region may be called "no".
LocatedJson ReadYaml(std::string_view aText, const std::string& aFile);

/// Reads a YAML file; an unreadable file is a diagnostic.
LocatedJson ReadYamlFile(const std::string& aPath);

/// @param aJson value to write.
/// @param aOrder names of root members to write first; the others follow in order of name.
/// @return YAML text that ReadYaml() reads back as the same value.
std::string WriteYaml(const Json::Value& aJson, const std::vector<std::string>& aOrder = {});

} // namespace jaylane::settings
