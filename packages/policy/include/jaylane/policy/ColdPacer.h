#pragma once

#include "jaylane/base/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jaylane::policy {

/// This VM's part of the request rate that a cold upstream tolerates from all VMs.
/// Load pattern: a zone of upstreams returns cold while every VM has queued demand.
///
/// The tolerated rate is split in advance: a request to a cold upstream needs one of `limit`
/// tickets a second, and each ticket belongs to exactly one VM. The bound therefore holds for
/// VMs that cannot reach each other or the store.
class ColdPacer
{
public:
  /// @param aPerSecond requests in any second that the upstream tolerates in all.
  /// @param aVms number of VMs that may send, those out of reach included.
  /// @param aRank position of this VM for this upstream among them.
  /// @return shortest time between two requests of this VM, or zero if it may send none.
  static std::chrono::milliseconds Spacing(double aPerSecond,
                                           std::uint32_t aVms,
                                           std::uint32_t aRank);

  /// Asks for a request to a cold upstream.
  /// @param aUpstream id of the incarnation.
  /// @param aSpacing from Spacing().
  /// @return whether it may be sent; it is then counted.
  bool TryTake(std::string_view aUpstream,
               std::chrono::milliseconds aSpacing,
               base::MonotonicTime aNow);

  /// @return whether TryTake() would succeed.
  bool MayTake(const std::string& aUpstream,
               std::chrono::milliseconds aSpacing,
               base::MonotonicTime aNow) const;

private:
  std::unordered_map<std::string, base::MonotonicTime> m_lastSent;
};

} // namespace jaylane::policy
