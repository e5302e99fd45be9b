#pragma once

#include "VmContext.h"
#include "jaylane/policy/ShiftPlanner.h"
#include "jaylane/policy/SteeringTable.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jaylane::entry {

/// A steering table as read from the store.
struct StoredTable
{
  policy::SteeringTable m_table;
  std::uint64_t m_version = 0;
  /// When this VM received it.
  base::WallTime m_seenAt;
};

/// Steering tables by service: the newest in the store and the one that this VM applies.
/// Thread safe.
class SteeringState
{
public:
  explicit SteeringState(const VmContext& aContext);

  /// Records a table from the store; invalid ones are logged and ignored.
  /// @param aService from the object's key.
  /// @param aText value of the object table/<service>.
  /// @param aVersion version of the object; lower ones are ignored.
  void Receive(const std::string& aService, const std::string& aText, std::uint64_t aVersion);

  /// Moves the applied table toward the newest, as far as the shift cap allows.
  /// @param aInput the planner's input for the service.
  void CatchUp(const std::string& aService, const policy::PlanInput& aInput);

  /// @return the table in use, or nullptr.
  std::shared_ptr<const policy::SteeringTable> Applied(std::string_view aService) const;

  /// @return the newest table, or nothing.
  std::optional<StoredTable> Newest(const std::string& aService) const;

private:
  struct Entry
  {
    std::optional<StoredTable> m_newest;
    std::shared_ptr<const policy::SteeringTable> m_applied;
  };

  void RecordApplied(const std::string& aService, const policy::SteeringTable& aTable) const;

  /// @return wall time at the start plus the monotonic time since. The shift cap is counted by it,
  ///   because a forward jump of the wall clock would free the part of the cap that is used.
  base::WallTime SteadyWall() const;

  const VmContext& m_context;
  const base::WallTime m_wallAtStart;
  const base::MonotonicTime m_monotonicAtStart;
  mutable std::mutex m_mutex;
  std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace jaylane::entry
