#include "jaylane/settings/EditMerger.h"

#include <algorithm>

namespace jaylane::settings {

namespace {

const HistoryEntry* FindById(const SettingsDocument& aDocument, const std::string& aId)
{
  const auto found =
    std::find_if(aDocument.m_history.begin(),
                 aDocument.m_history.end(),
                 [&](const HistoryEntry& aEntry) { return aEntry.m_edit.m_id == aId; });
  return found == aDocument.m_history.end() ? nullptr : &*found;
}

/// @return whether the history contains every edit accepted after the generation.
bool HistoryCovers(const SettingsDocument& aDocument, std::uint64_t aGeneration)
{
  return aGeneration + aDocument.m_history.size() >= aDocument.m_generation;
}

MergeResult Reject(const SettingsDocument& aCurrent, SettingsErrc aCode)
{
  MergeResult result;
  result.m_generation = aCurrent.m_generation;
  result.m_code = aCode;
  return result;
}

/// @return the latest change accepted since the edit's base generation that has a key in common
/// with the edit.
std::optional<EditConflict> FindConflict(const SettingsDocument& aCurrent, const Edit& aEdit)
{
  for (auto entry = aCurrent.m_history.rbegin();
       entry != aCurrent.m_history.rend() && entry->m_generation > aEdit.m_baseGeneration;
       ++entry) {
    for (const Change& theirs : entry->m_edit.m_changes) {
      for (const Change& yours : aEdit.m_changes) {
        if (yours.m_path == theirs.m_path && yours.m_key == theirs.m_key) {
          return EditConflict{ yours.m_path,    yours.m_key,   yours.m_value,      theirs.m_value,
                               entry->m_author, entry->m_time, entry->m_generation };
        }
      }
    }
  }
  return std::nullopt;
}

/// Drops the oldest edits from the history until the document is within the store's size limit.
/// A shorter history is safe: edits based on a generation that it does not cover are rejected.
/// @return false if the document is too large even with only its newest edit.
bool TrimHistoryToLimit(SettingsDocument& aDocument)
{
  std::vector<HistoryEntry>& history = aDocument.m_history;
  while (aDocument.Serialize().size() > SettingsDocument::kMaxBytes) {
    // Without the newest edit, its author could not find out that it was accepted.
    if (history.size() <= 1) {
      return false;
    }
    history.erase(history.begin(), history.begin() + static_cast<long>(history.size() / 2));
  }
  return true;
}

MergeResult Accept(const SettingsDocument& aCurrent,
                   SettingsTree aTree,
                   const Edit& aEdit,
                   const EditContext& aContext)
{
  SettingsDocument updated;
  updated.m_generation = aCurrent.m_generation + 1;
  updated.m_writer = aContext.m_writer;
  updated.m_nonce = aContext.m_nonce;
  updated.m_tree = std::move(aTree);
  updated.m_history = aCurrent.m_history;
  updated.m_history.push_back({ updated.m_generation, aEdit, aContext.m_author, aContext.m_time });
  if (updated.m_history.size() > SettingsDocument::kMaxHistory) {
    updated.m_history.erase(updated.m_history.begin());
  }
  if (!TrimHistoryToLimit(updated)) {
    return Reject(aCurrent, SettingsErrc::TooLarge);
  }
  MergeResult result;
  result.m_outcome = MergeOutcome::Accepted;
  result.m_generation = updated.m_generation;
  result.m_document = std::move(updated);
  return result;
}

} // namespace

MergeResult EditMerger::Merge(const SettingsDocument& aCurrent,
                              const Edit& aEdit,
                              const EditContext& aContext)
{
  if (const HistoryEntry* existing = FindById(aCurrent, aEdit.m_id)) {
    if (existing->m_edit != aEdit || existing->m_author != aContext.m_author) {
      return Reject(aCurrent, SettingsErrc::IdReused);
    }
    MergeResult result;
    result.m_outcome = MergeOutcome::AlreadyAccepted;
    result.m_generation = existing->m_generation;
    return result;
  }
  if (aEdit.m_baseGeneration > aCurrent.m_generation) {
    return Reject(aCurrent, SettingsErrc::BaseInFuture);
  }
  if (!HistoryCovers(aCurrent, aEdit.m_baseGeneration)) {
    return Reject(aCurrent, SettingsErrc::BaseTooOld);
  }
  if (std::optional<EditConflict> conflict = FindConflict(aCurrent, aEdit)) {
    MergeResult result = Reject(aCurrent, SettingsErrc::Conflict);
    result.m_conflict = std::move(conflict);
    return result;
  }
  Parsed<SettingsTree> tree = aCurrent.m_tree.WithChanges(aEdit.m_changes);
  MergeResult result = tree ? Accept(aCurrent, std::move(*tree.m_value), aEdit, aContext)
                            : Reject(aCurrent, SettingsErrc::InvalidTree);
  result.m_diagnostics = std::move(tree.m_diagnostics);
  return result;
}

EditStatus EditMerger::StatusOf(const SettingsDocument& aCurrent,
                                const std::string& aId,
                                std::uint64_t aBaseGeneration)
{
  if (FindById(aCurrent, aId)) {
    return EditStatus::Accepted;
  }
  // An edit is accepted after its base generation, so a history that covers all generations since
  // then would contain it. A document older than the base generation gives no answer.
  return aBaseGeneration <= aCurrent.m_generation && HistoryCovers(aCurrent, aBaseGeneration)
           ? EditStatus::NotAccepted
           : EditStatus::Unknown;
}

} // namespace jaylane::settings
