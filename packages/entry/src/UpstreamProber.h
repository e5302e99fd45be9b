#pragma once

#include "Directory.h"
#include "jaylane/policy/UpstreamSelector.h"
#include "jaylane/settings/EffectiveSettings.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jaylane::entry {

/// Result of probing an upstream.
struct ProbeReport
{
  std::string m_upstream;
  std::string m_incarnation;
  policy::ProbeResult m_result = policy::ProbeResult::Unreachable;
  std::optional<std::uint32_t> m_reportedInFlight;
};

/// An upstream to probe.
struct ProbeTarget
{
  UpstreamRef m_upstream;
  std::string m_healthPath;
  std::string m_loadPath;
  /// An upstream that takes longer counts as unreachable.
  std::chrono::milliseconds m_timeout{ 0 };
};

/// Requests the health and load of all upstreams concurrently.
/// @return one report for each target, in order.
std::vector<ProbeReport> ProbeAll(const std::vector<ProbeTarget>& aTargets);

} // namespace jaylane::entry
