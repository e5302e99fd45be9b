#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace jaylane::policy {

/// Availability zones whose upstreams must get no requests.
/// Load pattern: the store returns from an older copy that lacks an evacuation in force.
///
/// An evacuation that only the list after such a return lacks stays in force for a while, in which
/// the operator can write it again. Not thread safe.
class EvacuatedZones
{
public:
  struct Options
  {
    /// Time after a return for which evacuations that the copy lacks stay in force. It is longer
    /// than upstreams need to register again: a zone that is left unused for too long costs less
    /// than requests to one that is evacuated.
    std::chrono::milliseconds m_hold{ 5000 };
  };

  explicit EvacuatedZones(Options aOptions)
    : m_options(aOptions)
  {
  }

  /// Applies a complete list of the evacuated zones.
  void Replace(const std::set<std::string>& aZones, base::MonotonicTime aNow);

  /// The operator evacuates a zone, or takes that back.
  void Put(const std::string& aZone) { m_zones[aZone] = std::nullopt; }
  void Remove(const std::string& aZone) { m_zones.erase(aZone); }

  /// The store has returned from an older copy.
  void OnStoreRestored(base::MonotonicTime aNow) { m_restoredAt = aNow; }

  /// Ends evacuations that were held for long enough.
  /// @return whether there were any.
  bool RemoveExpired(base::MonotonicTime aNow);

  std::set<std::string> Zones() const;

private:
  const Options m_options;
  std::optional<base::MonotonicTime> m_restoredAt;
  /// The evacuated zones, and until when those stay evacuated that the store lacks.
  std::map<std::string, std::optional<base::MonotonicTime>> m_zones;
};

} // namespace jaylane::policy
