#pragma once

#include "LoadShares.h"
#include "jaylane/policy/SteeringTable.h"

#include <chrono>
#include <vector>

namespace jaylane::policy {

/// Moves of a table within the current window, and the part of the cap that they use up.
class CapWindow
{
public:
  /// @param aSeenAt when this VM first saw the table. Moves of the table's own generation count
  ///   from then, if that is later than their recorded time.
  /// @param aWindow length, including the allowance for clock differences.
  CapWindow(const SteeringTable& aTable,
            const LoadShares& aShares,
            base::WallTime aSeenAt,
            std::chrono::milliseconds aWindow,
            base::WallTime aNow);

  /// @return whether no move of the window is missing. After the window has been made longer, the
  ///   table lacks moves that were dropped under the shorter one.
  bool IsComplete() const { return m_historyFrom <= m_from; }

  /// Share moved within the window. Each move counts with the higher of its share when planned
  /// and now: a bucket may have become hot after it moved.
  double Used() const { return m_used; }
  double UsedByRecovery() const { return m_usedByRecovery; }

  /// @return time of the newest move, or the lowest time if there is none.
  base::WallTime LastMoveAt() const;

  /// @return when the next move leaves the window or the window becomes complete.
  base::WallTime NextReleaseAt() const;

  /// Adds a move at the present time. Does not change Used().
  void Append(MoveRecord aMove);

  /// Stores the window in the table.
  void StoreIn(SteeringTable& aTable) const;

  const std::vector<MoveRecord>& Moves() const { return m_moves; }

private:
  std::chrono::milliseconds m_window;
  base::WallTime m_now;
  base::WallTime m_from;
  base::WallTime m_historyFrom;
  std::vector<MoveRecord> m_moves;
  double m_used = 0;
  double m_usedByRecovery = 0;
};

} // namespace jaylane::policy
