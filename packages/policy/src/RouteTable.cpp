#include "jaylane/policy/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <random>

namespace jaylane::policy {

namespace {

/// Positions of a series at which it may begin. A multiple of most periods, which are the sums of
/// the weights without their common divisor, and enough for shares of the first requests that are
/// exact to a thousandth with any weights.
constexpr std::uint64_t kStartPositions = 1000;

std::string NormalizedHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::ranges::transform(
    host, host.begin(), [](unsigned char aChar) { return static_cast<char>(std::tolower(aChar)); });
  return host;
}

/// @return number of requests after which a series repeats; 1 if it has no steps.
std::uint64_t PeriodOf(const std::vector<WeightedService>& aServices)
{
  std::uint64_t total = 0;
  std::uint64_t divisor = 0;
  for (const WeightedService& service : aServices) {
    total += service.m_weight;
    divisor = std::gcd(divisor, std::uint64_t{ service.m_weight });
  }
  return divisor == 0 ? 1 : total / divisor;
}

} // namespace

RouteTable::RouteTable(Configuration aConfiguration, std::uint64_t aSeed)
  : m_configuration(std::move(aConfiguration))
{
  if (m_configuration.m_teams) {
    m_apiKeys.emplace(m_configuration);
  }
  std::mt19937_64 random(aSeed);
  for (std::size_t i = 0; i < m_configuration.m_routes.size(); ++i) {
    const Route& route = m_configuration.m_routes[i];
    m_routesByHost[NormalizedHost(route.m_host)].push_back(i);
    m_currentWeights.emplace_back(route.m_services.size(), 0);
    const std::uint64_t position = route.m_services.size() > 1 ? random() % kStartPositions : 0;
    const std::uint64_t start = position % PeriodOf(route.m_services);
    for (std::uint64_t k = 0; k < start; ++k) {
      Advance(i);
    }
  }
}

void RouteTable::ContinueFrom(const RouteTable& aPrevious)
{
  std::unordered_map<std::string, std::unordered_map<std::string_view, std::size_t>> previous;
  for (const auto& [host, indices] : aPrevious.m_routesByHost) {
    for (const std::size_t index : indices) {
      const Route& route = aPrevious.m_configuration.m_routes[index];
      if (route.m_services.size() > 1) {
        previous[host].emplace(route.m_prefix, index);
      }
    }
  }
  for (std::size_t i = 0; i < m_configuration.m_routes.size(); ++i) {
    const Route& route = m_configuration.m_routes[i];
    if (route.m_services.size() < 2) {
      continue;
    }
    const auto host = previous.find(NormalizedHost(route.m_host));
    if (host == previous.end()) {
      continue;
    }
    const auto same = host->second.find(route.m_prefix);
    if (same != host->second.end() &&
        aPrevious.m_configuration.m_routes[same->second].m_services == route.m_services) {
      m_currentWeights[i] = aPrevious.m_currentWeights[same->second];
    }
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

std::optional<std::size_t> RouteTable::Advance(std::size_t aRoute)
{
  const std::vector<WeightedService>& services = m_configuration.m_routes[aRoute].m_services;
  std::vector<std::int64_t>& currentWeights = m_currentWeights[aRoute];
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < currentWeights.size(); ++i) {
    const std::int64_t weight = services[i].m_weight;
    currentWeights[i] += weight;
    total += weight;
    if (currentWeights[i] > currentWeights[best]) {
      best = i;
    }
  }
  if (total == 0) {
    return std::nullopt;
  }
  currentWeights[best] -= total;
  return best;
}

const Service* RouteTable::NextService(const Route& aRoute)
{
  const auto index = static_cast<std::size_t>(&aRoute - m_configuration.m_routes.data());
  const auto chosen = Advance(index);
  if (!chosen) {
    return nullptr;
  }
  const auto service = m_configuration.m_services.find(aRoute.m_services[*chosen].m_service);
  return service == m_configuration.m_services.end() ? nullptr : &service->second;
}

} // namespace jaylane::policy
