#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/base/SharedJson.h"
#include "jaylane/policy/Fleet.h"

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::gateway {

/// Objects of the platform's store that the gateway reads or writes.
enum class ObjectKind
{
  Configuration,
  Upstreams,
  /// Zones whose upstreams must get no requests. The object's name is the zone.
  Evacuations,
  /// Entry VMs; each creates its own object.
  Members,
  /// Records of requests that crash upstreams.
  Quarantines,
};

/// An object of the store, or its removal.
struct StoredObject
{
  std::string m_name;
  policy::StoreRevision m_revision;
  bool m_deleted = false;
  base::SharedJson m_value;
};

/// A page of a list, or the events of a watch.
struct ObjectBatch
{
  std::vector<StoredObject> m_objects;
  /// Number of objects that could not be decoded.
  std::uint32_t m_unreadable = 0;
  bool m_hasMore = false;
  /// Revision of the store that the batch reflects.
  policy::StoreRevision m_revision;

  /// Assigns the batch and its objects, which a response's body gives without an era, to one.
  void SetEra(std::uint64_t aEra)
  {
    m_revision = m_revision.InEra(aEra);
    for (StoredObject& object : m_objects) {
      object.m_revision = object.m_revision.InEra(aEra);
    }
  }
};

/// How current the result of a read must be.
enum class Freshness
{
  /// Reflects every write that the store has acknowledged.
  Current,
  /// May be seconds old. Such reads are cheaper for the store.
  MayBeStale,
};

/// Encodes requests to the platform's object store and decodes its responses. Does no I/O.
class StoreDialect
{
public:
  virtual ~StoreDialect() = default;

  /// @param aAfter name of the last object of the previous page; empty for the first page.
  /// @return request target that lists the objects of a kind.
  virtual std::string ListTarget(ObjectKind aKind,
                                 std::string_view aAfter,
                                 Freshness aFreshness) const = 0;
  /// @param aWait time after which the store responds without changes.
  /// @return request target of a long poll for changes since a revision.
  virtual std::string WatchTarget(ObjectKind aKind,
                                  policy::StoreRevision aSince,
                                  std::chrono::milliseconds aWait) const = 0;
  /// @return request target that objects of a kind are created at.
  virtual std::string CreateTarget(ObjectKind aKind) const = 0;
  /// @return request body that creates an object.
  virtual std::string CreateBody(const std::string& aName, const Json::Value& aValue) const = 0;

  /// @return request target that removes an object unless it has changed since the revision.
  virtual std::string RemoveTarget(ObjectKind aKind,
                                   const std::string& aName,
                                   policy::StoreRevision aRevision) const = 0;

  /// @return name of the response header that holds the era, see policy::StoreRevision.
  virtual std::string_view EraHeader() const = 0;

  /// The results of the parsers have no era.
  /// @return the object, or InvalidStoreResponse.
  virtual base::Result<StoredObject> ParseObject(std::string_view aBody) const = 0;
  virtual base::Result<ObjectBatch> ParseList(std::string_view aBody) const = 0;
  virtual base::Result<ObjectBatch> ParseWatch(std::string_view aBody) const = 0;

  virtual base::Result<policy::Upstream> DecodeUpstream(const StoredObject& aObject) const = 0;
  virtual base::Result<policy::Configuration> DecodeConfiguration(
    const StoredObject& aObject) const = 0;
};

} // namespace jaylane::gateway
