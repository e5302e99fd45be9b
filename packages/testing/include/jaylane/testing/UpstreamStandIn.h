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
  /// For this long after the start, the service time is multiplied by m_coldFactor.
  std::chrono::milliseconds m_coldTime{ 0 };
  unsigned m_coldFactor = 4;
  /// Whether requests beyond the slots are rejected; if not, they run.
  bool m_shed = true;
  /// How long a request beyond the slots waits for one. The close of a cancelled request
  /// and the next request travel on different connections and may arrive in either order.
  std::chrono::milliseconds m_admissionGrace{ 20 };
  /// Execution record; empty for none.
  std::string m_recordFile;
};

/// An upstream: executes requests in a limited number of slots and records them.
///
/// Request headers select faults of one request: X-Test-Crash, X-Test-Close,
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

  /// @return counters by name.
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
  void Change(const std::function<void(UpstreamControls&)>& aChange);
  void Count(std::uint64_t Counters::*aCounter);
  void Begin(HttpRequest& aRequest);
  HttpResponse Handle(HttpRequest& aRequest);
  HttpResponse HandleControl(const HttpRequest& aRequest);
  HttpResponse HandleHealth() const;
  HttpResponse HandleLoad() const;
  HttpResponse Execute(const HttpRequest& aRequest, const std::shared_ptr<Execution>& aExecution);
  HttpResponse Respond(const HttpRequest& aRequest, const std::shared_ptr<Execution>& aExecution);
  HttpResponse Refuse() const;
  void TakeFaults(const HttpRequest& aRequest, Execution& aExecution);
  void Release(Execution& aExecution);
  void SampleLocked();
  unsigned ReportedLocked() const;
  std::chrono::milliseconds ServiceTime() const;
  void Record(const char* aEvent, const Execution* aExecution, const char* aResult = nullptr);

  const UpstreamOptions m_options;
  const std::chrono::steady_clock::time_point m_started;
  const std::unique_ptr<RecordFile> m_records;
  mutable std::mutex m_mutex;
  std::condition_variable m_released;
  UpstreamControls m_controls;
  Counters m_counters;
  unsigned m_inFlight = 0;
  std::deque<LoadSample> m_samples;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace jaylane::testing
