#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/gateway/StoreDialect.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::gateway {

/// All objects of one kind as of a revision of the store. VMs send it as JSON to peers that cannot
/// reach the store.
class StoreSnapshot
{
public:
  /// Replaces all objects by a full list.
  void Replace(const std::vector<StoredObject>& aObjects, std::uint64_t aRevision);

  /// Applies changes up to a revision.
  void Apply(const std::vector<StoredObject>& aChanges, std::uint64_t aRevision);

  /// @return revision of the store that the snapshot reflects, 0 before the first list.
  std::uint64_t Revision() const { return m_revision; }
  /// @return revision of the newest change among the objects; at most Revision().
  std::uint64_t NewestChange() const { return m_newestChange; }
  std::vector<StoredObject> Objects() const;

  std::string ToJson() const;
  /// @param aText output of ToJson().
  /// @return the snapshot, or InvalidStoreResponse if the text is not a valid one.
  static base::Result<StoreSnapshot> FromJson(std::string_view aText);

private:
  std::uint64_t m_revision = 0;
  std::uint64_t m_newestChange = 0;
  std::map<std::string, StoredObject> m_objects;
};

} // namespace jaylane::gateway
