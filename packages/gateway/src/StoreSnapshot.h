#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/gateway/StoreDialect.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::gateway {

/// All objects of one kind as of a revision of the store, in the form in which VMs pass them to
/// a peer that the store does not serve.
class StoreSnapshot
{
public:
  /// Replaces everything by a full list.
  void Replace(const std::vector<StoredObject>& aObjects, std::uint64_t aRevision);

  /// Applies changes up to a revision.
  void Apply(const std::vector<StoredObject>& aChanges, std::uint64_t aRevision);

  /// @return revision of the store that this reflects, 0 before the first list.
  std::uint64_t Revision() const { return m_revision; }
  /// @return revision of the newest change among the objects; at most Revision().
  std::uint64_t Changed() const { return m_changed; }
  std::vector<StoredObject> Objects() const;

  std::string ToJson() const;
  static base::Result<StoreSnapshot> FromJson(std::string_view aText);

private:
  std::uint64_t m_revision = 0;
  std::uint64_t m_changed = 0;
  std::map<std::string, StoredObject> m_objects;
};

} // namespace jaylane::gateway
