#pragma once

#include "jaylane/gateway/StoreDialect.h"

#include <atomic>
#include <mutex>
#include <vector>

namespace jaylane::gateway {

/// Configuration objects that the control thread has learned of and the request thread has not
/// applied yet. Thread safe.
class PendingConfigurations
{
public:
  void Add(const std::vector<StoredObject>& aObjects);

  /// To be called on the request thread, which applies the objects at once.
  /// @return the objects, in the order in which they were added.
  std::vector<StoredObject> TakeAll();

  /// @return whether all objects were taken. What the control thread did before it added others
  ///   may be relied on.
  bool IsEmpty() const { return !m_hasAny.load(); }

private:
  std::atomic<bool> m_hasAny{ false };
  std::mutex m_mutex;
  std::vector<StoredObject> m_objects;
};

} // namespace jaylane::gateway
