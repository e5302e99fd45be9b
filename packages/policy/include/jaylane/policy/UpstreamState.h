#pragma once

#include "jaylane/base/BoundChart.h"
#include "jaylane/base/Clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace jaylane::policy {

/// States of charts/upstream.yaml, in the order of the file.
enum class UpstreamPhase : std::uint8_t
{
  Joining,
  Warming,
  Active,
  Suspect,
  Leaving,
  Gone,
};

/// Events of charts/upstream.yaml, in the order of the file.
enum class UpstreamEvent : std::uint8_t
{
  Ready,
  Warmed,
  Fail,
  Recover,
  Leave,
  Vanish,
  List,
};

/// State of one incarnation of an upstream as seen by this VM.
struct UpstreamState
{
  std::string m_id;
  /// Hash of the incarnation in the VM list.
  std::uint64_t m_incarnation = 0;
  /// Hashes of the incarnations that this one replaced, latest first. They are ignored in lists,
  /// so that a lagging list cannot bring them back.
  std::array<std::uint64_t, 4> m_replacedIncarnations{};
  base::StateId m_state{};
  /// Whether the upstream was in the first VM list. It was then running before this VM started
  /// and needs no slow start.
  bool m_wasRunning = false;
  /// Whether the upstream was ever reported as leaving. Kept when it is gone and listed again.
  bool m_hasLeft = false;
  /// Whether the limit on ejections allows one more; set before firing UpstreamEvent::Fail.
  bool m_mayEject = false;
  std::uint32_t m_slots = 1;
  /// Requests of this VM in flight.
  std::uint32_t m_inFlight = 0;
  /// Requests in flight according to the upstream's last load report.
  std::uint32_t m_reportedInFlight = 0;
  /// Consecutive failures of requests of this VM.
  std::uint32_t m_failures = 0;
  /// Consecutive failed probes.
  std::uint32_t m_probeFailures = 0;
  /// Ejections so far; reset after UpstreamSelectorOptions::m_maxEjectionTime in the active phase.
  std::uint32_t m_ejections = 0;
  /// Mean of recent latencies in seconds; 0 if there are none.
  double m_latency = 0;
  base::MonotonicTime m_latencyUpdatedAt;
  base::MonotonicTime m_reportedAt;
  /// When the current phase was entered.
  base::MonotonicTime m_enteredAt;
  /// Since when the upstream has been missing from the VM list.
  std::optional<base::MonotonicTime> m_unlistedAt;
  std::optional<base::MonotonicTime> m_lastSuccess;

  UpstreamPhase Phase() const { return static_cast<UpstreamPhase>(m_state); }
};

/// @return the state chart of charts/upstream.yaml, bound to the guards and actions of
///         UpstreamState.
const base::BoundChart<UpstreamState>& UpstreamChart();

/// Fires an event of the state chart.
/// @return whether the current state has a transition for it.
bool Fire(UpstreamState& aUpstream, UpstreamEvent aEvent, base::MonotonicTime aNow);

} // namespace jaylane::policy
