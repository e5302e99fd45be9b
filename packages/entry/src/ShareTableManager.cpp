#include "ShareTableManager.h"

#include "jaylane/base/JsonText.h"
#include "jaylane/platform/PlatformError.h"
#include "jaylane/policy/SlotError.h"

#include <algorithm>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
// Upper bound on the age of the platform's VM list, with a margin.
constexpr std::chrono::seconds kVmListLag{ 3 };

} // namespace

ShareTableManager::ShareTableManager(const VmContext& aContext,
                                     platform::Store& aStore,
                                     const Directory& aDirectory,
                                     ZoneSlotPool& aSlotPool)
  : m_context(aContext)
  , m_store(aStore)
  , m_directory(aDirectory)
  , m_slotPool(aSlotPool)
  , m_key("shares/" + aContext.m_site.m_zone)
  , m_departures(kVmListLag)
{
}

std::optional<ShareTableManager::VersionedTable> ShareTableManager::CurrentTable() const
{
  std::lock_guard lock(m_mutex);
  return m_current;
}

void ShareTableManager::Receive(const std::string& aText, platform::Version aVersion)
{
  const auto json = base::ParseJson(aText);
  auto table = json ? policy::ShareTable::FromJson(*json)
                    : base::Result<policy::ShareTable>(policy::SlotErrc::InvalidShareTable);
  if (!table) {
    m_context.m_log.Error("share table is invalid; keeping the current one");
    return;
  }
  const auto now = m_context.m_clock.Monotonic();
  std::lock_guard lock(m_mutex);
  if (m_current && m_current->m_version >= aVersion) {
    return;
  }
  m_slotPool.WithLock(
    [&](policy::SlotPool& aPool) { return aPool.ApplyTable(*table, aVersion, now); });
  m_departures.ObserveTable(*table, now);
  m_current = VersionedTable{ std::move(*table), aVersion, aText };
}

peer::VersionedText ShareTableManager::CurrentText() const
{
  const auto current = CurrentTable();
  return current ? peer::VersionedText{ current->m_version, current->m_text }
                 : peer::VersionedText{};
}

void ShareTableManager::ObserveList(const DirectoryView& aView)
{
  std::vector<policy::VmIncarnation> listed;
  for (const EntryVmRef& vm : aView.m_entryVms) {
    listed.push_back(vm.m_incarnation);
  }
  std::lock_guard lock(m_mutex);
  m_wasListed =
    m_wasListed || std::ranges::find(listed, m_context.m_incarnationText) != listed.end();
  m_departures.ObserveList(listed, aView.m_requestedAt);
}

std::vector<policy::VmIncarnation> ShareTableManager::RunningVms() const
{
  std::vector<policy::VmIncarnation> running;
  // A range-based for would not extend the lifetime of the pointer returned by Current().
  const auto view = m_directory.Current();
  for (const EntryVmRef& vm : view->m_entryVms) {
    const bool isSelf = vm.m_incarnation == m_context.m_incarnationText;
    // Peers announce that they leave before the platform's list shows it. Units donated to a
    // leaving VM would be out of use until they are reclaimed.
    const bool stays = isSelf ? !m_leaving && !vm.m_leaving : m_directory.MayReceiveUnits(vm);
    if (vm.m_site == m_context.m_site && stays) {
      running.push_back(vm.m_incarnation);
    }
  }
  std::sort(running.begin(), running.end());
  return running;
}

void ShareTableManager::Run()
{
  const auto running = RunningVms();
  const auto current = CurrentTable();
  if (running.empty() || !MayChangeTable()) {
    return;
  }
  if (!current) {
    CreateTable();
    return;
  }
  if (const auto grown = policy::PlanGrowth(current->m_table, running)) {
    Write(*grown, current->m_version, "growth");
    return;
  }
  if (!Donate(*current, running)) {
    Reclaim(*current, running);
  }
}

bool ShareTableManager::MayChangeTable() const
{
  std::lock_guard lock(m_mutex);
  return m_wasListed || m_leaving;
}

void ShareTableManager::CreateTable()
{
  const auto existing = m_store.Get(m_key, kCallTimeout);
  if (existing) {
    Receive(existing->m_value, existing->m_version);
    return;
  }
  if (existing.GetError().m_code != platform::PlatformErrc::NotFound || m_leaving) {
    return;
  }
  const auto table = policy::MakeInitialShareTable(m_context.m_incarnationText,
                                                   std::max<std::size_t>(1, RunningVms().size()));
  if (table) {
    Write(*table, platform::kAbsent, "created");
  }
}

void ShareTableManager::Reclaim(const VersionedTable& aCurrent,
                                const std::vector<std::string>& aRunning)
{
  std::vector<policy::VmIncarnation> gone;
  {
    std::lock_guard lock(m_mutex);
    gone = m_departures.DepartedOwners();
  }
  const auto table = policy::PlanReclaim(aCurrent.m_table, aCurrent.m_version, gone, aRunning);
  if (table) {
    Write(*table, aCurrent.m_version, "reclaimed");
  }
}

bool ShareTableManager::Donate(const VersionedTable& aCurrent,
                               const std::vector<std::string>& aRunning)
{
  const auto now = m_context.m_clock.Monotonic();
  const auto donation =
    policy::PlanDonation(aCurrent.m_table, m_context.m_incarnationText, aRunning);
  const auto units = donation ? donation->Units() : std::vector<std::uint32_t>();
  const bool ready = m_slotPool.WithLock([&](policy::SlotPool& aPool) {
    if (units != m_drainingUnits) {
      aPool.CancelDrain(m_drainingUnits);
      aPool.BeginDrain(units);
      m_drainingUnits = units;
    }
    return !units.empty() && aPool.IsDrained(units, now) &&
           aPool.BeginDonation(units, aCurrent.m_version, now);
  });
  if (!ready) {
    return false;
  }
  auto table = policy::ApplyDonation(aCurrent.m_table, *donation);
  if (table) {
    Write(std::move(*table), aCurrent.m_version, "donated");
  }
  return true;
}

void ShareTableManager::Write(policy::ShareTable aTable,
                              platform::Version aExpected,
                              const char* aReason)
{
  aTable.Stamp(m_context.m_incarnationText, std::to_string(m_nextNonce++));
  const std::string text = base::WriteJson(aTable.ToJson());
  const auto version = m_store.Put(m_key, text, aExpected, kCallTimeout);
  if (!version) {
    // The write was rejected or lost, or only its response was lost: the stored table shows which.
    ReloadTable();
    return;
  }
  Receive(text, *version);
  Json::Value fields;
  fields["reason"] = aReason;
  fields["units"] = static_cast<Json::UInt>(aTable.UnitsOf(m_context.m_incarnationText).size());
  m_context.m_events.Record("shares-written", fields);
}

void ShareTableManager::ReloadTable()
{
  const auto object = m_store.Get(m_key, kCallTimeout);
  if (object) {
    Receive(object->m_value, object->m_version);
  }
}

bool ShareTableManager::HasLeft() const
{
  const auto current = CurrentTable();
  return !current || current->m_table.UnitsOf(m_context.m_incarnationText).empty();
}

} // namespace jaylane::entry
