#pragma once

#include "VmContext.h"
#include "jaylane/base/SocketAddress.h"
#include "jaylane/platform/VmList.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace jaylane::entry {

/// An entry VM in the platform's list.
struct EntryVmRef
{
  std::string m_id;
  std::string m_incarnation;
  policy::SiteId m_site;
  base::SocketAddress m_address;
  base::SocketAddress m_peerAddress;
  bool m_leaving = false;
  /// As listed; only reported to operators.
  std::string m_adminAddress;
  /// The VM as a JSON object of a lookup response, formatted once per list instead of per lookup.
  std::string m_lookupJson;
};

/// An upstream in the platform's list.
struct UpstreamRef
{
  std::string m_id;
  std::string m_incarnation;
  std::string m_service;
  policy::SiteId m_site;
  base::SocketAddress m_address;
  /// Requests that it can execute at the same time.
  std::uint32_t m_slots = 0;
  bool m_leaving = false;
};

/// One VM list, indexed by site. Immutable.
struct DirectoryView
{
  std::vector<EntryVmRef> m_entryVms;
  std::vector<UpstreamRef> m_upstreams;
  /// Indices into m_entryVms.
  std::map<policy::SiteId, std::vector<std::size_t>> m_vmsBySite;
  /// Time just before the list was requested.
  base::MonotonicTime m_requestedAt;

  /// @return the VM, or nullptr.
  const EntryVmRef* FindIncarnation(const std::string& aIncarnation) const;

  /// @return slots of a service's upstreams at a site that are not leaving.
  std::uint32_t Capacity(const std::string& aService, const policy::SiteId& aSite) const;
};

/// What membership knows about the listed entry VMs, by incarnation.
struct VmStates
{
  /// VMs that are unreachable or have announced that they leave.
  std::set<std::string> m_unusable;
  /// VMs whose heartbeat has been received, including this VM.
  std::set<std::string> m_heard;
  /// VMs that may use share units, and those that membership does not track.
  std::set<std::string> m_ready;
};

/// The last VM list received, and which of its VMs can be used. Thread safe.
class Directory
{
public:
  /// Selects VMs by their state, such as IsReady().
  using VmFilter = bool (Directory::*)(const EntryVmRef&) const;

  explicit Directory(const VmContext& aContext);

  /// Replaces the list.
  /// @param aList the platform's list; entries with malformed addresses are logged and dropped.
  /// @param aRequestedAt time just before the list was requested.
  void Apply(const platform::VmList& aList, base::MonotonicTime aRequestedAt);

  /// @return the last list; empty before the first.
  std::shared_ptr<const DirectoryView> Current() const;

  /// Replaces the states of the VMs.
  void SetStates(VmStates aStates);

  /// @return whether the VM is neither leaving nor unreachable.
  bool IsUsable(const EntryVmRef& aVm) const;

  /// @return whether share units may be donated to the VM: it is usable and known to run. The list
  ///   may still name an incarnation that has ended.
  bool MayReceiveUnits(const EntryVmRef& aVm) const;

  /// @return whether the VM can run requests: it is usable and may use share units.
  bool IsReady(const EntryVmRef& aVm) const;

  /// @return whether the site has a usable entry VM.
  bool IsSiteUsable(const policy::SiteId& aSite) const;

  /// @return whether the site has an entry VM that can run requests.
  bool IsSiteReady(const policy::SiteId& aSite) const;

private:
  /// @return whether a VM of the site is in the state that the filter selects.
  bool HasVm(const policy::SiteId& aSite, VmFilter aFilter) const;

  const VmContext& m_context;
  mutable std::mutex m_mutex;
  std::shared_ptr<const DirectoryView> m_current;
  VmStates m_states;
};

} // namespace jaylane::entry
