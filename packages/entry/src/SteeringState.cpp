#include "SteeringState.h"

#include "jaylane/policy/CatchUp.h"

#include <utility>

namespace jaylane::entry {

SteeringState::SteeringState(const VmContext& aContext)
  : m_context(aContext)
  , m_wallAtStart(aContext.m_clock.Wall())
  , m_monotonicAtStart(aContext.m_clock.Monotonic())
{
}

base::WallTime SteeringState::SteadyWall() const
{
  const auto elapsed = m_context.m_clock.Monotonic() - m_monotonicAtStart;
  return m_wallAtStart + std::chrono::duration_cast<base::WallTime::duration>(elapsed);
}

void SteeringState::RecordApplied(const std::string& aService,
                                  const policy::SteeringTable& aTable) const
{
  Json::Value fields;
  fields["service"] = aService;
  fields["generation"] = Json::UInt64(aTable.Generation());
  if (!aTable.Moves().empty()) {
    fields["moved_share"] = aTable.Moves().back().m_share;
  }
  m_context.m_events.Record("table-applied", fields);
}

void SteeringState::Receive(const std::string& aService,
                            const std::string& aText,
                            std::uint64_t aVersion)
{
  auto table = policy::SteeringTable::FromJson(aText);
  if (!table) {
    Json::Value fields;
    fields["service"] = aService;
    fields["error"] = table.GetError().Message();
    m_context.m_log.Error("steering table from the store is invalid; keeping the current one",
                          fields);
    return;
  }
  std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[aService];
  if (entry.m_newest && entry.m_newest->m_version >= aVersion) {
    return;
  }
  if (!entry.m_applied) {
    entry.m_applied =
      std::make_shared<const policy::SteeringTable>(policy::MakeInitialAppliedTable(*table));
    RecordApplied(aService, *table);
  }
  entry.m_newest = StoredTable{ std::move(*table), aVersion, m_context.m_clock.Wall() };
}

void SteeringState::CatchUp(const std::string& aService, const policy::PlanInput& aInput)
{
  std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(aService);
  if (found == m_entries.end() || !found->second.m_newest) {
    return;
  }
  Entry& entry = found->second;
  if (entry.m_applied->Generation() == entry.m_newest->m_table.Generation()) {
    return;
  }
  auto next = policy::CatchUp(*entry.m_applied, entry.m_newest->m_table, aInput, SteadyWall());
  if (!next) {
    Json::Value fields;
    fields["service"] = aService;
    fields["error"] = next.GetError().Message();
    m_context.m_log.Warning("cannot step toward the newest steering table", fields);
    return;
  }
  const bool changed =
    next->Generation() != entry.m_applied->Generation() || !next->SameAssignment(*entry.m_applied);
  if (changed) {
    RecordApplied(aService, *next);
  }
  entry.m_applied = std::make_shared<const policy::SteeringTable>(std::move(*next));
}

std::shared_ptr<const policy::SteeringTable> SteeringState::Applied(std::string_view aService) const
{
  std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(aService);
  return found == m_entries.end() ? nullptr : found->second.m_applied;
}

std::optional<StoredTable> SteeringState::Newest(const std::string& aService) const
{
  std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(aService);
  return found == m_entries.end() ? std::nullopt : found->second.m_newest;
}

} // namespace jaylane::entry
