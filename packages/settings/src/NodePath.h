#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// Path of a node of the settings tree.
struct NodePath
{
  /// Region, service and zone, as far as the path has them; empty for the root.
  std::vector<std::string> m_parts;

  /// @param aText "/", "/<region>", "/<region>/<service>" or "/<region>/<service>/<zone>".
  /// @return the path, or nullopt if the text is malformed.
  static std::optional<NodePath> Parse(std::string_view aText);

  /// @return the paths of all nodes from the root to this one, inclusive. Later nodes override
  /// the settings of earlier ones.
  std::vector<std::string> PathsFromRoot() const;
};

} // namespace jaylane::settings
