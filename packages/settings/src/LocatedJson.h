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

/// JSON document with the source line on which each value starts.
struct LocatedJson
{
  Json::Value m_value;
  std::map<JsonPath, int> m_lines;
  /// Problems of the text, such as syntax errors and duplicate keys.
  Diagnostics m_diagnostics;

  /// @return line of the value, or of the nearest enclosing value with a known line, or 0.
  int LineOf(JsonPath aPath) const;
};

/// Converts YAML to JSON. Unquoted scalars become numbers or booleans if they have the form of
/// one. Only "true" and "false" are booleans, so that a region may be called "no".
/// @param aText YAML text.
/// @param aFile file name for diagnostics.
LocatedJson ReadYaml(std::string_view aText, const std::string& aFile);

/// Reads a YAML file; a file that cannot be read results in a diagnostic.
LocatedJson ReadYamlFile(const std::string& aPath);

/// @param aJson value to write.
/// @param aOrder names of root members to write first; the others follow sorted by name.
/// @return YAML text that ReadYaml() reads back as the same value.
std::string WriteYaml(const Json::Value& aJson, const std::vector<std::string>& aOrder = {});

} // namespace jaylane::settings
