#pragma once

#include "jaylane/base/Clock.h"

#include <cstdint>
#include <string>
#include <xxhash.h>

namespace jaylane::policy {

/// Load of an upstream that some VM has read in a response. Names are hashed so that many
/// observations fit into an announcement.
struct LoadObservation
{
  /// Hash of the upstream's id; see HashUpstream().
  std::uint32_t m_upstream = 0;
  /// Hash of the affinity key that the upstream served; see HashKey(). 0 if it served none.
  std::uint16_t m_key = 0;
  std::uint16_t m_running = 0;
  std::uint16_t m_waiting = 0;
  /// Time of the response.
  base::MonotonicTime m_seenAt;

  static std::uint32_t HashUpstream(const std::string& aId)
  {
    return static_cast<std::uint32_t>(XXH64(aId.data(), aId.size(), 0));
  }
  /// @param aKey hash of the affinity key as in ServiceBalancer::Query.
  /// @return never 0.
  static std::uint16_t HashKey(std::uint64_t aKey)
  {
    const auto hash = static_cast<std::uint16_t>(aKey >> 48U);
    return hash == 0 ? 1 : hash;
  }
};

} // namespace jaylane::policy
