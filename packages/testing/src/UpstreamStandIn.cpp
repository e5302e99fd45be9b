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
/// Delay before each block of a slow response.
constexpr milliseconds kSlowBlockDelay{ 100 };
constexpr std::size_t kSlowBlockBytes = 1024;
constexpr int kCrashExitCode = 70;

/// @return remaining time until the deadline of the request, or nothing if it has none.
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

/// @return whether the count was positive; it is then decremented.
bool Consume(unsigned& aCount)
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
                     { [self](HttpRequest& aRequest) { self->Admit(aRequest); },
                       [self](HttpRequest& aRequest) { return self->Handle(aRequest); },
                       [self](HttpRequest& aRequest, bool) {
                         if (aRequest.m_context) {
                           self->ReleaseSlot(*static_cast<Execution*>(aRequest.m_context.get()));
                         }
                       } });
  if (!server) {
    return server.GetError();
  }
  standIn->m_server = std::move(*server);
  self->AppendRecord("started", nullptr);
  return standIn;
}

void UpstreamStandIn::SetControls(const UpstreamControls& aControls)
{
  UpdateControls([&](UpstreamControls& aCurrent) { aCurrent = aControls; });
}

void UpstreamStandIn::UpdateControls(const std::function<void(UpstreamControls&)>& aChange)
{
  bool startsLeaving = false;
  {
    std::lock_guard lock(m_mutex);
    const bool wasLeaving = m_controls.m_leaving;
    aChange(m_controls);
    startsLeaving = m_controls.m_leaving && !wasLeaving;
  }
  if (startsLeaving) {
    AppendRecord("leaving", nullptr);
  }
}

void UpstreamStandIn::IncrementCounter(std::uint64_t Counters::*aCounter)
{
  std::lock_guard lock(m_mutex);
  ++(m_counters.*aCounter);
}

UpstreamControls UpstreamStandIn::Controls() const
{
  std::lock_guard lock(m_mutex);
  return m_controls;
}

void UpstreamStandIn::Admit(HttpRequest& aRequest)
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
  execution->m_receivedMillis = RecordTimeMillis();
  aRequest.m_context = execution;

  std::unique_lock lock(m_mutex);
  const bool slotAvailable = m_slotReleased.wait_for(
    lock, m_options.m_maxAdmissionWait, [this] { return m_inFlight < m_options.m_slots; });
  if (!slotAvailable) {
    ++m_counters.m_overSlots;
    execution->m_inFlight = m_inFlight + 1;
    if (m_options.m_shed) {
      execution->m_refused = true;
      ++m_counters.m_shed;
      lock.unlock();
      AppendRecord("over", execution.get());
      return;
    }
  }
  execution->m_holdsSlot = true;
  execution->m_inFlight = ++m_inFlight;
  m_counters.m_maxInFlight = std::max(m_counters.m_maxInFlight, m_inFlight);
  AddSampleLocked();
}

void UpstreamStandIn::ReleaseSlot(Execution& aExecution)
{
  {
    std::lock_guard lock(m_mutex);
    if (!aExecution.m_holdsSlot) {
      return;
    }
    aExecution.m_holdsSlot = false;
    --m_inFlight;
    AddSampleLocked();
  }
  m_slotReleased.notify_one();
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
    return MakeRefusal();
  }
  return Execute(aRequest, execution);
}

HttpResponse UpstreamStandIn::MakeRefusal() const
{
  HttpResponse response = JsonResponse(503, "{}");
  response.m_headers["X-Refused"] = "not-run";
  return response;
}

void UpstreamStandIn::TakeFaults(const HttpRequest& aRequest, Execution& aExecution)
{
  std::lock_guard lock(m_mutex);
  aExecution.m_crash = !aRequest.Header("x-test-crash").empty();
  aExecution.m_close = !aRequest.Header("x-test-close").empty() || Consume(m_controls.m_closeNext);
  aExecution.m_truncate = !aRequest.Header("x-test-truncate").empty() ||
                          (!aExecution.m_close && Consume(m_controls.m_truncateNext));
  aExecution.m_slow = !aRequest.Header("x-test-slow").empty() || Consume(m_controls.m_slowNext);
  aExecution.m_wrongAttempt = Consume(m_controls.m_wrongAttemptNext);
  ++m_counters.m_executed;
}

HttpResponse UpstreamStandIn::Execute(const HttpRequest& aRequest,
                                      const std::shared_ptr<Execution>& aExecution)
{
  TakeFaults(aRequest, *aExecution);
  AppendRecord("start", aExecution.get());
  if (aExecution->m_crash) {
    std::_Exit(kCrashExitCode);
  }
  const milliseconds serviceTime = CurrentServiceTime();
  const std::optional<milliseconds> deadline = DeadlineOf(aRequest);
  const bool missesDeadline = deadline && *deadline < serviceTime;
  if (aRequest.ClosedWithin(missesDeadline ? *deadline : serviceTime)) {
    IncrementCounter(&Counters::m_cancelled);
    AppendRecord("end", aExecution.get(), "cancelled");
    HttpResponse response;
    response.m_close = true;
    return response;
  }
  if (missesDeadline) {
    IncrementCounter(&Counters::m_missedDeadlines);
    AppendRecord("end", aExecution.get(), "deadline");
    ReleaseSlot(*aExecution);
    return JsonResponse(504, "{}");
  }
  AppendRecord("end", aExecution.get(), aExecution->m_close ? "closed" : "completed");
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
  const ResponsePattern pattern(aExecution->m_method,
                                aExecution->m_path,
                                aRequest.m_bodyHash,
                                aRequest.QueryNumber("bytes", 0));
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
      std::size_t maxBytes = aBytes;
      if (aExecution->m_truncate) {
        maxBytes = std::min<std::size_t>(maxBytes, pattern.size() / 2 - aOffset);
      }
      if (aExecution->m_slow) {
        maxBytes = std::min(maxBytes, kSlowBlockBytes);
        std::this_thread::sleep_for(kSlowBlockDelay);
      }
      const std::size_t bytes = pattern.Fill(aOffset, aBuffer, maxBytes);
      if (aOffset + bytes == pattern.size()) {
        // The slot must be free before the client sees the end of the response and reuses it.
        ReleaseSlot(*aExecution);
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
  UpdateControls([&](UpstreamControls& aControls) { aControls.Apply(*json); });
  return JsonResponse(200, "{}");
}

HttpResponse UpstreamStandIn::HandleHealth() const
{
  const UpstreamControls controls = Controls();
  HttpResponse response = JsonResponse(200, "{}");
  response.m_close = controls.m_reportsStopped;
  const bool isCold = steady_clock::now() < m_started + m_options.m_coldTime;
  std::string state = controls.m_leaving ? "leaving" : isCold ? "warming" : "active";
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
  const int reported = static_cast<int>(ReportedInFlightLocked()) + m_controls.m_loadError;
  Json::Value body;
  body["in_flight"] = std::max(reported, 0);
  body["slots"] = m_options.m_slots;
  response.m_body = platform::WriteJson(body);
  return response;
}

void UpstreamStandIn::AddSampleLocked()
{
  m_loadSamples.push_back({ steady_clock::now(), m_inFlight });
  if (m_loadSamples.size() > kMaxLoadSamples) {
    m_loadSamples.pop_front();
  }
}

unsigned UpstreamStandIn::ReportedInFlightLocked() const
{
  const auto time = steady_clock::now() - m_controls.m_loadLag;
  const auto sample = std::find_if(m_loadSamples.rbegin(),
                                   m_loadSamples.rend(),
                                   [&](const auto& aSample) { return aSample.m_time <= time; });
  return sample == m_loadSamples.rend() ? 0 : sample->m_inFlight;
}

milliseconds UpstreamStandIn::CurrentServiceTime() const
{
  const milliseconds time = Controls().m_serviceTime;
  const bool isCold = steady_clock::now() < m_started + m_options.m_coldTime;
  return isCold ? time * m_options.m_coldFactor : time;
}

void UpstreamStandIn::AppendRecord(const char* aEvent,
                                   const Execution* aExecution,
                                   const char* aResult)
{
  Json::Value record;
  record["event"] = aEvent;
  record["time_ms"] = RecordTimeMillis();
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
