#pragma once

#include "jaylane/policy/ServiceBalancer.h"

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jaylane::gateway {

/// Header names and formats of the gateway's HTTP interfaces, supplied by the platform adapter.
struct WireFormat
{
  /// Names of request headers.
  std::string m_requestId;
  std::string m_affinityKey;
  /// Header with the time limit of the request in milliseconds.
  std::string m_timeout;
  /// Header with the id of the only upstream that may run the request.
  std::string m_targetUpstream;
  /// Header with the caller's API key, and header that tells upstreams the name of its team.
  std::string m_authorization;
  std::string m_team;

  /// Names of response headers: the upstream did not run the request, its signature, its load.
  std::string m_notExecuted;
  std::string m_signature;
  std::string m_load;
  /// Header that an upstream which leaves adds to all its responses.
  std::string m_leaving;
  /// Header with the requests per second that an upstream takes from all VMs together.
  std::string m_limit;

  /// Parses the value of the authorization header.
  /// @return the API key, a part of aValue; nothing if the value is malformed.
  std::optional<std::string_view> (*m_parseApiKey)(std::string_view aValue) = nullptr;
  /// Parses the value of the load header.
  std::optional<policy::LoadReport> (*m_parseLoad)(std::string_view aValue) = nullptr;
  /// Parses the value of the limit header.
  std::optional<double> (*m_parseLimit)(std::string_view aValue) = nullptr;
  /// Formats the response to a lookup.
  std::string (*m_formatLookup)(const std::vector<std::string>& aAddresses,
                                std::chrono::milliseconds aLifetime) = nullptr;
  struct CallerLocation
  {
    std::string m_zone;
    std::string m_region;
  };
  /// Extracts the caller's zone and region from the request target of a lookup.
  CallerLocation (*m_parseLookup)(std::string_view aTarget) = nullptr;

  /// A health response of an upstream that accepts requests.
  struct Health
  {
    /// Id of the upstream that responded.
    std::string m_upstream;
    std::chrono::milliseconds m_coldRemaining{ 0 };
  };
  /// Parses a response to a health probe.
  /// @return nothing if the upstream does not accept requests.
  std::optional<Health> (*m_parseHealth)(unsigned aStatus,
                                         const boost::beast::http::fields& aFields) = nullptr;
};

} // namespace jaylane::gateway
