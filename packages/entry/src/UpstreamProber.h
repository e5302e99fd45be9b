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

/// What a probe of an upstream found.
struct ProbeReport
{
  std::string m_upstream;
  std::string m_incarnation;
  policy::ProbeResult m_result = policy::ProbeResult::Unreachable;
  std::optional<std::uint32_t> m_reportedInFlight;
};

/// What to ask an upstream.
struct ProbeTarget
{
  UpstreamRef m_upstream;
  std::string m_healthPath;
  std::string m_loadPath;
  /// After this, the upstream counts as unreachable.
  std::chrono::milliseconds m_timeout{ 0 };
};

/// Asks all upstreams for their health and load at the same time.
/// @return one report for each target, in order.
std::vector<ProbeReport> ProbeAll(const std::vector<ProbeTarget>& aTargets);

} // namespace jaylane::entry
