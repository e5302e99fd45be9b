#pragma once

#include "jaylane/policy/ServiceBalancer.h"

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jaylane::gateway {

/// Names and formats of the HTTP interfaces around the gateway, supplied by the platform adapter.
struct WireFormat
{
  /// Headers of requests.
  std::string m_requestId;
  std::string m_affinityKey;
  /// Milliseconds that the sender will wait.
  std::string m_timeout;
  /// Id of the only upstream that may run the request.
  std::string m_targetUpstream;

  /// Headers of responses.
  std::string m_notExecuted;
  std::string m_signature;
  std::string m_load;

  /// Parses the value of the load header.
  std::optional<policy::LoadReport> (*m_parseLoad)(std::string_view aValue) = nullptr;
  /// Formats the response to a lookup.
  std::string (*m_formatLookup)(const std::vector<std::string>& aAddresses,
                                std::chrono::milliseconds aLifetime) = nullptr;
  /// Extracts the caller's zone and region from the query of a lookup.
  struct CallerLocation
  {
    std::string m_zone;
    std::string m_region;
  };
  CallerLocation (*m_parseLookup)(std::string_view aTarget) = nullptr;

  /// A health response of an upstream that accepts requests.
  struct Health
  {
    std::string m_upstream;
    std::chrono::milliseconds m_coldRemaining{ 0 };
  };
  /// @return nothing unless the upstream is healthy.
  std::optional<Health> (*m_parseHealth)(unsigned aStatus,
                                         const boost::beast::http::fields& aFields) = nullptr;
};

} // namespace jaylane::gateway
