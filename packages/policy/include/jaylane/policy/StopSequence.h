#pragma once

#include "jaylane/base/Clock.h"

#include <chrono>

namespace jaylane::policy {

/// Decides on the steps of a graceful shutdown. The grace time is the one that was in force when it
/// began: the platform ends the process by it, whatever settings are read later.
class StopSequence
{
public:
  enum class Step
  {
    /// Requests are served, and responses close their connections.
    Drain,
    /// New connections and requests are rejected.
    Reject,
    /// Idle connections are closed as well.
    CloseIdle,
    /// The process exits, even if requests are in flight.
    Exit,
  };

  /// @param aGrace time after which the platform ends the process.
  /// @param aStarted when the shutdown was requested.
  StopSequence(std::chrono::milliseconds aGrace, base::MonotonicTime aStarted)
    : m_grace(aGrace)
    , m_started(aStarted)
  {
  }

  /// @return the step that is due.
  Step StepAt(base::MonotonicTime aNow) const;

  /// @return when the process exits. Requests that may last longer are rejected from the start.
  base::MonotonicTime ExitAt() const;

  base::MonotonicTime StartedAt() const { return m_started; }

private:
  std::chrono::milliseconds m_grace;
  base::MonotonicTime m_started;
};

/// @return the name of a step for the log.
const char* ToString(StopSequence::Step aStep);

} // namespace jaylane::policy
