#include "jaylane/testing/CallerLoad.h"

#include "CallerRequest.h"
#include "LookupCache.h"

#include "jaylane/testing/TestingError.h"

#include <algorithm>
#include <cassert>
#include <curl/curl.h>
#include <fmt/format.h>

namespace jaylane::testing {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMaxPollTime{ 100 };
constexpr milliseconds kLookupRetryDelay{ 10 };

} // namespace

/// The attempts in flight, driven by a libcurl multi handle.
class CallerLoad::Transfers
{
public:
  Transfers()
    : m_multi(curl_multi_init())
  {
  }
  ~Transfers()
  {
    assert(m_requests.empty());
    curl_multi_cleanup(m_multi);
  }

  void Add(CURL* aHandle, std::unique_ptr<CallerRequest> aRequest)
  {
    m_requests[aHandle] = std::move(aRequest);
    curl_multi_add_handle(m_multi, aHandle);
  }

  std::size_t size() const { return m_requests.size(); }

  /// Drives the transfers without blocking.
  /// @param aFinish called with each request whose attempt has ended, and its result code.
  template<typename Finish>
  void Perform(Finish aFinish)
  {
    int running = 0;
    curl_multi_perform(m_multi, &running);
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      CURL* handle = message->easy_handle;
      curl_multi_remove_handle(m_multi, handle);
      auto node = m_requests.extract(handle);
      aFinish(std::move(node.mapped()), code);
    }
  }

  /// Waits for socket activity.
  void Poll(milliseconds aTimeout)
  {
    curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(aTimeout.count()), nullptr);
  }

private:
  CURLM* m_multi;
  std::map<CURL*, std::unique_ptr<CallerRequest>> m_requests;
};

CallerLoad::CallerLoad(const CallerOptions& aOptions, std::unique_ptr<RecordFile> aRecords)
  : m_options(aOptions)
  , m_records(std::move(aRecords))
  , m_lookupCache(std::make_unique<LookupCache>(m_options))
  , m_transfers(std::make_unique<Transfers>())
  , m_random(aOptions.m_seed)
{
}

CallerLoad::~CallerLoad() = default;

base::Result<std::unique_ptr<CallerLoad>> CallerLoad::Make(const CallerOptions& aOptions)
{
  if (aOptions.m_entries.empty() || aOptions.m_rate <= 0 ||
      aOptions.m_reads + aOptions.m_orders + aOptions.m_uploads == 0) {
    return MakeError(
      TestingErrc::Malformed,
      "caller options: need entries, a positive rate and a nonzero weight of a kind");
  }
  auto records = RecordFile::Open(aOptions.m_recordFile);
  if (!records) {
    return records.GetError();
  }
  return std::unique_ptr<CallerLoad>(new CallerLoad(aOptions, std::move(*records)));
}

Json::Value CallerLoad::Run()
{
  const auto started = Clock::now();
  m_arrivalsEnd = started + m_options.m_duration;
  m_nextArrival = started;
  while (true) {
    const auto now = Clock::now();
    StartDueRequests(now);
    StartWaitingAttempts(now);
    m_transfers->Perform([this](std::unique_ptr<CallerRequest> aRequest, CURLcode aCode) {
      FinishAttempt(std::move(aRequest), static_cast<int>(aCode));
    });
    const bool done = now >= m_arrivalsEnd || m_sent >= m_options.m_maxRequests;
    if (done && m_transfers->size() == 0 && m_waiting.empty()) {
      break;
    }
    auto next = now + kMaxPollTime;
    if (!done) {
      next = std::min(next, m_nextArrival);
    }
    if (!m_waiting.empty()) {
      next = std::min(next, m_waiting.begin()->first);
    }
    const auto wait = duration_cast<milliseconds>(next - Clock::now());
    m_transfers->Poll(std::max(wait, milliseconds{ 0 }));
  }
  return MakeSummary(Clock::now() - started);
}

void CallerLoad::StartDueRequests(Clock::time_point aNow)
{
  std::exponential_distribution<double> interval(m_options.m_rate);
  while (m_nextArrival <= aNow && m_nextArrival < m_arrivalsEnd &&
         m_sent < m_options.m_maxRequests) {
    m_nextArrival +=
      duration_cast<Clock::duration>(std::chrono::duration<double>(interval(m_random)));
    std::unique_ptr<CallerRequest> request = MakeRequest();
    ++m_sent;
    if (m_transfers->size() + m_waiting.size() >= m_options.m_maxInFlight) {
      ++m_overflow;
      continue;
    }
    StartAttempt(std::move(request));
  }
}

void CallerLoad::StartWaitingAttempts(Clock::time_point aNow)
{
  while (!m_waiting.empty() && m_waiting.begin()->first <= aNow) {
    auto node = m_waiting.extract(m_waiting.begin());
    StartAttempt(std::move(node.mapped()));
  }
}

void CallerLoad::ScheduleAttempt(std::unique_ptr<CallerRequest> aRequest, Clock::time_point aUntil)
{
  m_waiting.emplace(aUntil, std::move(aRequest));
}

void CallerLoad::StartAttempt(std::unique_ptr<CallerRequest> aRequest)
{
  const auto now = Clock::now();
  if (aRequest->Expired(now)) {
    FinishRequest(std::move(aRequest));
    return;
  }
  const std::optional<LookupResponse> lookup = m_lookupCache->Current();
  if (!lookup) {
    const auto until = std::min(now + kLookupRetryDelay, aRequest->Deadline());
    ScheduleAttempt(std::move(aRequest), until);
    return;
  }
  ++m_attempts;
  CURL* handle = aRequest->PrepareAttempt(*lookup);
  m_transfers->Add(handle, std::move(aRequest));
}

void CallerLoad::FinishAttempt(std::unique_ptr<CallerRequest> aRequest, int aCurlCode)
{
  aRequest->FinishAttempt(static_cast<CURLcode>(aCurlCode));
  m_records->Append(aRequest->Record());
  ++m_integrity[IntegrityName(aRequest->LastIntegrity())];
  const auto now = Clock::now();
  const bool canRetry = aRequest->LastOutcome() == Outcome::NotRun && !aRequest->IsResend() &&
                        aRequest->Attempts() <= m_options.m_retries;
  if (canRetry && !aRequest->Expired(now + m_options.m_retryDelay)) {
    aRequest->RenewKey();
    ScheduleAttempt(std::move(aRequest), now + m_options.m_retryDelay);
    return;
  }
  FinishRequest(std::move(aRequest));
}

void CallerLoad::FinishRequest(std::unique_ptr<CallerRequest> aRequest)
{
  if (aRequest->IsResend()) {
    ++m_outcomes[fmt::format("resend-{}", OutcomeName(aRequest->LastOutcome()))];
    return;
  }
  ++m_outcomes[OutcomeName(aRequest->LastOutcome())];
  if (aRequest->LastOutcome() == Outcome::Completed) {
    m_latency.Record(aRequest->Latency(Clock::now()));
    m_completedBytes += aRequest->ReceivedBytes();
  }
  const bool sentOrder = aRequest->Kind() == RequestKind::Order && aRequest->Attempts() > 0;
  if (sentOrder && DrawChance(m_options.m_resendShare)) {
    aRequest->MarkResend();
    StartAttempt(std::move(aRequest));
  }
}

std::unique_ptr<CallerRequest> CallerLoad::MakeRequest()
{
  const RequestKind kind = DrawKind();
  std::string id = fmt::format("{}-{}-{}", m_options.m_name, m_options.m_seed, m_sent);
  return std::make_unique<CallerRequest>(
    m_options, kind, std::move(id), DrawChance(m_options.m_crashShare));
}

RequestKind CallerLoad::DrawKind()
{
  const unsigned total = m_options.m_reads + m_options.m_orders + m_options.m_uploads;
  const unsigned choice = std::uniform_int_distribution<unsigned>(0, total - 1)(m_random);
  if (choice < m_options.m_reads) {
    return RequestKind::Read;
  }
  return choice < m_options.m_reads + m_options.m_orders ? RequestKind::Order : RequestKind::Upload;
}

bool CallerLoad::DrawChance(double aProbability)
{
  return aProbability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < aProbability;
}

Json::Value CallerLoad::MakeSummary(std::chrono::duration<double> aElapsed) const
{
  Json::Value summary;
  summary["requests"] = Json::UInt64{ m_sent };
  summary["attempts"] = Json::UInt64{ m_attempts };
  summary["overflow"] = Json::UInt64{ m_overflow };
  summary["outcomes"] = Json::objectValue;
  for (const auto& [name, count] : m_outcomes) {
    summary["outcomes"][name] = Json::UInt64{ count };
  }
  summary["integrity"] = Json::objectValue;
  for (const auto& [name, count] : m_integrity) {
    summary["integrity"][name] = Json::UInt64{ count };
  }
  summary["latency"] = m_latency.ToJson();
  summary["elapsed_s"] = aElapsed.count();
  summary["goodput_requests_s"] = static_cast<double>(m_latency.Count()) / aElapsed.count();
  summary["goodput_bytes_s"] = static_cast<double>(m_completedBytes) / aElapsed.count();
  summary["lookups"] = Json::UInt64{ m_lookupCache->Lookups() };
  summary["lookup_failures"] = Json::UInt64{ m_lookupCache->Failures() };
  return summary;
}

} // namespace jaylane::testing
