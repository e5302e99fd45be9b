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

/// The network links of a deployment: one for each ordered pair of zones, which carries the
/// connections that the first zone opens to the second, and one from each zone to the platform.
class DeploymentLinks
{
public:
  /// @param aPlatformUrl URL "http://<address>:<port>" of a PlatformStandIn.
  static base::Result<std::unique_ptr<DeploymentLinks>> Make(const std::vector<ZoneSpec>& aZones,
                                                             const std::string& aPlatformUrl);

  /// @param aZone, aOther different zones of the deployment.
  LinkRelay& Between(const std::string& aZone, const std::string& aOther);
  LinkRelay& ToPlatform(const std::string& aZone);

  /// @return base URL that the VMs of the zone use for the platform: its link and its view.
  const std::string& PlatformUrl(const std::string& aZone) const;

  /// @return the VM list as the zone sees it: caller and peer addresses of other zones are replaced
  ///   by addresses of the links. Administration addresses stay direct, since operators use them.
  base::Result<platform::VmList> View(const std::string& aZone, const platform::VmList& aVms);

private:
  using ZonePair = std::pair<std::string, std::string>;

  DeploymentLinks() = default;
  /// Replaces an address by that of a route over the link; adds the route if needed.
  base::Status RouteOverLink(LinkRelay& aLink, const ZonePair& aZones, std::string& aAddress);

  std::map<ZonePair, std::unique_ptr<LinkRelay>> m_betweenZones;
  std::map<std::string, std::unique_ptr<LinkRelay>> m_toPlatform;
  std::map<std::string, std::string> m_platformUrls;
  /// Address of the route to each target address, by pair of zones.
  std::map<ZonePair, std::map<std::string, std::string>> m_routeAddresses;
};

} // namespace jaylane::testing
