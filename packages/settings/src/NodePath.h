#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// Path of a node of the settings tree: up to a region, a service and a zone.
struct NodePath
{
  std::vector<std::string> m_parts;

  /// @param aText "/", "/<region>", "/<region>/<service>" or "/<region>/<service>/<zone>".
  /// @return the path, or nothing if the text is malformed.
  static std::optional<NodePath> Parse(std::string_view aText);

  /// @return this path and all paths above it, root first.
  std::vector<std::string> Lineage() const;
};

} // namespace jaylane::settings
