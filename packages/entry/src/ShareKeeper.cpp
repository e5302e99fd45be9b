#include "ShareKeeper.h"

#include "jaylane/base/JsonText.h"
#include "jaylane/platform/PlatformError.h"
#include "jaylane/policy/SlotError.h"

#include <algorithm>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
// Greatest age of the platform's VM list, with a margin.
constexpr std::chrono::seconds kVmListLag{ 3 };

} // namespace

ShareKeeper::ShareKeeper(const VmContext& aContext,
                         platform::Store& aStore,
                         const Directory& aDirectory,
                         ZoneSlots& aSlots)
  : m_context(aContext)
  , m_store(aStore)
  , m_directory(aDirectory)
  , m_slots(aSlots)
  , m_key("shares/" + aContext.m_site.m_zone)
  , m_departures(kVmListLag)
{
}

std::optional<ShareKeeper::Known> ShareKeeper::Snapshot() const
{
  std::lock_guard lock(m_mutex);
  return m_known;
}

void ShareKeeper::Receive(const std::string& aText, platform::Version aVersion)
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
  if (m_known && m_known->m_version >= aVersion) {
    return;
  }
  m_slots.With([&](policy::SlotPool& aPool) { return aPool.ApplyTable(*table, aVersion, now); });
  m_departures.ObserveTable(*table, now);
  m_known = Known{ std::move(*table), aVersion, aText };
}

peer::VersionedText ShareKeeper::CurrentText() const
{
  const auto known = Snapshot();
  return known ? peer::VersionedText{ known->m_version, known->m_text } : peer::VersionedText{};
}

void ShareKeeper::ObserveList(const DirectoryView& aView)
{
  std::vector<policy::VmIncarnation> listed;
  for (const EntryVmRef& vm : aView.m_entryVms) {
    listed.push_back(vm.m_incarnation);
  }
  std::lock_guard lock(m_mutex);
  m_departures.ObserveList(listed, aView.m_requestedAt);
}

std::vector<policy::VmIncarnation> ShareKeeper::RunningVms() const
{
  std::vector<policy::VmIncarnation> running;
  // Holds the view: a range-for does not extend the life of a temporary within its expression.
  const auto view = m_directory.Current();
  for (const EntryVmRef& vm : view->m_entryVms) {
    const bool isSelf = vm.m_incarnation == m_context.m_incarnationText;
    // A VM that leaves is known from peers before the platform's list shows it; units given to it
    // then would be lost until they are reclaimed.
    const bool stays = isSelf ? !m_leaving && !vm.m_leaving : m_directory.IsUsable(vm);
    if (vm.m_site == m_context.m_site && stays) {
      running.push_back(vm.m_incarnation);
    }
  }
  std::sort(running.begin(), running.end());
  return running;
}

void ShareKeeper::Run()
{
  const auto running = RunningVms();
  const auto known = Snapshot();
  if (running.empty()) {
    return;
  }
  if (!known) {
    CreateTable();
    return;
  }
  if (const auto grown = policy::PlanGrowth(known->m_table, running)) {
    Write(*grown, known->m_version, "growth");
    return;
  }
  if (!Donate(*known, running)) {
    Reclaim(*known, running);
  }
}

void ShareKeeper::CreateTable()
{
  const auto existing = m_store.Get(m_key, kCallTimeout);
  if (existing) {
    Receive(existing->m_value, existing->m_version);
    return;
  }
  if (existing.GetError().m_code != platform::PlatformErrc::NotFound || m_leaving) {
    return;
  }
  const auto table =
    policy::MakeInitial(m_context.m_incarnationText, std::max<std::size_t>(1, RunningVms().size()));
  if (table) {
    Write(*table, platform::kAbsent, "created");
  }
}

void ShareKeeper::Reclaim(const Known& aKnown, const std::vector<std::string>& aRunning)
{
  std::vector<policy::VmIncarnation> gone;
  {
    std::lock_guard lock(m_mutex);
    gone = m_departures.DepartedOwners();
  }
  const auto table = policy::PlanReclaim(aKnown.m_table, aKnown.m_version, gone, aRunning);
  if (table) {
    Write(*table, aKnown.m_version, "reclaimed");
  }
}

bool ShareKeeper::Donate(const Known& aKnown, const std::vector<std::string>& aRunning)
{
  const auto now = m_context.m_clock.Monotonic();
  const auto donation = policy::PlanDonation(aKnown.m_table, m_context.m_incarnationText, aRunning);
  const auto units = donation ? donation->Units() : std::vector<std::uint32_t>();
  const bool ready = m_slots.With([&](policy::SlotPool& aPool) {
    if (units != m_draining) {
      aPool.CancelDrain(m_draining);
      aPool.BeginDrain(units);
      m_draining = units;
    }
    return !units.empty() && aPool.IsDrained(units, now) &&
           aPool.BeginWrite(units, aKnown.m_version, now);
  });
  if (!ready) {
    return false;
  }
  auto table = policy::ApplyDonation(aKnown.m_table, *donation);
  if (table) {
    Write(std::move(*table), aKnown.m_version, "donated");
  }
  return true;
}

void ShareKeeper::Write(policy::ShareTable aTable, platform::Version aExpected, const char* aReason)
{
  aTable.Stamp(m_context.m_incarnationText, std::to_string(m_nextNonce++));
  const std::string text = base::WriteJson(aTable.ToJson());
  const auto version = m_store.Put(m_key, text, aExpected, kCallTimeout);
  if (!version) {
    // Whether the write was lost, refused or only its response was lost, the store tells.
    ReadBack();
    return;
  }
  Receive(text, *version);
  Json::Value fields;
  fields["reason"] = aReason;
  fields["units"] = static_cast<Json::UInt>(aTable.UnitsOf(m_context.m_incarnationText).size());
  m_context.m_events.Record("shares-written", fields);
}

void ShareKeeper::ReadBack()
{
  const auto object = m_store.Get(m_key, kCallTimeout);
  if (object) {
    Receive(object->m_value, object->m_version);
  }
}

bool ShareKeeper::HasLeft() const
{
  const auto known = Snapshot();
  return !known || known->m_table.UnitsOf(m_context.m_incarnationText).empty();
}

} // namespace jaylane::entry
