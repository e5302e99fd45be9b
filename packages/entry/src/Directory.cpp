#include "Directory.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace jaylane::entry {

namespace {

base::SocketAddress ParseOrNone(const std::string& aText)
{
  const auto address = base::SocketAddress::Parse(aText);
  return address ? *address : base::SocketAddress{};
}

EntryVmRef ToEntryVm(const platform::VmEntry& aVm)
{
  EntryVmRef vm{ aVm.m_id,
                 aVm.m_incarnation,
                 { aVm.m_region, aVm.m_zone },
                 ParseOrNone(aVm.m_address),
                 ParseOrNone(aVm.m_peerAddress),
                 aVm.m_state == platform::VmState::Leaving,
                 aVm.m_adminAddress,
                 {} };
  vm.m_lookupJson = fmt::format(R"({{"id":"{}","address":"{}","region":"{}","zone":"{}"}})",
                                vm.m_id,
                                vm.m_address.ToString(),
                                vm.m_site.m_region,
                                vm.m_site.m_zone);
  return vm;
}

UpstreamRef ToUpstream(const platform::VmEntry& aVm)
{
  return { aVm.m_id,
           aVm.m_incarnation,
           aVm.m_service,
           { aVm.m_region, aVm.m_zone },
           ParseOrNone(aVm.m_address),
           aVm.m_slots,
           aVm.m_state == platform::VmState::Leaving };
}

} // namespace

const EntryVmRef* DirectoryView::FindIncarnation(const std::string& aIncarnation) const
{
  const auto found = std::find_if(m_entryVms.begin(), m_entryVms.end(), [&](const EntryVmRef& aVm) {
    return aVm.m_incarnation == aIncarnation;
  });
  return found == m_entryVms.end() ? nullptr : &*found;
}

std::uint32_t DirectoryView::Capacity(const std::string& aService,
                                      const policy::SiteId& aSite) const
{
  std::uint32_t slots = 0;
  for (const UpstreamRef& upstream : m_upstreams) {
    if (upstream.m_service == aService && upstream.m_site == aSite && !upstream.m_leaving) {
      slots += upstream.m_slots;
    }
  }
  return slots;
}

Directory::Directory(const VmContext& aContext)
  : m_context(aContext)
  , m_current(std::make_shared<DirectoryView>())
{
}

void Directory::Apply(const platform::VmList& aList, base::MonotonicTime aRequestedAt)
{
  auto view = std::make_shared<DirectoryView>();
  view->m_requestedAt = aRequestedAt;
  for (const platform::VmEntry& vm : aList.m_vms) {
    if (ParseOrNone(vm.m_address).m_port == 0) {
      Json::Value fields;
      fields["vm"] = vm.m_id;
      m_context.m_log.Warning("VM list entry has no valid address; ignored", fields);
    } else if (vm.m_role == platform::VmRole::Entry) {
      view->m_entryVms.push_back(ToEntryVm(vm));
    } else {
      view->m_upstreams.push_back(ToUpstream(vm));
    }
  }
  for (std::size_t i = 0; i < view->m_entryVms.size(); ++i) {
    view->m_vmsBySite[view->m_entryVms[i].m_site].push_back(i);
  }
  std::lock_guard lock(m_mutex);
  m_current = std::move(view);
}

std::shared_ptr<const DirectoryView> Directory::Current() const
{
  std::lock_guard lock(m_mutex);
  return m_current;
}

void Directory::SetStates(VmStates aStates)
{
  std::lock_guard lock(m_mutex);
  m_states = std::move(aStates);
}

bool Directory::IsUsable(const EntryVmRef& aVm) const
{
  if (aVm.m_leaving) {
    return false;
  }
  std::lock_guard lock(m_mutex);
  return m_states.m_unusable.count(aVm.m_incarnation) == 0;
}

bool Directory::MayReceiveUnits(const EntryVmRef& aVm) const
{
  if (!IsUsable(aVm)) {
    return false;
  }
  std::lock_guard lock(m_mutex);
  return m_states.m_heard.count(aVm.m_incarnation) > 0;
}

bool Directory::IsReady(const EntryVmRef& aVm) const
{
  if (!IsUsable(aVm)) {
    return false;
  }
  std::lock_guard lock(m_mutex);
  return m_states.m_ready.count(aVm.m_incarnation) > 0;
}

bool Directory::HasVm(const policy::SiteId& aSite, VmFilter aFilter) const
{
  const auto view = Current();
  const auto found = view->m_vmsBySite.find(aSite);
  if (found == view->m_vmsBySite.end()) {
    return false;
  }
  return std::any_of(found->second.begin(), found->second.end(), [&](std::size_t aIndex) {
    return (this->*aFilter)(view->m_entryVms[aIndex]);
  });
}

bool Directory::IsSiteUsable(const policy::SiteId& aSite) const
{
  return HasVm(aSite, &Directory::IsUsable);
}

bool Directory::IsSiteReady(const policy::SiteId& aSite) const
{
  return HasVm(aSite, &Directory::IsReady);
}

} // namespace jaylane::entry
