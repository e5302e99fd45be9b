#pragma once

#include "jaylane/ctl/AdminClient.h"

#include <string>
#include <vector>

namespace jaylane::ctl {

/// Entry VM as listed in a response to GET /v1/status.
struct VmInfo
{
  std::string m_id;
  std::string m_region;
  std::string m_zone;
  std::string m_state;
  std::string m_adminAddress;
  /// Generation that the VM last reported as in effect; 0 if it has not reported any.
  std::uint64_t m_generationInEffect = 0;
};

/// Entry VMs of a deployment: the ones that the operator names, and those that these list.
class Fleet
{
public:
  /// @param aClient must outlive this.
  /// @param aVms administration addresses, tried in order.
  Fleet(AdminClient& aClient, std::vector<std::string> aVms);

  /// Sends a read-only request to one VM after the other until one responds with a status below
  /// 500.
  /// @return that response, or else the response of the last VM.
  AdminClientResponse Query(const AdminRequest& aRequest);

  /// Sends GET as by Query().
  /// @param aPath path with query.
  AdminClientResponse Get(const std::string& aPath) { return Query({ "GET", aPath, {} }); }

  /// Asks the VMs that the operator named for the VMs that they know.
  /// @return all VMs listed, each id once; empty if no VM responds.
  std::vector<VmInfo> Discover();

  AdminClient& Client() { return m_client; }
  const std::vector<std::string>& Vms() const { return m_vms; }

private:
  AdminClient& m_client;
  const std::vector<std::string> m_vms;
};

} // namespace jaylane::ctl
