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

/// Brings measured load to the planners: one VM of each zone sums the reports of its zone and
/// writes them to the object load/<zone>; VMs that plan read all zones. The number of writes
/// grows with the zones and not with the VMs.
class LoadExchange
{
public:
  /// @param aZoneReports returns the reports of the other VMs of this zone, as texts.
  LoadExchange(const VmContext& aContext,
               platform::Store& aStore,
               const Directory& aDirectory,
               LoadMeter& aMeter,
               std::function<std::vector<std::string>()> aZoneReports);

  /// Writes the zone's load if that is this VM's duty. Calls the store.
  void Publish();

  /// Reads what other zones wrote. Calls the store.
  void Refresh();

  /// @return the load of all zones as last read, or nothing if none is known.
  std::optional<LoadReport> Total() const;

private:
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
