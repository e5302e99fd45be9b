#pragma once

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>

namespace jaylane::settings {

/// Settings of one (region, service, zone) after inheritance. Meaning, range and default of each
/// key are in the key table in TreeKeys.cpp, from which docs/settings.md is generated.
struct EffectiveSettings
{
  std::uint32_t m_shiftTotalCapPercent = 0;
  std::uint32_t m_shiftPlannedPartPercent = 0;
  std::uint32_t m_shiftFailoverPartPercent = 0;
  std::chrono::seconds m_shiftWindow{ 0 };
  std::uint32_t m_plannerReservePercent = 0;
  /// 100 selects sites by latency alone, 0 by headroom alone.
  std::uint32_t m_latencyWeightPercent = 0;
  std::chrono::milliseconds m_lookupLifetime{ 0 };
  std::chrono::seconds m_recoveryHold{ 0 };
  std::chrono::milliseconds m_requestTimeout{ 0 };
  std::uint32_t m_queueLimitRequests = 0;
  std::chrono::milliseconds m_queueLimitWait{ 0 };
  std::uint32_t m_retryBudgetPercent = 0;
  std::uint32_t m_retryAttempts = 0;
  std::chrono::seconds m_quarantineTime{ 0 };
  std::chrono::seconds m_slowStartTime{ 0 };
  std::uint32_t m_maxEjectedPercent = 0;
  std::chrono::milliseconds m_probeInterval{ 0 };
  std::chrono::milliseconds m_probeTimeout{ 0 };
  std::string m_healthPath;
  std::string m_loadPath;
  std::string m_refusalHeaderName;
  std::string m_refusalHeaderValue;
  std::chrono::milliseconds m_leaseDuration{ 0 };
  std::chrono::seconds m_claimLifetime{ 0 };
  std::uint32_t m_claimRatePerSecond = 0;
  std::uint32_t m_linkBulkPercent = 0;
  std::chrono::seconds m_drainGrace{ 0 };

  /// Maps each key to the path of the node that sets it, or to "default" if none does.
  std::map<std::string, std::string> m_origins;

  /// @return {"<key>":{"value","from"}}.
  Json::Value ToJson() const;
};

} // namespace jaylane::settings
