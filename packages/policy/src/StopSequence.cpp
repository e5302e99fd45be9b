#include "jaylane/policy/StopSequence.h"

namespace jaylane::policy {

namespace {

/// Parts of the grace time at which the steps begin.
constexpr double kRejectShare = 0.5;
constexpr double kCloseIdleShare = 0.55;
constexpr double kExitShare = 0.9;

std::chrono::milliseconds PartOf(std::chrono::milliseconds aGrace, double aShare)
{
  return std::chrono::round<std::chrono::milliseconds>(aGrace * aShare);
}

} // namespace

base::MonotonicTime StopSequence::ExitAt() const
{
  return m_started + PartOf(m_grace, kExitShare);
}

StopSequence::Step StopSequence::StepAt(base::MonotonicTime aNow) const
{
  const auto elapsed = aNow - m_started;
  if (aNow >= ExitAt()) {
    return Step::Exit;
  }
  if (elapsed >= PartOf(m_grace, kCloseIdleShare)) {
    return Step::CloseIdle;
  }
  return elapsed >= PartOf(m_grace, kRejectShare) ? Step::Reject : Step::Drain;
}

const char* ToString(StopSequence::Step aStep)
{
  switch (aStep) {
    case StopSequence::Step::Drain:
      return "drain";
    case StopSequence::Step::Reject:
      return "reject";
    case StopSequence::Step::CloseIdle:
      return "close_idle";
    case StopSequence::Step::Exit:
      break;
  }
  return "exit";
}

} // namespace jaylane::policy
