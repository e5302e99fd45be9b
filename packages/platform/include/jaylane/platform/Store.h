#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/platform/PlatformError.h"
#include "jaylane/platform/VmList.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jaylane::platform {

using Version = std::uint64_t;

/// Expected version of an object that must not exist yet.
inline constexpr Version kAbsent = 0;

/// Largest value the platform accepts.
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
  /// Pass as `aAfter` of the next watch.
  Version m_revision = 0;
  std::vector<ObjectChange> m_changes;
};

/// The platform's object store and VM list. All calls block up to their timeout and may
/// be made from any thread. Values are UTF-8 text.
class Store
{
public:
  virtual ~Store() = default;

  virtual base::Result<StoreObject> Get(const std::string& aKey,
                                        std::chrono::milliseconds aTimeout) = 0;

  /// @param aExpected current version; kAbsent to create the object.
  /// @return the new version. Timeout means that the write may have taken effect;
  ///   every other error means that it did not.
  virtual base::Result<Version> Put(const std::string& aKey,
                                    const std::string& aValue,
                                    Version aExpected,
                                    std::chrono::milliseconds aTimeout) = 0;

  /// @param aExpected current version.
  /// @return errors as Put().
  virtual base::Status Delete(const std::string& aKey,
                              Version aExpected,
                              std::chrono::milliseconds aTimeout) = 0;

  virtual base::Result<ObjectListing> List(const std::string& aPrefix,
                                           std::chrono::milliseconds aTimeout) = 0;

  /// Waits for objects changed after a revision; after 0 all objects count as changed.
  /// @param aWait longest wait at the store.
  /// @param aTimeout as in the other calls, in addition to aWait.
  /// @return the changes, or none after the wait.
  virtual base::Result<ChangeBatch> Watch(const std::string& aPrefix,
                                          Version aAfter,
                                          std::chrono::milliseconds aWait,
                                          std::chrono::milliseconds aTimeout) = 0;

  virtual base::Result<VmList> ListVms(std::chrono::milliseconds aTimeout) = 0;
};

} // namespace jaylane::platform
