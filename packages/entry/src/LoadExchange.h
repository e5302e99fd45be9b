#pragma once

#include "Directory.h"
#include "LoadMeter.h"
#include "VmContext.h"
#include "jaylane/platform/Store.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jaylane::entry {

/// Distributes measured load to the VMs that plan shifts. One VM of each zone writes the sum of the
/// zone's reports to the object load/<zone>, and planners read the objects of all zones. The number
/// of writes grows with the number of zones, not of VMs.
class LoadExchange
{
public:
  /// @param aZoneReports returns the reports of the other VMs of this zone, as JSON texts.
  LoadExchange(const VmContext& aContext,
               platform::Store& aStore,
               const Directory& aDirectory,
               LoadMeter& aMeter,
               std::function<std::vector<std::string>()> aZoneReports);

  /// Writes the zone's load if this VM is the one to do so. Blocks on store calls.
  void Publish();

  /// Reads the loads of all zones. Blocks on a store call.
  void Refresh();

  /// @return the sum of the loads last read, or nothing if none is known.
  std::optional<LoadReport> Total() const;

private:
  /// @return whether this VM has the lowest incarnation of the zone's usable VMs.
  bool IsPublisher() const;

  const VmContext& m_context;
  platform::Store& m_store;
  const Directory& m_directory;
  LoadMeter& m_meter;
  const std::function<std::vector<std::string>()> m_zoneReports;
  const std::string m_key;
  platform::Version m_ownVersion = platform::kAbsent;
  platform::Version m_after = 0;
  mutable std::mutex m_mutex;
  std::map<std::string, LoadReport> m_zones;
};

} // namespace jaylane::entry
