#pragma once

#include "VmContext.h"

namespace jaylane::entry {

/// Context of a VM in region "east", zone "east-a", with a manual clock.
struct TestContext
{
  settings::VmSettings m_settings = MakeSettings();
  base::ManualClock m_clock;
  base::Log m_log{ "test", m_clock, base::LogLevel::Error };
  base::HybridClock m_hybridClock{ m_clock };
  base::EventLog m_events{ "test", m_hybridClock, 1000 };
  VmContext m_context{ m_settings,
                       m_clock,
                       m_log,
                       m_hybridClock,
                       m_events,
                       { 1, 2 },
                       "00000000000000010000000000000002",
                       { "east", "east-a" } };

  static settings::VmSettings MakeSettings()
  {
    settings::VmSettings settings;
    settings.m_id = "vm";
    settings.m_region = "east";
    settings.m_zone = "east-a";
    settings.m_peerKey = "0123456789abcdef";
    settings.m_trustCallerHeader = true;
    return settings;
  }
};

} // namespace jaylane::entry
