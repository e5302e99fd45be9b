#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/base/EventLog.h"
#include "jaylane/base/Log.h"
#include "jaylane/policy/ExecutionScope.h"
#include "jaylane/policy/Topology.h"
#include "jaylane/settings/VmSettings.h"

#include <string>

namespace jaylane::entry {

/// Identity, clocks and logs of an entry VM, shared by its components.
struct VmContext
{
  const settings::VmSettings& m_settings;
  const base::Clock& m_clock;
  const base::Log& m_log;
  base::HybridClock& m_hybridClock;
  base::EventLog& m_events;
  policy::Incarnation m_incarnation;
  /// m_incarnation as 32 hex digits, the form used in the VM list and in messages.
  std::string m_incarnationText;
  policy::SiteId m_site;
};

} // namespace jaylane::entry
