#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/gateway/StoreDialect.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::gateway {

/// Changes between two revisions of the store, as a peer sends them.
struct StoreChanges
{
  /// Both are of the same era.
  policy::StoreRevision m_since;
  policy::StoreRevision m_revision;
  std::vector<StoredObject> m_objects;
  /// Names of all objects at m_revision, if not all removals since m_since are known.
  std::optional<std::vector<std::string>> m_allNames;

  std::string ToJson() const;
  /// @param aText output of ToJson().
  /// @return the changes, or InvalidStoreResponse if the text holds none.
  static base::Result<StoreChanges> FromJson(std::string_view aText);
};

/// All objects of one kind as of a revision of the store, and their recent removals. VMs send it,
/// or the changes since a revision, as JSON to peers that do not get them from the store.
class StoreSnapshot
{
public:
  /// Replaces all objects by a full list. Objects that it lacks count as removed at its revision,
  /// so that peers learn of removals that this VM has not seen as changes. A list of another era
  /// counts as a change even if its objects are the same, so that peers learn of the era.
  /// @return those removals.
  std::vector<StoredObject> Replace(const std::vector<StoredObject>& aObjects,
                                    policy::StoreRevision aRevision);

  /// Applies changes of the snapshot's era up to a revision, in their order. Objects that are not
  /// newer than the present ones are left out.
  /// @return the changes that were applied.
  std::vector<StoredObject> Apply(std::vector<StoredObject> aChanges,
                                  policy::StoreRevision aRevision);

  /// @return revision up to which the snapshot has every change, 0 before the first list. Single
  ///         objects may be newer. All objects and removals are of its era.
  policy::StoreRevision Revision() const { return m_revision; }
  /// @return revision of the newest change among the objects and removals.
  policy::StoreRevision NewestChange() const { return m_newestChange; }
  std::vector<StoredObject> Objects() const;

  /// @return whether ChangesSince() knows all removals after the revision.
  bool HasChangesSince(policy::StoreRevision aRevision) const
  {
    return aRevision >= m_changesKnownFrom;
  }
  /// @return changed and removed objects after the revision.
  std::vector<StoredObject> ChangesSince(policy::StoreRevision aRevision) const;

  /// The revision of a VM is that of its last call to the store and differs from VM to VM, also if
  /// they have the same objects.
  /// @param aSince revision of the snapshot's era, not 0.
  /// @return the earliest revision since which MakeChanges() has the same changes and names; not 0.
  policy::StoreRevision EarliestEquivalent(policy::StoreRevision aSince) const;
  /// @param aSince revision of the snapshot's era.
  /// @return the changes since the revision, to be sent to a peer.
  StoreChanges MakeChanges(policy::StoreRevision aSince) const;
  /// @return whether changes of a peer differ from the objects here.
  bool HasNews(const StoreChanges& aChanges) const;
  /// Applies the changes of a peer unless they start after this snapshot, are not newer, or are of
  /// another era.
  /// @return the changes and removals that were applied; nothing if they were ignored.
  std::optional<std::vector<StoredObject>> ApplyPeerChanges(const StoreChanges& aChanges);

  std::string ToJson() const;
  /// @param aText output of ToJson().
  /// @return the snapshot, or InvalidStoreResponse if the text is not a valid one.
  static base::Result<StoreSnapshot> FromJson(std::string_view aText);

private:
  /// @return whether the change is not the removal of an object and the same or a newer object is
  ///   present.
  bool IsKnown(const StoredObject& aChange) const;
  void ApplyChange(const StoredObject& aChange);
  void SetRevision(policy::StoreRevision aRevision);
  /// Appends the removal of each object whose name is missing.
  void AppendRemovals(const std::set<std::string_view>& aNames,
                      policy::StoreRevision aRevision,
                      std::vector<StoredObject>& aChanges) const;

  policy::StoreRevision m_revision;
  policy::StoreRevision m_newestChange;
  /// Removals after this revision are in m_removals.
  policy::StoreRevision m_changesKnownFrom;
  std::map<std::string, StoredObject> m_objects;
  /// Revision of each removal, by name of the object.
  std::map<std::string, policy::StoreRevision> m_removals;
};

} // namespace jaylane::gateway
