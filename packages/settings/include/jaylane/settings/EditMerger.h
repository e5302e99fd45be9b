#pragma once

#include "jaylane/settings/Edit.h"
#include "jaylane/settings/SettingsDocument.h"
#include "jaylane/settings/SettingsError.h"

#include <optional>
#include <string>

namespace jaylane::settings {

/// Metadata stored with an accepted edit.
struct EditContext
{
  /// Name of the administration token that was used.
  std::string m_author;
  base::WallTime m_time;
  /// Entry VM and its incarnation that write the document.
  std::string m_writer;
  /// Unique value per write; see SettingsDocument::m_nonce.
  std::string m_nonce;
};

/// Accepted change that an edit conflicts with.
struct EditConflict
{
  std::string m_path;
  std::string m_key;
  /// Value in the rejected edit; nullopt if the edit removes the key.
  std::optional<Json::Value> m_yours;
  /// Value in the accepted edit; nullopt if that edit removed the key.
  std::optional<Json::Value> m_theirs;
  /// Author, time and generation of the accepted edit.
  std::string m_author;
  base::WallTime m_time;
  std::uint64_t m_generation = 0;
};

enum class MergeOutcome
{
  /// MergeResult::m_document must be written to the store by a conditional update.
  Accepted,
  /// The history already contains the edit; there is nothing to write.
  AlreadyAccepted,
  Rejected,
};

struct MergeResult
{
  MergeOutcome m_outcome = MergeOutcome::Rejected;
  /// New document; set only if the outcome is Accepted.
  std::optional<SettingsDocument> m_document;
  /// Generation that contains the edit, or the current generation if the edit is rejected.
  std::uint64_t m_generation = 0;
  /// Reason for the rejection, else Ok.
  SettingsErrc m_code = SettingsErrc::Ok;
  /// Set only if m_code is Conflict.
  std::optional<EditConflict> m_conflict;
  /// Warnings about the accepted tree, or all problems of the rejected one.
  Diagnostics m_diagnostics;
};

enum class EditStatus
{
  Accepted,
  NotAccepted,
  /// The history does not cover the generations since the edit's base generation.
  Unknown,
};

/// Merges edits into the settings document. The functions have no side effects.
class EditMerger
{
public:
  /// Rebases an edit on the current document. It conflicts only if a key that it changes was
  /// changed after its base generation.
  /// @param aCurrent document as read from the store.
  /// @param aEdit edit based on the current or an older generation.
  /// @param aContext metadata to store with the edit.
  static MergeResult Merge(const SettingsDocument& aCurrent,
                           const Edit& aEdit,
                           const EditContext& aContext);

  /// Determines whether an edit was accepted, for a client that received no response.
  /// @param aCurrent document as read from the store after the edit was sent.
  /// @param aId id of the edit.
  /// @param aBaseGeneration base generation of the edit.
  static EditStatus StatusOf(const SettingsDocument& aCurrent,
                             const std::string& aId,
                             std::uint64_t aBaseGeneration);
};

} // namespace jaylane::settings
