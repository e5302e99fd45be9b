#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace jaylane::policy {

/// Decides whether the host at the other end of a connection is dead, or alive while its process
/// pauses in reading. In both cases sent bytes stay unacknowledged, but the kernel of a live host
/// answers retransmissions and window probes.
/// Load pattern: uploads to upstreams that read a body as they process it, and responses to callers
/// that read slowly, beside hosts that fail without a reset. Not thread safe.
class PeerLiveness
{
public:
  struct Options
  {
    /// Time without an acknowledgement after which the host counts as dead.
    std::chrono::milliseconds m_silenceLimit{ 2000 };
    /// Retransmissions or window probes that must have been left unanswered as well, so that the
    /// loss of one of them does not count as silence.
    std::uint32_t m_minUnanswered = 3;
    /// Longest time that one observation adds to the silence. If this process or its VM was
    /// suspended, the peer's acknowledgements of that time may not have been processed yet.
    std::chrono::milliseconds m_maxStep{ 1000 };
  };

  /// What the kernel knows about the connection.
  struct Observation
  {
    /// Segments that were sent and not acknowledged.
    std::uint32_t m_unackedSegments = 0;
    /// Retransmissions or window probes in a row. An acknowledgement that takes no data does not
    /// set the number of retransmissions back.
    std::uint32_t m_unanswered = 0;
    /// Time since the last acknowledgement.
    std::chrono::milliseconds m_sinceLastAck{ 0 };
  };

  explicit PeerLiveness(Options aOptions)
    : m_options(aOptions)
  {
  }

  /// Takes the next observation. The time to the decision is exact to one interval between
  /// observations.
  /// @return whether the host is dead.
  bool IsDead(const Observation& aObservation, base::MonotonicTime aNow);

private:
  Options m_options;
  /// Time of the last observation.
  std::optional<base::MonotonicTime> m_observedAt;
  /// How long the peer has left segments or probes unanswered.
  std::chrono::nanoseconds m_silence{ 0 };
  /// Observation::m_unanswered at the last acknowledgement.
  std::uint32_t m_unansweredBefore = 0;
};

} // namespace jaylane::policy
