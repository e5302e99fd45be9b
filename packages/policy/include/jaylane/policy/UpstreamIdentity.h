#pragma once

#include "jaylane/policy/Fleet.h"

#include <cstdint>
#include <string>

namespace jaylane::policy {

/// What tells an incarnation of an upstream, and where it runs, from all others. An upstream may
/// start again under its id, and an address may be passed on to another upstream.
/// Load pattern: while a connection to an upstream is established or kept, its id is registered
/// again elsewhere.
struct UpstreamIdentity
{
  /// @return the identity that a registry entry states.
  static UpstreamIdentity Of(const Upstream& aEntry);

  /// @return whether two entries state the same identity. Spares the copies of Of(), as it is asked
  ///         for each request.
  static bool IsSame(const Upstream& aFirst, const Upstream& aSecond);

  std::string m_id;
  std::string m_service;
  std::string m_address;
  std::string m_zone;
  std::string m_region;
  /// Upstream::m_startedAtMs.
  std::int64_t m_startedAtMs = 0;

  bool operator==(const UpstreamIdentity&) const = default;
};

} // namespace jaylane::policy
