#include "CallerRequest.h"

#include "jaylane/testing/RecordFile.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <string_view>

namespace jaylane::testing {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Added to the deadline for the transfer timeout: an entry VM responds at the deadline at the
/// latest, and the response still has to arrive.
constexpr milliseconds kResponseGrace{ 1000 };

/// @param aName header name in lower case.
/// @return the trimmed value if the line is of this header.
std::optional<std::string> HeaderValue(std::string_view aLine, std::string_view aName)
{
  if (aLine.size() <= aName.size() || aLine[aName.size()] != ':') {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < aName.size(); ++i) {
    if (std::tolower(static_cast<unsigned char>(aLine[i])) != aName[i]) {
      return std::nullopt;
    }
  }
  std::string_view value = aLine.substr(aName.size() + 1);
  const auto first = value.find_first_not_of(' ');
  const auto last = value.find_last_not_of("\r\n ");
  if (first == std::string_view::npos || last == std::string_view::npos) {
    return std::string();
  }
  return std::string(value.substr(first, last - first + 1));
}

} // namespace

const char* OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Completed:
      return "completed";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

const char* IntegrityName(Integrity aIntegrity)
{
  switch (aIntegrity) {
    case Integrity::None:
      return "none";
    case Integrity::Whole:
      return "whole";
    case Integrity::Cut:
      return "cut";
    case Integrity::Mixed:
      return "mixed";
  }
  return "none";
}

CallerRequest::CallerRequest(const CallerOptions& aOptions,
                             RequestKind aKind,
                             std::string aId,
                             bool aCrashUpstream)
  : m_options(aOptions)
  , m_kind(aKind)
  , m_baseId(std::move(aId))
  , m_id(m_baseId)
  , m_crashUpstream(aCrashUpstream)
  , m_created(Clock::now())
  , m_deadline(m_created + aOptions.m_deadline)
  , m_handle(nullptr, &curl_easy_cleanup)
  , m_headers(nullptr, &curl_slist_free_all)
  , m_bodyHash(XXH64_createState(), &XXH64_freeState)
{
}

CallerRequest::~CallerRequest() = default;

void CallerRequest::RenewKey()
{
  if (m_kind == RequestKind::Order) {
    m_id = fmt::format("{}-{}", m_baseId, m_attempts);
    m_hasScope = false;
  }
}

std::string CallerRequest::Path() const
{
  return fmt::format("/{}/{}", RequestKindName(m_kind), m_id);
}

std::string CallerRequest::Method() const
{
  switch (m_kind) {
    case RequestKind::Read:
      return "GET";
    case RequestKind::Order:
      return "POST";
    case RequestKind::Upload:
      return "PUT";
  }
  return "GET";
}

CURL* CallerRequest::PrepareAttempt(const LookupResponse& aLookup)
{
  if (m_kind == RequestKind::Order && !m_options.m_claimKeys && !m_hasScope) {
    // The scope is part of the key, so all attempts with the key use the same one.
    m_id = aLookup.m_scope + "." + m_id;
    m_hasScope = true;
  }
  const LookupResponse::Vm& vm = aLookup.m_vms[m_attempts % aLookup.m_vms.size()];
  ++m_attempts;
  m_vm = vm.m_id;
  m_uploaded = m_received = 0;
  m_mismatch = false;
  m_expectedBody.reset();
  m_outcomeHeader.clear();
  m_refusedHeader.clear();
  m_upstreamHeader.clear();
  m_errorHeader.clear();
  XXH64_reset(m_bodyHash.get(), 0);
  m_attemptStarted = Clock::now();
  m_attemptStartedMillis = RecordTimeMillis();

  m_handle.reset(curl_easy_init());
  CURL* handle = m_handle.get();
  const std::string url = fmt::format("http://{}/s/{}{}?bytes={}",
                                      vm.m_address,
                                      m_options.m_service,
                                      Path(),
                                      m_options.m_responseBytes);
  const auto timeout = duration_cast<milliseconds>(m_deadline - m_attemptStarted) + kResponseGrace;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &CallerRequest::OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &CallerRequest::OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
  PrepareHeaders();
  PrepareBody();
  return handle;
}

void CallerRequest::PrepareHeaders()
{
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  const auto add = [&list](const std::string& aLine) {
    list = curl_slist_append(list, aLine.c_str());
  };
  const auto remaining = duration_cast<milliseconds>(m_deadline - m_attemptStarted);
  add(fmt::format("Jaylane-Deadline-Ms: {}", std::max<std::int64_t>(remaining.count(), 0)));
  add(fmt::format("Jaylane-Idempotent: {}", m_kind != RequestKind::Order));
  add("X-Test-Id: " + m_id);
  add(fmt::format("X-Test-Kind: {}", RequestKindName(m_kind)));
  if (m_kind == RequestKind::Order) {
    add("Jaylane-Key: " + m_id);
  }
  if (!m_options.m_callerIp.empty()) {
    add("Jaylane-Caller: " + m_options.m_callerIp);
  }
  if (!m_options.m_origin.empty()) {
    add("X-Test-Origin: " + m_options.m_origin);
  }
  if (m_crashUpstream) {
    add("X-Test-Crash: 1");
  }
  m_headers.reset(list);
  curl_easy_setopt(m_handle.get(), CURLOPT_HTTPHEADER, list);
}

void CallerRequest::PrepareBody()
{
  CURL* handle = m_handle.get();
  if (m_kind != RequestKind::Read) {
    // libcurl resends a request by itself when a reused connection turns out to be closed. Requests
    // with a body use new connections, so that each attempt is sent at most once.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  if (m_kind == RequestKind::Order) {
    m_orderBody = "order " + m_id;
    XXH64_update(m_bodyHash.get(), m_orderBody.data(), m_orderBody.size());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, m_orderBody.data());
    curl_easy_setopt(
      handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_orderBody.size()));
  } else if (m_kind == RequestKind::Upload) {
    curl_easy_setopt(handle, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(handle, CURLOPT_READFUNCTION, &CallerRequest::OnUpload);
    curl_easy_setopt(handle, CURLOPT_READDATA, this);
    curl_easy_setopt(
      handle, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(m_options.m_uploadBytes));
  }
}

std::size_t CallerRequest::OnUpload(char* aBuffer,
                                    std::size_t aSize,
                                    std::size_t aCount,
                                    void* aSelf)
{
  auto& self = *static_cast<CallerRequest*>(aSelf);
  const std::size_t bytes =
    std::min<std::uint64_t>(aSize * aCount, self.m_options.m_uploadBytes - self.m_uploaded);
  const std::uint64_t seed = XXH64(self.m_id.data(), self.m_id.size(), 0);
  for (std::size_t i = 0; i < bytes; ++i) {
    aBuffer[i] = PatternByte(seed, self.m_uploaded + i);
  }
  XXH64_update(self.m_bodyHash.get(), aBuffer, bytes);
  self.m_uploaded += bytes;
  return bytes;
}

std::size_t CallerRequest::OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<CallerRequest*>(aSelf);
  const std::string_view line(aData, aSize * aCount);
  if (auto value = HeaderValue(line, "jaylane-outcome")) {
    self.m_outcomeHeader = std::move(*value);
  } else if (auto refused = HeaderValue(line, "x-refused")) {
    self.m_refusedHeader = std::move(*refused);
  } else if (auto upstream = HeaderValue(line, "jaylane-upstream")) {
    self.m_upstreamHeader = std::move(*upstream);
  } else if (auto error = HeaderValue(line, "jaylane-error")) {
    self.m_errorHeader = std::move(*error);
  }
  return line.size();
}

std::size_t CallerRequest::OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  static_cast<CallerRequest*>(aSelf)->Verify(aData, aSize * aCount);
  return aSize * aCount;
}

void CallerRequest::Verify(const char* aData, std::size_t aBytes)
{
  if (!m_expectedBody) {
    m_expectedBody.emplace(
      Method(), Path(), XXH64_digest(m_bodyHash.get()), m_options.m_responseBytes);
  }
  m_mismatch = m_mismatch || !m_expectedBody->Matches(m_received, aData, aBytes);
  m_received += aBytes;
}

Outcome CallerRequest::Classify(CURLcode aCode) const
{
  if (aCode != CURLE_OK) {
    long sent = 0;
    curl_easy_getinfo(m_handle.get(), CURLINFO_REQUEST_SIZE, &sent);
    return sent == 0 ? Outcome::NotRun : Outcome::Unknown;
  }
  if (!m_outcomeHeader.empty()) {
    return m_outcomeHeader == "completed" ? Outcome::Completed
           : m_outcomeHeader == "not-run" ? Outcome::NotRun
                                          : Outcome::Unknown;
  }
  // Without a Jaylane-Outcome header, the response is of an upstream called directly.
  if (m_status == 200) {
    return Outcome::Completed;
  }
  return m_refusedHeader == "not-run" ? Outcome::NotRun : Outcome::Unknown;
}

void CallerRequest::FinishAttempt(CURLcode aCode)
{
  m_code = aCode;
  m_attemptFinished = Clock::now();
  m_status = 0;
  curl_easy_getinfo(m_handle.get(), CURLINFO_RESPONSE_CODE, &m_status);
  m_outcome = Classify(aCode);
  m_integrity = Integrity::None;
  if (m_status == 200) {
    const bool whole = m_expectedBody && m_received == m_expectedBody->size();
    m_integrity = m_mismatch ? Integrity::Mixed : whole ? Integrity::Whole : Integrity::Cut;
  }
  m_handle.reset();
}

void CallerRequest::MarkResend()
{
  m_resend = true;
  m_created = Clock::now();
  m_deadline = m_created + m_options.m_deadline;
}

Json::Value CallerRequest::Record() const
{
  Json::Value record;
  record["id"] = m_id;
  record["kind"] = RequestKindName(m_kind);
  record["caller"] = m_options.m_name;
  record["origin"] = m_options.m_origin;
  record["service"] = m_options.m_service;
  record["attempt"] = m_attempts;
  record["resend"] = m_resend;
  record["outcome"] = OutcomeName(m_outcome);
  record["integrity"] = IntegrityName(m_integrity);
  record["accepted"] = m_code == CURLE_OK && m_status == 200;
  record["transport"] = static_cast<int>(m_code);
  record["status"] = Json::Int64{ m_status };
  record["error"] = m_errorHeader;
  record["vm"] = m_vm;
  record["upstream"] = m_upstreamHeader;
  record["received"] = Json::UInt64{ m_received };
  record["started_ms"] = m_attemptStartedMillis;
  record["latency_ms"] =
    std::chrono::duration<double, std::milli>(m_attemptFinished - m_attemptStarted).count();
  return record;
}

} // namespace jaylane::testing
