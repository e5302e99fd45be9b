#pragma once

#include "jaylane/base/Error.h"
#include "jaylane/platform/VmList.h"
#include "jaylane/testing/LinkRelay.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jaylane::testing {

struct ZoneSpec
{
  std::string m_region;
  std::string m_zone;
};

/// The links of a deployment: one from each zone to each other one, which carries the
/// connections opened by the first, and one from each zone to the platform.
class DeploymentLinks
{
public:
  /// @param aPlatformUrl "http://<address>:<port>" of a PlatformStandIn.
  static base::Result<std::unique_ptr<DeploymentLinks>> Make(const std::vector<ZoneSpec>& aZones,
                                                             const std::string& aPlatformUrl);

  /// @param aZone, aOther different zones of the deployment.
  LinkRelay& Between(const std::string& aZone, const std::string& aOther);
  LinkRelay& ToPlatform(const std::string& aZone);

  /// @return base URL of the platform for the VMs of the zone.
  const std::string& PlatformUrl(const std::string& aZone) const;

  /// @return the list with the addresses that lead from the zone to the other ones over the
  ///   links. Administration addresses stay as they are: operators use them.
  base::Result<platform::VmList> View(const std::string& aZone, const platform::VmList& aVms);

private:
  using Pair = std::pair<std::string, std::string>;

  DeploymentLinks() = default;
  base::Status Reroute(LinkRelay& aLink, const Pair& aZones, std::string& aAddress);

  std::map<Pair, std::unique_ptr<LinkRelay>> m_between;
  std::map<std::string, std::unique_ptr<LinkRelay>> m_toPlatform;
  std::map<std::string, std::string> m_platformUrls;
  /// Address of the route for each target.
  std::map<Pair, std::map<std::string, std::string>> m_routes;
};

} // namespace jaylane::testing
