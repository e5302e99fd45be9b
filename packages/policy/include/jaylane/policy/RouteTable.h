#pragma once

#include "jaylane/policy/Fleet.h"

#include <string_view>

namespace jaylane::policy {

/// Finds the route of a request and the service that a split assigns to it.
/// Load pattern: steady traffic over a weighted split, also while a part rejects requests.
class RouteTable
{
public:
  /// @param aConfiguration kept as a copy.
  explicit RouteTable(Configuration aConfiguration);

  const Configuration& Config() const { return m_configuration; }

  /// @param aHost Host header; a port and the case are ignored.
  /// @param aTarget request target; the query is ignored.
  /// @return the route with the longest prefix of the host, or null.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

  /// Assigns the next request of a route to a service by smooth weighted round robin, so that
  /// shares are exact over short spans too.
  /// @return null if the route has no service.
  const Service* NextService(const Route& aRoute);

private:
  Configuration m_configuration;
  std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
  /// Current weights by route, in the order of Route::m_services.
  std::vector<std::vector<std::int64_t>> m_credits;
};

} // namespace jaylane::policy
