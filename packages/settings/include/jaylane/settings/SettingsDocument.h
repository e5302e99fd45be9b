#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/settings/Edit.h"
#include "jaylane/settings/SettingsTree.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

/// Value of the store object settings/tree.
struct SettingsDocument
{
  static constexpr std::size_t kMaxHistory = 50;
  /// The store takes values up to one megabyte.
  static constexpr std::size_t kMaxBytes = 1'000'000;

  std::uint64_t m_generation = 0;
  /// Writer and nonce tell a process that lost a response whether the stored value is its own.
  std::string m_writer;
  std::string m_nonce;
  SettingsTree m_tree;
  /// Last accepted edits, oldest first, without gaps up to m_generation.
  std::vector<HistoryEntry> m_history;

  /// @return {"generation","writer","nonce","tree","history"}.
  Json::Value ToJson() const;

  /// @return ToJson() as compact text.
  std::string Serialize() const;

  static base::Result<SettingsDocument> FromJson(const Json::Value& aJson);

  /// @param aText written by Serialize().
  static base::Result<SettingsDocument> Parse(std::string_view aText);
};

} // namespace jaylane::settings
