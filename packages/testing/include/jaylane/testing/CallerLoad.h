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

/// Open-loop load generator: looks up entry VMs, sends requests to them, verifies the responses
/// and records each attempt.
class CallerLoad
{
public:
  /// @return the load generator, or an error if the options are invalid or the record file cannot
  ///   be opened.
  static base::Result<std::unique_ptr<CallerLoad>> Make(const CallerOptions& aOptions);
  ~CallerLoad();

  /// Sends requests for the duration and returns when the last one has ended.
  /// @return summary with counts by outcome, latencies and goodput.
  Json::Value Run();

private:
  using Clock = std::chrono::steady_clock;
  class Transfers;

  CallerLoad(const CallerOptions& aOptions, std::unique_ptr<RecordFile> aRecords);
  void StartDueRequests(Clock::time_point aNow);
  void StartWaitingAttempts(Clock::time_point aNow);
  /// Sends the request, or reschedules it while no lookup response is valid. Ends it if its
  /// deadline has passed.
  void StartAttempt(std::unique_ptr<CallerRequest> aRequest);
  void FinishAttempt(std::unique_ptr<CallerRequest> aRequest, int aCurlCode);
  void FinishRequest(std::unique_ptr<CallerRequest> aRequest);
  void ScheduleAttempt(std::unique_ptr<CallerRequest> aRequest, Clock::time_point aUntil);
  std::unique_ptr<CallerRequest> MakeRequest();
  RequestKind DrawKind();
  /// @return true with the given probability.
  bool DrawChance(double aProbability);
  Json::Value MakeSummary(std::chrono::duration<double> aElapsed) const;

  const CallerOptions m_options;
  const std::unique_ptr<RecordFile> m_records;
  const std::unique_ptr<LookupCache> m_lookupCache;
  const std::unique_ptr<Transfers> m_transfers;
  std::mt19937 m_random;
  std::uint64_t m_sent = 0;
  /// Requests dropped at CallerOptions::m_maxInFlight; they count as sent.
  std::uint64_t m_overflow = 0;
  std::uint64_t m_attempts = 0;
  Clock::time_point m_arrivalsEnd;
  Clock::time_point m_nextArrival;
  /// Requests that wait for their next attempt, by the time of its start.
  std::multimap<Clock::time_point, std::unique_ptr<CallerRequest>> m_waiting;
  /// Requests by final outcome; the names of repetitions have the prefix "resend-".
  std::map<std::string, std::uint64_t> m_outcomes;
  /// Attempts by IntegrityName().
  std::map<std::string, std::uint64_t> m_integrity;
  /// Body bytes of completed requests.
  std::uint64_t m_completedBytes = 0;
  base::LatencyHistogram m_latency;
};

} // namespace jaylane::testing
