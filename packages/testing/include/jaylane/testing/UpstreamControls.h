#pragma once

#include <chrono>
#include <json/value.h>
#include <string>

namespace jaylane::testing {

/// State and injected faults of an upstream stand-in, set by POST /control.
struct UpstreamControls
{
  /// Leave signal: the upstream reports that it is leaving and expects no more requests.
  bool m_leaving = false;
  /// Closes the connections of health and load requests without a response.
  bool m_reportsStopped = false;
  /// If not empty, the state that /health reports instead of the real one.
  std::string m_health;
  /// Added to the in-flight count that /load reports.
  int m_loadError = 0;
  /// Age of the in-flight count that /load reports.
  std::chrono::milliseconds m_loadLag{ 0 };
  std::chrono::milliseconds m_serviceTime{ 0 };
  /// Faults of this many next requests: connection closed without a response, response truncated,
  /// response slow, wrong X-Attempt header.
  unsigned m_closeNext = 0;
  unsigned m_truncateNext = 0;
  unsigned m_slowNext = 0;
  unsigned m_wrongAttemptNext = 0;

  /// @param aJson body of POST /control; controls that are absent or of the wrong type keep their
  ///   value.
  void Apply(const Json::Value& aJson);
};

} // namespace jaylane::testing
