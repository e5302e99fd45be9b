#include "jaylane/testing/UpstreamStandIn.h"

#include "jaylane/platform/JsonText.h"
#include "jaylane/testing/ResponsePattern.h"
#include "jaylane/testing/TestingError.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <thread>

namespace jaylane::testing {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxLoadSamples = 10'000;
/// Pause before each block of a slow response.
constexpr milliseconds kSlowPause{ 100 };
constexpr std::size_t kSlowBlockBytes = 1024;
constexpr int kCrashStatus = 70;

std::optional<milliseconds> DeadlineOf(const HttpRequest& aRequest)
{
  const std::string text = aRequest.Header("x-deadline-ms");
  std::int64_t millis = 0;
  const auto end = text.data() + text.size();
  if (text.empty() || std::from_chars(text.data(), end, millis).ptr != end) {
    return std::nullopt;
  }
  return milliseconds{ millis };
}

bool TakeOne(unsigned& aCount)
{
  if (aCount == 0) {
    return false;
  }
  --aCount;
  return true;
}

} // namespace

struct UpstreamStandIn::Execution
{
  std::string m_id;
  std::string m_key;
  std::string m_kind;
  std::string m_origin;
  std::string m_attempt;
  std::string m_method;
  std::string m_path;
  double m_receivedMillis = 0;
  bool m_refused = false;
  bool m_holdsSlot = false;
  unsigned m_inFlight = 0;
  bool m_crash = false;
  bool m_close = false;
  bool m_truncate = false;
  bool m_slow = false;
  bool m_wrongAttempt = false;
};

UpstreamStandIn::UpstreamStandIn(const UpstreamOptions& aOptions,
                                 std::unique_ptr<RecordFile> aRecords)
  : m_options(aOptions)
  , m_started(steady_clock::now())
  , m_records(std::move(aRecords))
{
  m_controls.m_serviceTime = aOptions.m_serviceTime;
}

UpstreamStandIn::~UpstreamStandIn() = default;

base::Result<std::unique_ptr<UpstreamStandIn>> UpstreamStandIn::Make(
  const UpstreamOptions& aOptions)
{
  auto records = RecordFile::Open(aOptions.m_recordFile);
  if (!records) {
    return records.GetError();
  }
  std::unique_ptr<UpstreamStandIn> standIn(new UpstreamStandIn(aOptions, std::move(*records)));
  auto* self = standIn.get();
  auto server =
    HttpServer::Make(aOptions.m_http,
                     { [self](HttpRequest& aRequest) { self->Begin(aRequest); },
                       [self](HttpRequest& aRequest) { return self->Handle(aRequest); },
                       [self](HttpRequest& aRequest, bool) {
                         if (aRequest.m_context) {
                           self->Release(*static_cast<Execution*>(aRequest.m_context.get()));
                         }
                       } });
  if (!server) {
    return server.GetError();
  }
  standIn->m_server = std::move(*server);
  self->Record("started", nullptr);
  return standIn;
}

void UpstreamStandIn::SetControls(const UpstreamControls& aControls)
{
  Change([&](UpstreamControls& aCurrent) { aCurrent = aControls; });
}

void UpstreamStandIn::Change(const std::function<void(UpstreamControls&)>& aChange)
{
  bool left = false;
  {
    std::lock_guard lock(m_mutex);
    const bool before = m_controls.m_leaving;
    aChange(m_controls);
    left = m_controls.m_leaving && !before;
  }
  if (left) {
    Record("leaving", nullptr);
  }
}

void UpstreamStandIn::Count(std::uint64_t Counters::*aCounter)
{
  std::lock_guard lock(m_mutex);
  ++(m_counters.*aCounter);
}

UpstreamControls UpstreamStandIn::Controls() const
{
  std::lock_guard lock(m_mutex);
  return m_controls;
}

void UpstreamStandIn::Begin(HttpRequest& aRequest)
{
  const std::string& path = aRequest.m_path;
  if (path == "/health" || path == "/load" || path.compare(0, 8, "/control") == 0) {
    return;
  }
  auto execution = std::make_shared<Execution>();
  execution->m_id = aRequest.Header("x-test-id");
  execution->m_key = aRequest.Header("jaylane-key");
  execution->m_kind = aRequest.Header("x-test-kind");
  execution->m_origin = aRequest.Header("x-test-origin");
  execution->m_attempt = aRequest.Header("x-attempt");
  execution->m_method = aRequest.m_method;
  execution->m_path = StripServicePrefix(path);
  execution->m_receivedMillis = RecordTime();
  aRequest.m_context = execution;

  std::unique_lock lock(m_mutex);
  const bool within = m_released.wait_for(
    lock, m_options.m_admissionGrace, [this] { return m_inFlight < m_options.m_slots; });
  if (!within) {
    ++m_counters.m_overSlots;
    execution->m_inFlight = m_inFlight + 1;
    if (m_options.m_shed) {
      execution->m_refused = true;
      ++m_counters.m_shed;
      lock.unlock();
      Record("over", execution.get());
      return;
    }
  }
  execution->m_holdsSlot = true;
  execution->m_inFlight = ++m_inFlight;
  m_counters.m_maxInFlight = std::max(m_counters.m_maxInFlight, m_inFlight);
  SampleLocked();
}

void UpstreamStandIn::Release(Execution& aExecution)
{
  {
    std::lock_guard lock(m_mutex);
    if (!aExecution.m_holdsSlot) {
      return;
    }
    aExecution.m_holdsSlot = false;
    --m_inFlight;
    SampleLocked();
  }
  m_released.notify_one();
}

HttpResponse UpstreamStandIn::Handle(HttpRequest& aRequest)
{
  if (aRequest.m_path == "/health") {
    return HandleHealth();
  }
  if (aRequest.m_path == "/load") {
    return HandleLoad();
  }
  if (aRequest.m_path == "/control/stats") {
    return JsonResponse(200, platform::WriteJson(Stats()));
  }
  if (aRequest.m_path.compare(0, 8, "/control") == 0) {
    return HandleControl(aRequest);
  }
  const auto execution = std::static_pointer_cast<Execution>(aRequest.m_context);
  const std::optional<milliseconds> deadline = DeadlineOf(aRequest);
  if (execution->m_refused || (deadline && *deadline <= milliseconds{ 0 })) {
    return Refuse();
  }
  return Execute(aRequest, execution);
}

HttpResponse UpstreamStandIn::Refuse() const
{
  HttpResponse response = JsonResponse(503, "{}");
  response.m_headers["X-Refused"] = "not-run";
  return response;
}

void UpstreamStandIn::TakeFaults(const HttpRequest& aRequest, Execution& aExecution)
{
  std::lock_guard lock(m_mutex);
  aExecution.m_crash = !aRequest.Header("x-test-crash").empty();
  aExecution.m_close = !aRequest.Header("x-test-close").empty() || TakeOne(m_controls.m_closeNext);
  aExecution.m_truncate = !aRequest.Header("x-test-truncate").empty() ||
                          (!aExecution.m_close && TakeOne(m_controls.m_truncateNext));
  aExecution.m_slow = !aRequest.Header("x-test-slow").empty() || TakeOne(m_controls.m_slowNext);
  aExecution.m_wrongAttempt = TakeOne(m_controls.m_wrongAttemptNext);
  ++m_counters.m_executed;
}

HttpResponse UpstreamStandIn::Execute(const HttpRequest& aRequest,
                                      const std::shared_ptr<Execution>& aExecution)
{
  TakeFaults(aRequest, *aExecution);
  Record("start", aExecution.get());
  if (aExecution->m_crash) {
    std::_Exit(kCrashStatus);
  }
  const milliseconds work = ServiceTime();
  const std::optional<milliseconds> deadline = DeadlineOf(aRequest);
  const bool late = deadline && *deadline < work;
  if (aRequest.ClosedWithin(late ? *deadline : work)) {
    Count(&Counters::m_cancelled);
    Record("end", aExecution.get(), "cancelled");
    HttpResponse response;
    response.m_close = true;
    return response;
  }
  if (late) {
    Count(&Counters::m_missedDeadlines);
    Record("end", aExecution.get(), "deadline");
    Release(*aExecution);
    return JsonResponse(504, "{}");
  }
  Record("end", aExecution.get(), aExecution->m_close ? "closed" : "completed");
  return Respond(aRequest, aExecution);
}

HttpResponse UpstreamStandIn::Respond(const HttpRequest& aRequest,
                                      const std::shared_ptr<Execution>& aExecution)
{
  HttpResponse response;
  if (aExecution->m_close) {
    response.m_close = true;
    return response;
  }
  const ResponsePattern pattern(
    aExecution->m_method, aExecution->m_path, aRequest.m_bodyHash, aRequest.QueryNumber("bytes", 0));
  response.m_headers["Content-Type"] = "text/plain";
  response.m_headers["X-Upstream"] = m_options.m_id;
  if (!aExecution->m_attempt.empty()) {
    response.m_headers["X-Attempt"] =
      aExecution->m_wrongAttempt ? aExecution->m_attempt + "-other" : aExecution->m_attempt;
  }
  response.m_size = pattern.size();
  response.m_reader =
    [this, pattern, aExecution](std::uint64_t aOffset, char* aBuffer, std::size_t aBytes) {
      if (aExecution->m_truncate && aOffset >= pattern.size() / 2) {
        return std::int64_t{ -1 };
      }
      std::size_t room = aBytes;
      if (aExecution->m_truncate) {
        room = std::min<std::size_t>(room, pattern.size() / 2 - aOffset);
      }
      if (aExecution->m_slow) {
        room = std::min(room, kSlowBlockBytes);
        std::this_thread::sleep_for(kSlowPause);
      }
      const std::size_t bytes = pattern.Fill(aOffset, aBuffer, room);
      if (aOffset + bytes == pattern.size()) {
        // Before the caller can see the end of the response and use the slot again.
        Release(*aExecution);
      }
      return static_cast<std::int64_t>(bytes);
    };
  return response;
}

HttpResponse UpstreamStandIn::HandleControl(const HttpRequest& aRequest)
{
  const auto json = platform::ParseJsonObject(aRequest.m_body);
  if (aRequest.m_method != "POST" || !json) {
    return JsonResponse(400, "{}");
  }
  Change([&](UpstreamControls& aControls) { aControls.Apply(*json); });
  return JsonResponse(200, "{}");
}

HttpResponse UpstreamStandIn::HandleHealth() const
{
  const UpstreamControls controls = Controls();
  HttpResponse response = JsonResponse(200, "{}");
  response.m_close = controls.m_reportsStopped;
  const bool cold = steady_clock::now() < m_started + m_options.m_coldTime;
  std::string state = controls.m_leaving ? "leaving" : cold ? "warming" : "active";
  if (!controls.m_health.empty()) {
    state = controls.m_health;
  }
  Json::Value body;
  body["state"] = state;
  response.m_body = platform::WriteJson(body);
  return response;
}

HttpResponse UpstreamStandIn::HandleLoad() const
{
  std::lock_guard lock(m_mutex);
  HttpResponse response = JsonResponse(200, "{}");
  response.m_close = m_controls.m_reportsStopped;
  const int reported = static_cast<int>(ReportedLocked()) + m_controls.m_loadError;
  Json::Value body;
  body["in_flight"] = std::max(reported, 0);
  body["slots"] = m_options.m_slots;
  response.m_body = platform::WriteJson(body);
  return response;
}

void UpstreamStandIn::SampleLocked()
{
  m_samples.push_back({ steady_clock::now(), m_inFlight });
  if (m_samples.size() > kMaxLoadSamples) {
    m_samples.pop_front();
  }
}

unsigned UpstreamStandIn::ReportedLocked() const
{
  const auto time = steady_clock::now() - m_controls.m_loadLag;
  const auto newer = std::find_if(m_samples.rbegin(), m_samples.rend(), [&](const auto& aSample) {
    return aSample.m_time <= time;
  });
  return newer == m_samples.rend() ? 0 : newer->m_inFlight;
}

milliseconds UpstreamStandIn::ServiceTime() const
{
  const milliseconds time = Controls().m_serviceTime;
  const bool cold = steady_clock::now() < m_started + m_options.m_coldTime;
  return cold ? time * m_options.m_coldFactor : time;
}

void UpstreamStandIn::Record(const char* aEvent, const Execution* aExecution, const char* aResult)
{
  Json::Value record;
  record["event"] = aEvent;
  record["time_ms"] = RecordTime();
  record["upstream"] = m_options.m_id;
  record["service"] = m_options.m_service;
  record["region"] = m_options.m_region;
  record["zone"] = m_options.m_zone;
  record["slots"] = m_options.m_slots;
  if (aExecution) {
    record["id"] = aExecution->m_id.empty() ? aExecution->m_key : aExecution->m_id;
    record["kind"] = aExecution->m_kind;
    record["origin"] = aExecution->m_origin;
    record["attempt"] = aExecution->m_attempt;
    record["method"] = aExecution->m_method;
    record["path"] = aExecution->m_path;
    record["received_ms"] = aExecution->m_receivedMillis;
    record["in_flight"] = aExecution->m_inFlight;
  }
  if (aResult) {
    record["result"] = aResult;
  }
  m_records->Append(record);
}

Json::Value UpstreamStandIn::Stats() const
{
  std::lock_guard lock(m_mutex);
  Json::Value stats;
  stats["executed"] = Json::UInt64{ m_counters.m_executed };
  stats["shed"] = Json::UInt64{ m_counters.m_shed };
  stats["over_slots"] = Json::UInt64{ m_counters.m_overSlots };
  stats["cancelled"] = Json::UInt64{ m_counters.m_cancelled };
  stats["missed_deadlines"] = Json::UInt64{ m_counters.m_missedDeadlines };
  stats["max_in_flight"] = m_counters.m_maxInFlight;
  stats["in_flight"] = m_inFlight;
  stats["leaving"] = m_controls.m_leaving;
  return stats;
}

} // namespace jaylane::testing
