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

/// An entry VM of the platform's list.
struct EntryVmRef
{
  std::string m_id;
  std::string m_incarnation;
  policy::SiteId m_site;
  base::SocketAddress m_address;
  base::SocketAddress m_peerAddress;
  bool m_leaving = false;
  /// As listed; only operators use it.
  std::string m_adminAddress;
  /// The VM as an object of a lookup response; rendered once a list instead of once a lookup.
  std::string m_lookupJson;
};

/// An upstream of the platform's list.
struct UpstreamRef
{
  std::string m_id;
  std::string m_incarnation;
  std::string m_service;
  policy::SiteId m_site;
  base::SocketAddress m_address;
  std::uint32_t m_slots = 0;
  bool m_leaving = false;
};

/// One VM list with indices. Immutable.
struct DirectoryView
{
  std::vector<EntryVmRef> m_entryVms;
  std::vector<UpstreamRef> m_upstreams;
  /// Positions in m_entryVms.
  std::map<policy::SiteId, std::vector<std::size_t>> m_vmsBySite;
  /// Before the list was requested.
  base::MonotonicTime m_requestedAt;

  /// @return the VM, or nullptr.
  const EntryVmRef* FindIncarnation(const std::string& aIncarnation) const;

  /// @return slots of a service's upstreams at a site that are not leaving.
  std::uint32_t Capacity(const std::string& aService, const policy::SiteId& aSite) const;
};

/// The last VM list received, and which VMs this VM could not reach. Thread safe.
class Directory
{
public:
  explicit Directory(const VmContext& aContext);

  /// @param aList platform's list; entries with malformed addresses are logged and dropped.
  /// @param aRequestedAt time before the request.
  void Apply(const platform::VmList& aList, base::MonotonicTime aRequestedAt);

  /// @return the last list; empty before the first.
  std::shared_ptr<const DirectoryView> Current() const;

  /// Marks VMs as unreachable or reachable, as seen by membership.
  void SetUnreachable(std::set<std::string> aIncarnations);

  /// @return whether the VM can be expected to serve requests.
  bool IsUsable(const EntryVmRef& aVm) const;

  /// @return whether the site has a usable entry VM.
  bool IsSiteUsable(const policy::SiteId& aSite) const;

private:
  const VmContext& m_context;
  mutable std::mutex m_mutex;
  std::shared_ptr<const DirectoryView> m_current;
  std::set<std::string> m_unreachable;
};

} // namespace jaylane::entry
