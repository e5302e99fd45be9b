#include "jaylane/testing/DeploymentLinks.h"

namespace jaylane::testing {

namespace {

constexpr const char* kBindAddress = "127.0.0.1";
const std::string kScheme = "http://";

} // namespace

base::Result<std::unique_ptr<DeploymentLinks>> DeploymentLinks::Make(
  const std::vector<ZoneSpec>& aZones,
  const std::string& aPlatformUrl)
{
  std::unique_ptr<DeploymentLinks> links(new DeploymentLinks());
  for (const ZoneSpec& zone : aZones) {
    auto toPlatform = LinkRelay::Make(kBindAddress);
    if (!toPlatform) {
      return toPlatform.GetError();
    }
    const auto route = (*toPlatform)->AddRoute(aPlatformUrl.substr(kScheme.size()));
    if (!route) {
      return route.GetError();
    }
    links->m_toPlatform[zone.m_zone] = std::move(*toPlatform);
    links->m_platformUrls[zone.m_zone] = kScheme + *route + "/as/" + zone.m_zone;
    for (const ZoneSpec& other : aZones) {
      if (other.m_zone == zone.m_zone) {
        continue;
      }
      auto link = LinkRelay::Make(kBindAddress);
      if (!link) {
        return link.GetError();
      }
      links->m_betweenZones[{ zone.m_zone, other.m_zone }] = std::move(*link);
    }
  }
  return links;
}

LinkRelay& DeploymentLinks::Between(const std::string& aZone, const std::string& aOther)
{
  return *m_betweenZones.at({ aZone, aOther });
}

LinkRelay& DeploymentLinks::ToPlatform(const std::string& aZone)
{
  return *m_toPlatform.at(aZone);
}

const std::string& DeploymentLinks::PlatformUrl(const std::string& aZone) const
{
  return m_platformUrls.at(aZone);
}

base::Status DeploymentLinks::RouteOverLink(LinkRelay& aLink,
                                            const ZonePair& aZones,
                                            std::string& aAddress)
{
  if (aAddress.empty()) {
    return base::Success{};
  }
  std::string& route = m_routeAddresses[aZones][aAddress];
  if (route.empty()) {
    auto added = aLink.AddRoute(aAddress);
    if (!added) {
      return added.GetError();
    }
    route = std::move(*added);
  }
  aAddress = route;
  return base::Success{};
}

base::Result<platform::VmList> DeploymentLinks::View(const std::string& aZone,
                                                     const platform::VmList& aVms)
{
  platform::VmList view = aVms;
  for (platform::VmEntry& vm : view.m_vms) {
    if (vm.m_zone == aZone) {
      continue;
    }
    const ZonePair zones{ aZone, vm.m_zone };
    LinkRelay& link = Between(aZone, vm.m_zone);
    for (std::string* address : { &vm.m_address, &vm.m_peerAddress }) {
      if (auto status = RouteOverLink(link, zones, *address); !status) {
        return status.GetError();
      }
    }
  }
  return view;
}

} // namespace jaylane::testing
