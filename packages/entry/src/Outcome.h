#pragma once

#include <chrono>
#include <string>

namespace jaylane::entry {

/// What a caller is told about its request: exactly one of these. See docs/design.md.
enum class Outcome
{
  Completed,
  /// Proven not executed.
  NotRun,
  /// May or may not have been executed.
  Unknown,
};

/// @return the value of the header Jaylane-Outcome.
inline const char* OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Completed:
      return "completed";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      break;
  }
  return "unknown";
}

inline constexpr const char* kOutcomeHeader = "Jaylane-Outcome";
inline constexpr const char* kErrorHeader = "Jaylane-Error";
inline constexpr const char* kAttemptsHeader = "Jaylane-Attempts";
inline constexpr const char* kUpstreamHeader = "Jaylane-Upstream";
inline constexpr const char* kVmHeader = "Jaylane-Vm";
inline constexpr const char* kKeyHeader = "Jaylane-Key";
inline constexpr const char* kIdempotentHeader = "Jaylane-Idempotent";
inline constexpr const char* kDeadlineHeader = "Jaylane-Deadline-Ms";
inline constexpr const char* kCallerHeader = "Jaylane-Caller";
inline constexpr const char* kForwardedHeader = "Jaylane-Forwarded";
/// Marks a request forwarded to the VM that owns its key's scope. That VM checks the key and does
/// not forward the request to another one.
inline constexpr const char* kScopeHopHeader = "Jaylane-Scope-Hop";
inline constexpr const char* kHybridClockHeader = "Jaylane-Hlc";

/// How a request ended at this VM.
struct RequestResult
{
  Outcome m_outcome = Outcome::NotRun;
  /// HTTP status to respond with, or that of the upstream's response if completed.
  unsigned m_status = 503;
  /// Hyphenated error code; empty if completed.
  std::string m_error;
  std::string m_message;
  unsigned m_attempts = 0;
  std::string m_upstream;
  /// Total duration of the attempts at upstreams.
  std::chrono::nanoseconds m_upstreamTime{ 0 };
};

} // namespace jaylane::entry
