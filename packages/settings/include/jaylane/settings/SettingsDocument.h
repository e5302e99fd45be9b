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

/// Content of the store object settings/tree: the tree and the last edits that led to it.
struct SettingsDocument
{
  /// Maximum number of edits in the history.
  static constexpr std::size_t kMaxHistory = 50;
  /// Maximum size of the serialized document; the store accepts values of up to one megabyte.
  static constexpr std::size_t kMaxBytes = 1'000'000;

  /// Number of accepted edits; 0 for an empty document.
  std::uint64_t m_generation = 0;
  /// Writer and nonce identify the last write, so that a process that received no response to its
  /// write can determine whether the stored document is its own.
  std::string m_writer;
  std::string m_nonce;
  SettingsTree m_tree;
  /// Last accepted edits, oldest first; their generations are consecutive up to m_generation.
  std::vector<HistoryEntry> m_history;

  /// @return {"generation","writer","nonce","tree","history"}.
  Json::Value ToJson() const;

  /// @return ToJson() as compact text.
  std::string Serialize() const;

  /// @param aJson form of ToJson().
  /// @return the document, or MalformedDocument with what is wrong.
  static base::Result<SettingsDocument> FromJson(const Json::Value& aJson);

  /// @param aText form of Serialize().
  /// @return the document, or MalformedDocument with what is wrong.
  static base::Result<SettingsDocument> Parse(std::string_view aText);
};

} // namespace jaylane::settings
