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

/// @return whether the history holds every edit accepted after a generation.
bool HistoryReaches(const SettingsDocument& aDocument, std::uint64_t aGeneration)
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

/// @return the latest accepted change of a key of the edit since its base generation.
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

/// Drops the oldest edits from the history until the document fits into the store. A shorter
/// history is safe: edits that it no longer reaches are rejected.
bool FitIntoStore(SettingsDocument& aDocument)
{
  std::vector<HistoryEntry>& history = aDocument.m_history;
  while (aDocument.Serialize().size() > SettingsDocument::kMaxBytes) {
    // The newest edit has to stay, or its author could not find out that it was accepted.
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
  SettingsDocument next;
  next.m_generation = aCurrent.m_generation + 1;
  next.m_writer = aContext.m_writer;
  next.m_nonce = aContext.m_nonce;
  next.m_tree = std::move(aTree);
  next.m_history = aCurrent.m_history;
  next.m_history.push_back({ next.m_generation, aEdit, aContext.m_author, aContext.m_time });
  if (next.m_history.size() > SettingsDocument::kMaxHistory) {
    next.m_history.erase(next.m_history.begin());
  }
  if (!FitIntoStore(next)) {
    return Reject(aCurrent, SettingsErrc::TooLarge);
  }
  MergeResult result;
  result.m_outcome = MergeOutcome::Accepted;
  result.m_generation = next.m_generation;
  result.m_document = std::move(next);
  return result;
}

} // namespace

MergeResult EditMerger::Merge(const SettingsDocument& aCurrent,
                              const Edit& aEdit,
                              const EditContext& aContext)
{
  if (const HistoryEntry* known = FindById(aCurrent, aEdit.m_id)) {
    if (known->m_edit != aEdit || known->m_author != aContext.m_author) {
      return Reject(aCurrent, SettingsErrc::IdReused);
    }
    MergeResult result;
    result.m_outcome = MergeOutcome::AlreadyAccepted;
    result.m_generation = known->m_generation;
    return result;
  }
  if (aEdit.m_baseGeneration > aCurrent.m_generation) {
    return Reject(aCurrent, SettingsErrc::BaseInFuture);
  }
  if (!HistoryReaches(aCurrent, aEdit.m_baseGeneration)) {
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
  // The edit could only be accepted after its base, so a history that reaches back to the base
  // would hold it. A document older than the base says nothing.
  return aBaseGeneration <= aCurrent.m_generation && HistoryReaches(aCurrent, aBaseGeneration)
           ? EditStatus::NotAccepted
           : EditStatus::Unknown;
}

} // namespace jaylane::settings
