#pragma once

#include "jaylane/testing/CallerOptions.h"

#include "jaylane/base/Error.h"
#include "jaylane/base/LatencyHistogram.h"
#include "jaylane/testing/RecordFile.h"

#include <chrono>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jaylane::testing {

class CallerRequest;
class LookupCache;

/// Open-loop load: looks up entry VMs, sends requests to them, verifies the responses and
/// records each attempt.
class CallerLoad
{
public:
  static base::Result<std::unique_ptr<CallerLoad>> Make(const CallerOptions& aOptions);
  ~CallerLoad();

  /// Runs for the duration and until the last request has ended.
  /// @return summary: counts by outcome, latencies, goodput.
  Json::Value Run();

private:
  using Clock = std::chrono::steady_clock;
  class Transfers;

  CallerLoad(const CallerOptions& aOptions, std::unique_ptr<RecordFile> aRecords);
  void StartDue(Clock::time_point aNow);
  void StartWaiting(Clock::time_point aNow);
  void StartAttempt(std::unique_ptr<CallerRequest> aRequest);
  void FinishAttempt(std::unique_ptr<CallerRequest> aRequest, int aCurlCode);
  void FinishRequest(std::unique_ptr<CallerRequest> aRequest);
  void Wait(std::unique_ptr<CallerRequest> aRequest, Clock::time_point aUntil);
  std::unique_ptr<CallerRequest> NextRequest();
  RequestKind NextKind();
  bool NextChance(double aShare);
  Json::Value Summary(std::chrono::duration<double> aElapsed) const;

  const CallerOptions m_options;
  const std::unique_ptr<RecordFile> m_records;
  const std::unique_ptr<LookupCache> m_lookups;
  const std::unique_ptr<Transfers> m_transfers;
  std::mt19937 m_random;
  std::uint64_t m_sent = 0;
  std::uint64_t m_overflow = 0;
  std::uint64_t m_attempts = 0;
  Clock::time_point m_end;
  Clock::time_point m_nextDue;
  std::multimap<Clock::time_point, std::unique_ptr<CallerRequest>> m_waiting;
  std::map<std::string, std::uint64_t> m_outcomes;
  std::map<std::string, std::uint64_t> m_integrity;
  std::uint64_t m_goodBytes = 0;
  base::LatencyHistogram m_latency;
};

} // namespace jaylane::testing
