#include "NodePath.h"

#include "ValueSpec.h"

namespace jaylane::settings {

namespace {
/// Region, service and zone.
constexpr std::size_t kMaxParts = 3;
} // namespace

std::optional<NodePath> NodePath::Parse(std::string_view aText)
{
  if (aText.empty() || aText.front() != '/') {
    return std::nullopt;
  }
  NodePath path;
  std::string_view rest = aText.substr(1);
  while (!rest.empty()) {
    const std::size_t slash = rest.find('/');
    const std::string_view part = rest.substr(0, slash);
    const bool trailing = slash != std::string_view::npos && slash + 1 == rest.size();
    if (!IsIdentifier(part) || trailing || path.m_parts.size() == kMaxParts) {
      return std::nullopt;
    }
    path.m_parts.emplace_back(part);
    rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
  }
  return path;
}

std::vector<std::string> NodePath::PathsFromRoot() const
{
  std::vector<std::string> paths{ "/" };
  std::string path;
  for (const std::string& part : m_parts) {
    path += "/" + part;
    paths.push_back(path);
  }
  return paths;
}

} // namespace jaylane::settings
