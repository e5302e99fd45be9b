#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/platform/PlatformError.h"
#include "jaylane/platform/VmList.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaylane::platform {

/// Number of a write; later writes have higher ones. Used as the version of an object and as the
/// revision of the store.
using Version = std::uint64_t;

/// Expected version of an object that must not exist yet. No existing object has it.
inline constexpr Version kAbsent = 0;

/// Size limit of a value in the platform's store.
inline constexpr std::size_t kMaxValueBytes = 1024 * 1024;

struct StoreObject
{
  std::string m_key;
  Version m_version = 0;
  std::string m_value;
};

struct ObjectVersion
{
  std::string m_key;
  Version m_version = 0;
};

struct ObjectListing
{
  /// Revision of the store at the time of the listing.
  Version m_revision = 0;
  std::vector<ObjectVersion> m_objects;
};

struct ObjectChange
{
  StoreObject m_object;
  bool m_deleted = false;
};

struct ChangeBatch
{
  /// Revision of the store up to which changes are included; `aAfter` of the next watch.
  Version m_revision = 0;
  std::vector<ObjectChange> m_changes;
};

/// The platform's object store and VM list. Thread safe; all calls block up to their timeout.
/// Values are UTF-8 text.
class Store
{
public:
  virtual ~Store() = default;

  /// @return the object; NotFound if it does not exist.
  virtual base::Result<StoreObject> Get(const std::string& aKey,
                                        std::chrono::milliseconds aTimeout) = 0;

  /// @param aExpected current version; kAbsent to create the object.
  /// @return the new version. After Timeout the write may have taken effect; after any other error
  ///   it has not.
  virtual base::Result<Version> Put(const std::string& aKey,
                                    const std::string& aValue,
                                    Version aExpected,
                                    std::chrono::milliseconds aTimeout) = 0;

  /// @param aExpected current version.
  /// @return errors as for Put(); NotFound if the object does not exist.
  virtual base::Status Delete(const std::string& aKey,
                              Version aExpected,
                              std::chrono::milliseconds aTimeout) = 0;

  /// @return keys and versions of all objects whose key starts with the prefix.
  virtual base::Result<ObjectListing> List(const std::string& aPrefix,
                                           std::chrono::milliseconds aTimeout) = 0;

  /// Waits until objects whose key starts with the prefix change after a revision.
  /// @param aAfter revision of the store; after 0 every object counts as changed.
  /// @param aWait longest time for which the store waits for a change.
  /// @param aTimeout timeout in addition to aWait.
  /// @return the changes; none if nothing changed within aWait.
  virtual base::Result<ChangeBatch> Watch(const std::string& aPrefix,
                                          Version aAfter,
                                          std::chrono::milliseconds aWait,
                                          std::chrono::milliseconds aTimeout) = 0;

  virtual base::Result<VmList> ListVms(std::chrono::milliseconds aTimeout) = 0;
};

} // namespace jaylane::platform
