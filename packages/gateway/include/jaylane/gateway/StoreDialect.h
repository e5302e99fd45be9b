#pragma once

#include "jaylane/base/Error.h"
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
  /// Zones whose upstreams must get no requests; named after the zone.
  Evacuations,
  /// Entry VMs, written by themselves.
  Members,
};

/// One object, or its removal.
struct StoredObject
{
  std::string m_name;
  std::uint64_t m_revision = 0;
  bool m_deleted = false;
  Json::Value m_value;
};

/// Part of a list, or the events of a watch.
struct ObjectBatch
{
  std::vector<StoredObject> m_objects;
  /// Objects that could not be decoded.
  std::uint32_t m_unreadable = 0;
  bool m_hasMore = false;
  /// Revision of the store that the batch reflects.
  std::uint64_t m_revision = 0;
};

/// What a read must reflect.
enum class Freshness
{
  /// Everything that the store has acknowledged.
  Current,
  /// May be seconds old; such reads cost the store less.
  MayBeStale,
};

/// Translates between the gateway and the platform's store. No I/O.
class StoreDialect
{
public:
  virtual ~StoreDialect() = default;

  /// @return request target that lists a kind from after the named object.
  virtual std::string ListTarget(ObjectKind aKind,
                                 std::string_view aAfter,
                                 Freshness aFreshness) const = 0;
  /// @return request target of a long poll for changes since a revision.
  virtual std::string WatchTarget(ObjectKind aKind,
                                  std::uint64_t aSince,
                                  std::chrono::milliseconds aWait) const = 0;
  /// @return request target of one kind, for creating objects.
  virtual std::string CreateTarget(ObjectKind aKind) const = 0;
  /// @return body that creates an object.
  virtual std::string CreateBody(const std::string& aName, const Json::Value& aValue) const = 0;

  virtual base::Result<ObjectBatch> ParseList(std::string_view aBody) const = 0;
  virtual base::Result<ObjectBatch> ParseWatch(std::string_view aBody) const = 0;

  virtual base::Result<policy::Upstream> DecodeUpstream(const StoredObject& aObject) const = 0;
  virtual base::Result<policy::Configuration> DecodeConfiguration(
    const StoredObject& aObject) const = 0;
};

} // namespace jaylane::gateway
