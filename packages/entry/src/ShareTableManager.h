#pragma once

#include "Directory.h"
#include "ZoneSlotPool.h"
#include "jaylane/peer/Messages.h"
#include "jaylane/platform/Store.h"
#include "jaylane/policy/DepartureTracker.h"
#include "jaylane/policy/SharePlans.h"
#include "jaylane/policy/ShareTable.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jaylane::entry {

/// Maintains the zone's share table: creates it, donates surplus units of this VM and reclaims the
/// units of VMs that no longer run. Every change is a conditional update, so concurrent VMs cannot
/// overwrite each other's changes.
class ShareTableManager
{
public:
  ShareTableManager(const VmContext& aContext,
                    platform::Store& aStore,
                    const Directory& aDirectory,
                    ZoneSlotPool& aSlotPool);

  /// @return key of the zone's object.
  const std::string& Key() const { return m_key; }

  /// Applies a table from the store or a peer; older versions and invalid texts are ignored.
  void Receive(const std::string& aText, platform::Version aVersion);

  /// @return the newest table known; empty before the first.
  peer::VersionedText CurrentText() const;

  /// Records a VM list, which shows which owners of units no longer run.
  void ObserveList(const DirectoryView& aView);

  /// Runs one maintenance round. Blocks on store calls; to be called from one thread.
  void Run();

  /// Makes this VM donate all its units from now on.
  void BeginLeave() { m_leaving = true; }

  /// @return whether this VM owns no unit, or the table is not known.
  bool HasLeft() const;

private:
  struct VersionedTable
  {
    policy::ShareTable m_table;
    platform::Version m_version = 0;
    std::string m_text;
  };

  std::optional<VersionedTable> CurrentTable() const;
  /// @return incarnations of the zone's VMs that can own units, sorted.
  std::vector<policy::VmIncarnation> RunningVms() const;
  /// @return false until a VM list has contained this VM: an older list, which may still name its
  ///   predecessor, would make it donate its units to a VM that no longer runs.
  bool MayChangeTable() const;
  void CreateTable();
  void Reclaim(const VersionedTable& aCurrent, const std::vector<std::string>& aRunning);
  /// @return false if there is nothing to donate, or the units are still in use.
  bool Donate(const VersionedTable& aCurrent, const std::vector<std::string>& aRunning);
  void Write(policy::ShareTable aTable, platform::Version aExpected, const char* aReason);
  void ReloadTable();

  const VmContext& m_context;
  platform::Store& m_store;
  const Directory& m_directory;
  ZoneSlotPool& m_slotPool;
  const std::string m_key;
  std::atomic<bool> m_leaving{ false };
  mutable std::mutex m_mutex;
  std::optional<VersionedTable> m_current;
  policy::DepartureTracker m_departures;
  bool m_wasListed = false;
  /// Units that are drained for a donation.
  std::vector<std::uint32_t> m_drainingUnits;
  std::uint64_t m_nextNonce = 1;
};

} // namespace jaylane::entry
