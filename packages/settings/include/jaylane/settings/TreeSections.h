#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaylane::settings {

struct Region
{
  std::string m_name;
  /// Names of its availability zones. A zone name belongs to one region only.
  std::vector<std::string> m_zones;
};

struct Service
{
  std::string m_name;
  /// Whether requests with methods other than GET and HEAD are idempotent unless a request states
  /// otherwise.
  bool m_idempotentByDefault = false;
  /// Whether its requests carry large bodies; these use the bulk part of a link's rate.
  bool m_bulk = false;
};

/// Network link between two regions, in one direction.
struct Link
{
  std::string m_from;
  std::string m_to;
  std::uint32_t m_rateMbitPerSecond = 0;
  std::chrono::microseconds m_oneWayDelay{ 0 };
};

/// IPv4 address prefix.
struct Ipv4Prefix
{
  /// Network address in host byte order.
  std::uint32_t m_address = 0;
  /// Number of bits, 0 to 32.
  std::uint8_t m_length = 0;

  /// @param aText "a.b.c.d/length" in which all host bits are zero.
  /// @return the prefix, or nullopt if the text is malformed.
  static std::optional<Ipv4Prefix> Parse(std::string_view aText);

  /// @return the form that Parse() reads.
  std::string ToString() const;

  /// @return whether any address has both prefixes.
  bool Overlaps(const Ipv4Prefix& aOther) const;

  bool operator==(const Ipv4Prefix&) const = default;
};

/// Assigns an origin region to the callers of an address block.
struct ClientBlock
{
  Ipv4Prefix m_prefix;
  std::string m_region;
};

/// Legal rule: from m_effectiveAt on, requests of callers in the origin region may be served only
/// in the allowed regions.
struct Law
{
  std::string m_id;
  /// Service that the rule applies to; empty for all services.
  std::string m_service;
  std::string m_originRegion;
  std::vector<std::string> m_allowedRegions;
  /// Regions whose entry VMs may forward the requests; nullopt permits all regions.
  std::optional<std::vector<std::string>> m_transitRegions;
  base::WallTime m_effectiveAt;
  /// Suppresses the warning that callers of the origin region have no allowed region left.
  bool m_confirmNoRegion = false;
};

/// What a drain takes out of service.
enum class DrainScope
{
  /// One availability zone of a region.
  Site,
  Region,
  Upstream,
};

/// Site, region or upstream that an operator has taken out of service.
struct Drain
{
  DrainScope m_scope = DrainScope::Site;
  /// "<region>/<zone>", region name or upstream id, depending on the scope.
  std::string m_target;
  /// Time at which the operator requested the drain.
  base::WallTime m_since;
};

/// @param aText ISO 8601 time in UTC, such as "2026-12-04T05:20:00Z".
/// @return the time, or nullopt if the text is malformed.
std::optional<base::WallTime> ParseTime(std::string_view aText);

/// @return the time in the form that ParseTime() reads; fractions of a second are dropped.
std::string FormatTime(base::WallTime aTime);

} // namespace jaylane::settings
