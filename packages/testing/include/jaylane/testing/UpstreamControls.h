#pragma once

#include <chrono>
#include <json/value.h>
#include <string>

namespace jaylane::testing {

/// State and injected faults of an upstream stand-in, set by POST /control.
struct UpstreamControls
{
  bool m_leaving = false;
  /// Closes health and load requests without a response.
  bool m_reportsStopped = false;
  /// State that /health reports instead of the real one, if not empty.
  std::string m_health;
  /// Added to the in-flight count that /load reports.
  int m_loadError = 0;
  /// How far the reported load is behind.
  std::chrono::milliseconds m_loadLag{ 0 };
  std::chrono::milliseconds m_serviceTime{ 0 };
  /// Numbers of next requests that are affected.
  unsigned m_closeNext = 0;
  unsigned m_truncateNext = 0;
  unsigned m_slowNext = 0;
  unsigned m_wrongAttemptNext = 0;

  /// @param aJson body of POST /control; controls that it does not name keep their value.
  void Apply(const Json::Value& aJson);
};

} // namespace jaylane::testing
