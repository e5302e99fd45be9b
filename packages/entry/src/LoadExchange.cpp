#include "LoadExchange.h"

#include "jaylane/platform/PlatformError.h"

#include <algorithm>
#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
constexpr const char* kPrefix = "load/";

} // namespace

LoadExchange::LoadExchange(const VmContext& aContext,
                           platform::Store& aStore,
                           const Directory& aDirectory,
                           LoadMeter& aMeter,
                           std::function<std::vector<std::string>()> aZoneReports)
  : m_context(aContext)
  , m_store(aStore)
  , m_directory(aDirectory)
  , m_meter(aMeter)
  , m_zoneReports(std::move(aZoneReports))
  , m_key(kPrefix + aContext.m_site.m_zone)
{
}

bool LoadExchange::IsPublisher() const
{
  const auto view = m_directory.Current();
  const auto found = view->m_vmsBySite.find(m_context.m_site);
  if (found == view->m_vmsBySite.end()) {
    return false;
  }
  return std::none_of(found->second.begin(), found->second.end(), [&](std::size_t aIndex) {
    const EntryVmRef& vm = view->m_entryVms[aIndex];
    return m_directory.IsUsable(vm) && vm.m_incarnation < m_context.m_incarnationText;
  });
}

void LoadExchange::Publish()
{
  if (!IsPublisher()) {
    return;
  }
  LoadReport sum = m_meter.Report();
  for (const std::string& text : m_zoneReports()) {
    const auto report = LoadReport::Parse(text);
    if (report) {
      sum.Add(*report);
    }
  }
  const auto version = m_store.Put(m_key, sum.ToText(), m_ownVersion, kCallTimeout);
  if (version) {
    m_ownVersion = *version;
    return;
  }
  // Another VM has written the object, or a response was lost: continue from the stored version.
  const auto object = m_store.Get(m_key, kCallTimeout);
  m_ownVersion = object ? object->m_version : platform::kAbsent;
}

void LoadExchange::Refresh()
{
  const auto batch = m_store.Watch(kPrefix, m_after, std::chrono::milliseconds{ 0 }, kCallTimeout);
  if (!batch) {
    return;
  }
  m_after = batch->m_revision;
  std::lock_guard lock(m_mutex);
  for (const platform::ObjectChange& change : batch->m_changes) {
    auto report = LoadReport::Parse(change.m_object.m_value);
    if (report) {
      m_zones[change.m_object.m_key] = std::move(*report);
    }
  }
}

std::optional<LoadReport> LoadExchange::Total() const
{
  std::lock_guard lock(m_mutex);
  if (m_zones.empty()) {
    return std::nullopt;
  }
  LoadReport total;
  for (const auto& [zone, report] : m_zones) {
    total.Add(report);
  }
  return total;
}

} // namespace jaylane::entry
