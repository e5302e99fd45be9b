#pragma once

#include "jaylane/settings/Edit.h"
#include "jaylane/settings/SettingsDocument.h"
#include "jaylane/settings/SettingsError.h"

#include <optional>
#include <string>

namespace jaylane::settings {

/// Who makes an edit and through which writer.
struct EditContext
{
  std::string m_author;
  base::WallTime m_time;
  std::string m_writer;
  std::string m_nonce;
};

/// Why an edit conflicts with an accepted one.
struct EditConflict
{
  std::string m_path;
  std::string m_key;
  /// Nothing stands for a removal.
  std::optional<Json::Value> m_yours;
  std::optional<Json::Value> m_theirs;
  std::string m_author;
  base::WallTime m_time;
  std::uint64_t m_generation = 0;
};

enum class MergeOutcome
{
  /// The document below has to be written by conditional update.
  Accepted,
  /// The same edit id is in the history: nothing to write.
  AlreadyAccepted,
  Rejected,
};

struct MergeResult
{
  MergeOutcome m_outcome = MergeOutcome::Rejected;
  /// New document; only if accepted.
  std::optional<SettingsDocument> m_document;
  /// Generation that contains the edit, or the current one if rejected.
  std::uint64_t m_generation = 0;
  SettingsErrc m_code = SettingsErrc::Ok;
  std::optional<EditConflict> m_conflict;
  /// Warnings of the new tree, or errors of a rejected one.
  Diagnostics m_diagnostics;
};

enum class EditStatus
{
  Accepted,
  NotAccepted,
  /// The history no longer reaches back to the edit's base generation.
  Unknown,
};

/// Merges edits into the document. Pure.
class EditMerger
{
public:
  /// @param aCurrent document as read from the store.
  /// @param aEdit edit against the same or an older generation.
  /// @param aContext recorded in the history.
  static MergeResult Merge(const SettingsDocument& aCurrent,
                           const Edit& aEdit,
                           const EditContext& aContext);

  /// Tells after a lost response whether an edit is in the document.
  /// @param aCurrent document as read from the store after the attempt.
  /// @param aId id of the edit.
  /// @param aBaseGeneration base generation of the edit.
  static EditStatus StatusOf(const SettingsDocument& aCurrent,
                             const std::string& aId,
                             std::uint64_t aBaseGeneration);
};

} // namespace jaylane::settings
