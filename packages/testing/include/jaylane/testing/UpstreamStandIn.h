#pragma once

#include "jaylane/testing/HttpServer.h"
#include "jaylane/testing/RecordFile.h"
#include "jaylane/testing/UpstreamControls.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <json/value.h>
#include <memory>
#include <mutex>
#include <string>

namespace jaylane::testing {

struct UpstreamOptions
{
  HttpServerOptions m_http{ "127.0.0.1", 0, 400, 64 * 1024 };
  std::string m_id = "upstream";
  std::string m_service;
  std::string m_region;
  std::string m_zone;
  unsigned m_slots = 4;
  std::chrono::milliseconds m_serviceTime{ 20 };
  /// For this long after the start, the upstream is cold: the service time is multiplied by
  /// m_coldFactor.
  std::chrono::milliseconds m_coldTime{ 0 };
  unsigned m_coldFactor = 4;
  /// Whether requests beyond the slots are rejected; if not, they are executed.
  bool m_shed = true;
  /// How long a request beyond the slots waits for one to be released. The close of a cancelled
  /// request and the next request use different connections and may arrive in either order.
  std::chrono::milliseconds m_maxAdmissionWait{ 20 };
  /// File that execution records are appended to; empty for none.
  std::string m_recordFile;
};

/// Simulated upstream that executes requests in a limited number of slots and records them.
///
/// Request headers inject faults into one request: X-Test-Crash, X-Test-Close,
/// X-Test-Truncate, X-Test-Slow. The query argument `bytes` sets the payload size.
/// X-Test-Id, X-Test-Kind and X-Test-Origin are copied to the execution record.
class UpstreamStandIn
{
public:
  static base::Result<std::unique_ptr<UpstreamStandIn>> Make(const UpstreamOptions& aOptions);
  ~UpstreamStandIn();

  /// @return "<address>:<port>".
  const std::string& Address() const { return m_server->Address(); }

  void SetControls(const UpstreamControls& aControls);
  UpstreamControls Controls() const;

  /// @return counters and current state by name, as GET /control/stats returns them.
  Json::Value Stats() const;

private:
  struct Execution;
  struct LoadSample
  {
    std::chrono::steady_clock::time_point m_time;
    unsigned m_inFlight = 0;
  };
  struct Counters
  {
    std::uint64_t m_executed = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_overSlots = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_missedDeadlines = 0;
    unsigned m_maxInFlight = 0;
  };

  UpstreamStandIn(const UpstreamOptions& aOptions, std::unique_ptr<RecordFile> aRecords);
  /// Changes the controls atomically and records the leave signal if the change contains it.
  void UpdateControls(const std::function<void(UpstreamControls&)>& aChange);
  void IncrementCounter(std::uint64_t Counters::*aCounter);
  /// Assigns a slot to a request or marks it as refused, before its body arrives.
  void Admit(HttpRequest& aRequest);
  HttpResponse Handle(HttpRequest& aRequest);
  HttpResponse HandleControl(const HttpRequest& aRequest);
  HttpResponse HandleHealth() const;
  HttpResponse HandleLoad() const;
  /// Simulates the work of a request: waits for the service time, its deadline or its cancellation.
  HttpResponse Execute(const HttpRequest& aRequest, const std::shared_ptr<Execution>& aExecution);
  HttpResponse Respond(const HttpRequest& aRequest, const std::shared_ptr<Execution>& aExecution);
  /// @return response which states that the request was not executed.
  HttpResponse MakeRefusal() const;
  /// Determines the faults of a request from its headers and the controls, and counts it as
  /// executed.
  void TakeFaults(const HttpRequest& aRequest, Execution& aExecution);
  void ReleaseSlot(Execution& aExecution);
  // Methods with the suffix Locked expect m_mutex to be held.
  void AddSampleLocked();
  /// @return the in-flight count of UpstreamControls::m_loadLag ago.
  unsigned ReportedInFlightLocked() const;
  std::chrono::milliseconds CurrentServiceTime() const;
  void AppendRecord(const char* aEvent, const Execution* aExecution, const char* aResult = nullptr);

  const UpstreamOptions m_options;
  const std::chrono::steady_clock::time_point m_started;
  const std::unique_ptr<RecordFile> m_records;
  mutable std::mutex m_mutex;
  std::condition_variable m_slotReleased;
  UpstreamControls m_controls;
  Counters m_counters;
  unsigned m_inFlight = 0;
  /// Past in-flight counts, for delayed load reports.
  std::deque<LoadSample> m_loadSamples;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace jaylane::testing
