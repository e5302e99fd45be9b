#pragma once

#include "jaylane/gateway/WireFormat.h"

#include <charconv>

namespace jaylane::gateway {

/// @return the header names that the tests use.
inline WireFormat TestWireFormat()
{
  WireFormat wire;
  wire.m_requestId = "Request-Id";
  wire.m_affinityKey = "Affinity-Key";
  wire.m_timeout = "Timeout-Ms";
  wire.m_targetUpstream = "Target-Instance";
  wire.m_authorization = "Authorization";
  wire.m_team = "Tenant";
  wire.m_notExecuted = "Not-Executed";
  wire.m_signature = "Response-Signature";
  wire.m_load = "Server-Load";
  wire.m_leaving = "Server-Leaving";
  wire.m_limit = "Server-Limit";
  wire.m_parseApiKey = [](std::string_view aValue) -> std::optional<std::string_view> {
    constexpr std::string_view kScheme = "Bearer ";
    return aValue.starts_with(kScheme) ? std::optional{ aValue.substr(kScheme.size()) }
                                       : std::nullopt;
  };
  wire.m_parseLimit = [](std::string_view aValue) -> std::optional<double> {
    double value = 0;
    const auto parsed = std::from_chars(aValue.data(), aValue.data() + aValue.size(), value);
    return parsed.ec == std::errc{} ? std::optional{ value } : std::nullopt;
  };
  wire.m_parseLoad = [](std::string_view) -> std::optional<policy::LoadReport> {
    return std::nullopt;
  };
  return wire;
}

} // namespace jaylane::gateway
