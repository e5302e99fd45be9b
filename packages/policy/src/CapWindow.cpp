#include "CapWindow.h"

#include <algorithm>

namespace jaylane::policy {

using std::chrono::milliseconds;

namespace {

/// The table stores whole milliseconds. Rounds up, because a later time counts a move for longer.
base::WallTime CeilToMillis(base::WallTime aTime)
{
  return base::WallTime{ std::chrono::ceil<milliseconds>(aTime.time_since_epoch()) };
}

} // namespace

CapWindow::CapWindow(const SteeringTable& aTable,
                     const LoadShares& aShares,
                     base::WallTime aSeenAt,
                     milliseconds aWindow,
                     base::WallTime aNow)
  : m_window(aWindow)
  , m_now(CeilToMillis(aNow))
  , m_from(m_now - aWindow)
  , m_historyFrom(aTable.HistoryFrom())
{
  const auto seenAt = CeilToMillis(aSeenAt);
  for (auto move : aTable.Moves()) {
    if (move.m_generation == aTable.Generation()) {
      move.m_at = std::max(move.m_at, seenAt);
    }
    if (move.m_at <= m_from) {
      continue;
    }
    const auto share = std::max(move.m_share, aShares.Share(move.m_parts));
    m_used += share;
    m_usedByRecovery += move.m_recovery ? share : 0;
    m_moves.push_back(std::move(move));
  }
}

base::WallTime CapWindow::LastMoveAt() const
{
  return m_moves.empty() ? base::WallTime::min() : m_moves.back().m_at;
}

base::WallTime CapWindow::NextReleaseAt() const
{
  if (!IsComplete()) {
    return m_historyFrom + m_window;
  }
  return m_moves.empty() ? m_now : m_moves.front().m_at + m_window;
}

void CapWindow::Append(MoveRecord aMove)
{
  aMove.m_at = std::max(LastMoveAt(), m_now);
  m_moves.push_back(std::move(aMove));
}

void CapWindow::StoreIn(SteeringTable& aTable) const
{
  aTable.SetMoves(m_moves, std::max(m_historyFrom, m_from));
}

} // namespace jaylane::policy
