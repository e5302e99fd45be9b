#pragma once

#include "jaylane/policy/ApiKeyTable.h"
#include "jaylane/policy/Fleet.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace jaylane::policy {

/// Finds the route of a request and, by the weights of the route, the service to send it to.
/// Load pattern: steady traffic over a weighted split, also while some services reject requests.
/// Not thread safe.
class RouteTable
{
public:
  /// @param aSeed selects where the series of NextService() begin. It should differ between VMs and
  ///   between configurations, so that their first requests together follow the weights.
  RouteTable(Configuration aConfiguration, std::uint64_t aSeed);
  RouteTable(RouteTable&&) = default;
  RouteTable& operator=(RouteTable&&) = default;

  /// Continues the series of the routes whose services and weights are those of another table. With
  /// frequent changes of the configuration, series that begin anew would follow the weights less
  /// exactly.
  void ContinueFrom(const RouteTable& aPrevious);

  const Configuration& Config() const { return m_configuration; }

  /// @param aNext table of the version that has replaced this one. Requests that keep this table
  ///   find the versions after it from here, also those that were active for a moment only.
  void SetNext(std::shared_ptr<const RouteTable> aNext) { m_next = std::move(aNext); }
  /// @return table of the next version; null if this one is active.
  const std::shared_ptr<const RouteTable>& Next() const { return m_next; }

  /// @return the API keys of the teams; null if the configuration has no teams.
  const ApiKeyTable* ApiKeys() const { return m_apiKeys ? &*m_apiKeys : nullptr; }

  /// @param aHost value of the Host header; its port and case are ignored.
  /// @param aTarget request target; its query is ignored.
  /// @return the route of the host with the longest matching path prefix, or null.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

  /// Assigns the next request of a route to a service by smooth weighted round robin, so that the
  /// shares are exact even over a short series of requests.
  /// @param aRoute a route of this table.
  /// @return null if the service does not exist or no service has a weight above 0.
  const Service* NextService(const Route& aRoute);

private:
  /// Makes the choice for the next request of a route.
  /// @return index of the service; nothing if no service has a weight above 0.
  std::optional<std::size_t> Advance(std::size_t aRoute);

  Configuration m_configuration;
  std::shared_ptr<const RouteTable> m_next;
  /// Refers to the teams of m_configuration, which moves keep in place and copies would not.
  std::optional<ApiKeyTable> m_apiKeys;
  std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
  /// Current weights of smooth weighted round robin by route, in the order of Route::m_services.
  std::vector<std::vector<std::int64_t>> m_currentWeights;
};

} // namespace jaylane::policy
