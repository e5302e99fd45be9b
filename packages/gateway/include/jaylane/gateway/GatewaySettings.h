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
  /// Addresses to listen on as "ip:port"; an empty one is not served.
  std::string m_callerAddress;
  std::string m_readyAddress;
  std::string m_lookupAddress;
  std::string m_metricsAddress;
  std::string m_peerAddress;
  /// Addresses of peers that are contacted after the start; some may be out of date.
  std::vector<std::string> m_seeds;
  std::string m_storeAddress;

  /// Processor cores of this VM; 0 if unknown.
  double m_cores = 0;
  std::uint32_t m_maxDescriptors = 1024;
  /// Bytes of request and response bodies that are buffered at the same time; half of the memory of
  /// the process.
  std::uint64_t m_bodyMemoryBytes = 128ULL << 20;
  /// Longest time between the stop signal and the end of the process.
  std::chrono::milliseconds m_stopGrace{ 6000 };
  /// Time for which callers may use the response to a lookup.
  std::chrono::milliseconds m_lookupLifetime{ 1000 };
  /// Time for which an upstream keeps serving after it announced that it is draining.
  std::chrono::milliseconds m_drainTime{ 1800 };
  /// Time between two signs of life of an upstream in the store, which removes its entry after
  /// three that it has missed.
  std::chrono::milliseconds m_heartbeat{ 1500 };
  /// Time within which a change of the configuration must be in force.
  std::chrono::milliseconds m_configurationTime{ 2500 };
  /// Limit on the retries of a service by all VMs within a window: a share of its requests in the
  /// window, plus a constant.
  double m_retryShare = 0.2;
  double m_retrySlack = 60;
  std::chrono::milliseconds m_retryWindow{ 10000 };
  /// Limit on requests per second to a cold upstream: a factor on the rate that its service is
  /// configured with, plus a constant.
  double m_coldFactor = 1.5;
  double m_coldSlack = 5;

  /// @param aText YAML.
  /// @return the settings, or InvalidSettings with the key that is missing or invalid.
  static base::Result<GatewaySettings> Parse(std::string_view aText);
};

} // namespace jaylane::gateway
