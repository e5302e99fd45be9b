#include "PendingConfigurations.h"

#include <utility>

namespace jaylane::gateway {

void PendingConfigurations::Add(const std::vector<StoredObject>& aObjects)
{
  const std::scoped_lock lock(m_mutex);
  m_objects.insert(m_objects.end(), aObjects.begin(), aObjects.end());
  m_hasAny = !m_objects.empty();
}

std::vector<StoredObject> PendingConfigurations::TakeAll()
{
  if (IsEmpty()) {
    return {};
  }
  const std::scoped_lock lock(m_mutex);
  m_hasAny = false;
  return std::exchange(m_objects, {});
}

} // namespace jaylane::gateway
