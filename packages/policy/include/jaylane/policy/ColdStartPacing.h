#pragma once

#include <chrono>
#include <cstdint>

namespace jaylane::policy {

/// Splits the request rate that a cold upstream tolerates among the VMs in advance, so that the
/// bound holds for VMs that cannot reach each other or the store.
/// Load pattern: a zone of upstreams returns cold while every VM has demand for it.
/// @param aPerSecond requests in any second that the upstream tolerates in all.
/// @param aVms number of VMs that may send, those out of reach included.
/// @param aRank position of this VM among them for this upstream, from 0.
/// @return shortest time between two requests of this VM, or zero if it may send none.
std::chrono::milliseconds ColdRequestInterval(double aPerSecond,
                                              std::uint32_t aVms,
                                              std::uint32_t aRank);

} // namespace jaylane::policy
