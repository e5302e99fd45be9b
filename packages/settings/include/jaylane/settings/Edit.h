#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/Error.h"
#include "jaylane/settings/SettingsTree.h"

#include <cstdint>
#include <json/value.h>
#include <string>
#include <vector>

namespace jaylane::settings {

/// An operator's edit. All changes take effect together under one new generation.
struct Edit
{
  /// Chosen by the operator's tool, unique; sent again unchanged after a lost response.
  std::string m_id;
  /// Generation that the operator saw.
  std::uint64_t m_baseGeneration = 0;
  std::vector<Change> m_changes;

  /// @return {"id","base_generation","changes":[{"path","key","value"}]}; null removes.
  Json::Value ToJson() const;

  /// @param aJson form of ToJson(), or "path","key","value" in place of "changes".
  /// @return the edit, or what is malformed.
  static base::Result<Edit> FromJson(const Json::Value& aJson);

  bool operator==(const Edit&) const = default;
};

/// @return {"path","key","value"} with null for a removal.
Json::Value ToJson(const Change& aChange);

/// @return array of the changes.
Json::Value ToJson(const std::vector<Change>& aChanges);

/// An accepted edit.
struct HistoryEntry
{
  std::uint64_t m_generation = 0;
  Edit m_edit;
  std::string m_author;
  base::WallTime m_time;

  Json::Value ToJson() const;
  static base::Result<HistoryEntry> FromJson(const Json::Value& aJson);
};

} // namespace jaylane::settings
