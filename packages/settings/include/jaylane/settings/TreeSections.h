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
  /// Zone names are unique over all regions.
  std::vector<std::string> m_zones;
};

struct Service
{
  std::string m_name;
  /// Applies to methods other than GET and HEAD when a request does not say.
  bool m_idempotentByDefault = false;
  /// Requests carry large bodies and use the bulk part of link budgets.
  bool m_bulk = false;
};

/// One direction of the connection between two regions.
struct Link
{
  std::string m_from;
  std::string m_to;
  std::uint32_t m_rateMbitPerSecond = 0;
  std::chrono::microseconds m_oneWayDelay{ 0 };
};

/// IPv4 prefix in host byte order.
struct Ipv4Prefix
{
  std::uint32_t m_address = 0;
  std::uint8_t m_length = 0;

  /// @param aText "a.b.c.d/length" without host bits.
  /// @return the prefix, or nothing if the text is malformed.
  static std::optional<Ipv4Prefix> Parse(std::string_view aText);

  std::string ToString() const;

  /// @return whether the prefixes share an address.
  bool Overlaps(const Ipv4Prefix& aOther) const;

  bool operator==(const Ipv4Prefix&) const = default;
};

struct ClientBlock
{
  Ipv4Prefix m_prefix;
  std::string m_region;
};

/// Legal rule: from m_effectiveAt on, callers of the origin region may be served only by the
/// allowed regions.
struct Law
{
  std::string m_id;
  /// Empty for all services.
  std::string m_service;
  std::string m_originRegion;
  std::vector<std::string> m_allowedRegions;
  /// Regions whose entry VMs may forward the request; nothing means that any may.
  std::optional<std::vector<std::string>> m_transitRegions;
  base::WallTime m_effectiveAt;
  /// The operator confirms that callers of the origin region may be left without a region.
  bool m_confirmNoRegion = false;
};

enum class DrainScope
{
  Site,
  Region,
  Upstream,
};

struct Drain
{
  DrainScope m_scope = DrainScope::Site;
  /// "<region>/<zone>", region name or upstream id.
  std::string m_target;
  base::WallTime m_since;
};

/// @param aText ISO 8601 UTC time, "2026-12-04T05:20:00Z".
/// @return the time, or nothing if the text is malformed.
std::optional<base::WallTime> ParseTime(std::string_view aText);

/// @return ISO 8601 UTC time with seconds.
std::string FormatTime(base::WallTime aTime);

} // namespace jaylane::settings
