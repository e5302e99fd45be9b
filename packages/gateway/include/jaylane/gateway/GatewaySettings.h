#pragma once

#include "jaylane/base/Error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::gateway {

/// Settings of one gateway process. docs/gateway-settings.md has the key table.
struct GatewaySettings
{
  std::string m_name;
  std::string m_zone;
  std::string m_region;
  /// Region of each zone.
  std::map<std::string, std::string> m_zones;
  /// "ip:port" to listen on; empty: not served.
  std::string m_callerAddress;
  std::string m_readyAddress;
  std::string m_lookupAddress;
  std::string m_metricsAddress;
  std::string m_peerAddress;
  /// Addresses of peers that may be asked for others; may be out of date.
  std::vector<std::string> m_seeds;
  std::string m_storeAddress;

  std::uint32_t m_maxDescriptors = 1024;
  /// Bytes of request and response bodies that are held at the same time; half of the memory.
  std::uint64_t m_bodyMemoryBytes = 128ULL << 20;
  /// Time between the stop signal and the end of the process.
  std::chrono::milliseconds m_stopGrace{ 6000 };
  std::chrono::milliseconds m_lookupLifetime{ 1000 };
  /// Time that an upstream goes on serving after it announced that it leaves.
  std::chrono::milliseconds m_drainTime{ 1800 };
  /// Bound on retries of a service by all VMs: a share of its requests and a constant, in a window.
  double m_retryShare = 0.2;
  std::uint32_t m_retrySlack = 60;
  std::chrono::milliseconds m_retryWindow{ 10000 };
  /// Bound on requests to a cold upstream: a factor on its rate, and a constant a second.
  double m_coldFactor = 1.5;
  double m_coldSlack = 5;

  /// @param aText YAML.
  /// @return the settings, or InvalidSettings with the key that is wrong.
  static base::Result<GatewaySettings> Parse(std::string_view aText);
};

} // namespace jaylane::gateway
