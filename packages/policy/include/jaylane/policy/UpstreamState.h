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

/// What a VM knows of one incarnation of an upstream.
struct UpstreamState
{
  std::string m_id;
  /// Hash of the incarnation in the VM list.
  std::uint64_t m_incarnation = 0;
  /// Replaced incarnations; a lagging list cannot bring them back.
  std::array<std::uint64_t, 4> m_retired{};
  base::StateId m_state{};
  /// Known from the first list: was running before this VM started, so it is not cold.
  bool m_wasRunning = false;
  /// Was reported as leaving; kept when the upstream is gone and listed again.
  bool m_left = false;
  /// Set before firing Fail: whether another ejection is allowed.
  bool m_mayEject = false;
  std::uint32_t m_slots = 1;
  std::uint32_t m_inFlight = 0;
  std::uint32_t m_reportedInFlight = 0;
  /// Consecutive.
  std::uint32_t m_failures = 0;
  std::uint32_t m_probeFailures = 0;
  std::uint32_t m_ejections = 0;
  /// Mean of recent latencies in seconds, 0 while unknown.
  double m_latency = 0;
  base::MonotonicTime m_latencyAt;
  base::MonotonicTime m_reportedAt;
  base::MonotonicTime m_enteredAt;
  std::optional<base::MonotonicTime> m_unlistedAt;
  std::optional<base::MonotonicTime> m_lastSuccess;

  UpstreamPhase Phase() const { return static_cast<UpstreamPhase>(m_state); }
};

/// @return charts/upstream.yaml with the hooks of UpstreamState.
const base::BoundChart<UpstreamState>& UpstreamChart();

/// Fires an event.
/// @return whether the state has a transition for it.
bool Fire(UpstreamState& aUpstream, UpstreamEvent aEvent, base::MonotonicTime aNow);

} // namespace jaylane::policy
