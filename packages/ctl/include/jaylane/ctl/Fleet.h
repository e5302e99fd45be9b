#pragma once

#include "jaylane/ctl/AdminClient.h"

#include <string>
#include <vector>

namespace jaylane::ctl {

/// An entry VM as listed by GET /v1/status.
struct VmInfo
{
  std::string m_id;
  std::string m_region;
  std::string m_zone;
  std::string m_state;
  std::string m_adminAddress;
  /// Generation heard from the VM; 0 if none was.
  std::uint64_t m_generationInEffect = 0;
};

/// The VMs that an operator named, and those that they know of.
class Fleet
{
public:
  /// @param aClient must outlive this.
  /// @param aVms addresses to try, in order.
  Fleet(AdminClient& aClient, std::vector<std::string> aVms);

  /// Sends a request without effects to one VM after the other until one answers usefully.
  /// @return the first reply below status 500, or the last one.
  AdminReply Ask(const AdminRequest& aRequest);

  /// @return reply of GET on a path.
  AdminReply Get(const std::string& aPath) { return Ask({ "GET", aPath, {} }); }

  /// @return all VMs that any answering VM lists; empty if none answers.
  std::vector<VmInfo> Discover();

  AdminClient& Client() { return m_client; }
  const std::vector<std::string>& Vms() const { return m_vms; }

private:
  AdminClient& m_client;
  const std::vector<std::string> m_vms;
};

} // namespace jaylane::ctl
