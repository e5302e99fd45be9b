#pragma once

#include <chrono>
#include <cstdint>

namespace jaylane::policy {

/// Divides the request rate that a cold upstream tolerates among the VMs in advance, so that the
/// bound also holds for VMs that cannot reach each other or the store.
/// Load pattern: the upstreams of a zone come back cold while every VM has demand for them.
/// @param aPerSecond requests that the upstream tolerates within any second, from all VMs.
/// @param aVms number of VMs that may send requests, including unreachable ones.
/// @param aRank position of this VM among them for this upstream, from 0.
/// @return shortest time between two requests of this VM, or zero if it may send none.
std::chrono::milliseconds ColdRequestInterval(double aPerSecond,
                                              std::uint32_t aVms,
                                              std::uint32_t aRank);

} // namespace jaylane::policy
