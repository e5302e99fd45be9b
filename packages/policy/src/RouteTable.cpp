#include "jaylane/policy/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace jaylane::policy {

namespace {

std::string NormalizedHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::ranges::transform(
    host, host.begin(), [](unsigned char aChar) { return static_cast<char>(std::tolower(aChar)); });
  return host;
}

} // namespace

RouteTable::RouteTable(Configuration aConfiguration, std::uint64_t /*aSeed*/)
  : m_configuration(std::move(aConfiguration))
{
  for (std::size_t i = 0; i < m_configuration.m_routes.size(); ++i) {
    const Route& route = m_configuration.m_routes[i];
    m_routesByHost[NormalizedHost(route.m_host)].push_back(i);
    m_currentWeights.emplace_back(route.m_services.size(), 0);
  }
}

const Route* RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto routes = m_routesByHost.find(NormalizedHost(aHost));
  if (routes == m_routesByHost.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  const Route* best = nullptr;
  for (const std::size_t index : routes->second) {
    const Route& route = m_configuration.m_routes[index];
    if (path.starts_with(route.m_prefix) &&
        (!best || route.m_prefix.size() > best->m_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Service* RouteTable::NextService(const Route& aRoute)
{
  const auto index = static_cast<std::size_t>(&aRoute - m_configuration.m_routes.data());
  std::vector<std::int64_t>& currentWeights = m_currentWeights.at(index);
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < currentWeights.size(); ++i) {
    const std::int64_t weight = aRoute.m_services[i].m_weight;
    currentWeights[i] += weight;
    total += weight;
    if (currentWeights[i] > currentWeights[best]) {
      best = i;
    }
  }
  if (currentWeights.empty() || total == 0) {
    return nullptr;
  }
  currentWeights[best] -= total;
  const auto service = m_configuration.m_services.find(aRoute.m_services[best].m_service);
  return service == m_configuration.m_services.end() ? nullptr : &service->second;
}

} // namespace jaylane::policy
