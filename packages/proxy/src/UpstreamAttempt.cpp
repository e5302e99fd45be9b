#include "UpstreamAttempt.h"

#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace jaylane::proxy::detail {

namespace {

// Size of libcurl's buffer for each direction.
constexpr long kBufferBytes = 64 * 1024;

/// Bytes of the head of a response, of interim ones and of the trailer together.
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

bool HasNoBody(const std::string& aMethod, unsigned aStatus)
{
  return aMethod == "HEAD" || aStatus == 204 || aStatus == 304 || (aStatus >= 100 && aStatus < 200);
}

std::string_view Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r\n") - first + 1);
}

} // namespace

UpstreamAttempt::UpstreamAttempt(std::shared_ptr<Exchange> aExchange,
                                 AttemptSpec aSpec,
                                 UpstreamTransport::Done aDone,
                                 const base::Clock& aClock)
  : m_exchange(std::move(aExchange))
  , m_spec(std::move(aSpec))
  , m_done(std::move(aDone))
  , m_clock(aClock)
  , m_startedAt(aClock.Monotonic())
{
}

UpstreamAttempt::~UpstreamAttempt()
{
  if (m_easy) {
    curl_easy_cleanup(m_easy);
  }
  curl_slist_free_all(m_headerLines);
}

std::chrono::milliseconds UpstreamAttempt::Remaining() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(m_spec.m_deadline -
                                                               m_clock.Monotonic());
}

bool UpstreamAttempt::Begin(std::vector<CURL*>& aThrottled)
{
  m_throttled = &aThrottled;
  const auto remaining = Remaining();
  if (remaining <= std::chrono::milliseconds{ 0 }) {
    return false;
  }
  m_easy = curl_easy_init();
  SetRequestOptions(remaining);
  SetUploadOptions();
  return true;
}

void UpstreamAttempt::SetRequestOptions(std::chrono::milliseconds aTimeout)
{
  const std::string url = fmt::format("http://{}{}", m_spec.m_address.ToString(), m_spec.m_target);
  curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
  curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_easy, CURLOPT_BUFFERSIZE, kBufferBytes);
  curl_easy_setopt(m_easy, CURLOPT_UPLOAD_BUFFERSIZE, kBufferBytes);
  curl_easy_setopt(m_easy, CURLOPT_ERRORBUFFER, m_errorText.data());
  curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(aTimeout.count()));
  const auto connectTimeout = std::min(aTimeout, m_spec.m_connectTimeout);
  curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
  if (!m_spec.m_reuseConnection) {
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &OnPreRequest);
  curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &OnWrite);
  curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);

  // An empty Expect suppresses the wait for a 100-continue before an upload.
  m_headerLines = curl_slist_append(m_headerLines, "Expect:");
  for (const Header& header : m_spec.m_headers.Fields()) {
    // libcurl sends a field with an empty value if it is given as "Name;".
    const std::string line = header.m_value.empty()
                               ? header.m_name + ";"
                               : fmt::format("{}: {}", header.m_name, header.m_value);
    m_headerLines = curl_slist_append(m_headerLines, line.c_str());
  }
  curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headerLines);
}

void UpstreamAttempt::SetUploadOptions()
{
  const std::string& method = m_exchange->Request().m_method;
  const auto length = m_exchange->UploadLength();
  const bool mayLackBody = method == "GET" || method == "HEAD" || method == "DELETE";
  if (mayLackBody && length.value_or(0) == 0) {
    curl_easy_setopt(m_easy, method == "HEAD" ? CURLOPT_NOBODY : CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt(m_easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(m_easy, CURLOPT_READFUNCTION, &OnRead);
    curl_easy_setopt(m_easy, CURLOPT_READDATA, this);
    const auto size = length ? static_cast<curl_off_t>(*length) : curl_off_t{ -1 };
    curl_easy_setopt(m_easy, CURLOPT_INFILESIZE_LARGE, size);
  }
  if (method != "HEAD") {
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  }
}

int UpstreamAttempt::OnPreRequest(void* aSelf, char*, char*, int, int)
{
  auto* self = static_cast<UpstreamAttempt*>(aSelf);
  // The process may have been paused since Begin(), so the deadline and leases may have expired.
  self->m_sendAllowed = self->Remaining() > std::chrono::milliseconds{ 0 } &&
                        (!self->m_spec.m_maySend || self->m_spec.m_maySend());
  return self->m_sendAllowed ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

std::size_t UpstreamAttempt::TakeAllowance(std::size_t aReady)
{
  if (!m_spec.m_uploadAllowance) {
    return aReady;
  }
  if (m_allowance == 0) {
    m_allowance = m_spec.m_uploadAllowance(aReady);
  }
  if (m_allowance == 0) {
    m_throttled->push_back(m_easy);
  }
  return std::min(m_allowance, aReady);
}

size_t UpstreamAttempt::OnRead(char* aTarget, size_t aSize, size_t aCount, void* aSelf)
{
  auto* self = static_cast<UpstreamAttempt*>(aSelf);
  const std::size_t allowed = self->TakeAllowance(aSize * aCount);
  if (allowed == 0) {
    return CURL_READFUNC_PAUSE;
  }
  const auto read = self->m_exchange->ReadUpload(self->m_uploadOffset, aTarget, allowed);
  switch (read.m_state) {
    case Exchange::ReadState::Data:
      self->m_uploadOffset += read.m_size;
      self->m_allowance -= std::min(self->m_allowance, read.m_size);
      return read.m_size;
    case Exchange::ReadState::Pending:
      return CURL_READFUNC_PAUSE;
    case Exchange::ReadState::End:
      return 0;
    case Exchange::ReadState::Failed:
      break;
  }
  self->m_callerGone = true;
  return CURL_READFUNC_ABORT;
}

void UpstreamAttempt::ParseStatusLine(std::string_view aLine)
{
  m_head = ResponseHead{};
  m_chunked = false;
  const auto space = aLine.find(' ');
  if (space != std::string_view::npos) {
    std::from_chars(aLine.data() + space + 1, aLine.data() + aLine.size(), m_head.m_status);
  }
}

size_t UpstreamAttempt::HandleHeaderLine(std::string_view aLine)
{
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return aLine.size();
  }
  const auto name = Trim(aLine.substr(0, colon));
  const auto value = Trim(aLine.substr(colon + 1));
  if (EqualsIgnoringCase(name, "content-length")) {
    std::uint64_t length = 0;
    std::from_chars(value.data(), value.data() + value.size(), length);
    m_head.m_contentLength = length;
  }
  m_chunked |=
    EqualsIgnoringCase(name, "transfer-encoding") && EqualsIgnoringCase(value, "chunked");
  if (!IsHopByHop(name)) {
    m_head.m_headers.Add(std::string(name), std::string(value));
  }
  return aLine.size();
}

size_t UpstreamAttempt::OnHeader(char* aData, size_t aSize, size_t aCount, void* aSelf)
{
  auto* self = static_cast<UpstreamAttempt*>(aSelf);
  const std::string_view line(aData, aSize * aCount);
  self->m_headerBytes += line.size();
  if (self->m_headerBytes > kMaxHeaderBytes) {
    return 0; // Ends the transfer; an upstream may send lines without end.
  }
  if (line.substr(0, 5) == "HTTP/") {
    self->ParseStatusLine(line);
    return line.size();
  }
  const bool endOfHead = Trim(line).empty();
  const bool interim = self->m_head.m_status < 200;
  if (endOfHead && !interim && !self->m_committed && !self->CommitHead()) {
    return 0;
  }
  return endOfHead ? line.size() : self->HandleHeaderLine(line);
}

bool UpstreamAttempt::CommitHead()
{
  const bool noBody = HasNoBody(m_exchange->Request().m_method, m_head.m_status);
  if (noBody && !m_head.m_contentLength) {
    m_head.m_contentLength = 0;
  }
  // If only the end of the connection marks the end of the body, a truncated response cannot be
  // told from a complete one.
  const bool framed = m_chunked || m_head.m_contentLength.has_value();
  m_disposition = framed ? ResponseDisposition::Forward : ResponseDisposition::Invalid;
  if (framed && m_spec.m_onHead) {
    m_disposition = m_spec.m_onHead(m_head);
  }
  if (m_disposition == ResponseDisposition::Forward) {
    m_committed = m_exchange->CommitResponse(m_head);
    return m_committed;
  }
  return m_disposition == ResponseDisposition::Rejected;
}

size_t UpstreamAttempt::OnWrite(char* aData, size_t aSize, size_t aCount, void* aSelf)
{
  auto* self = static_cast<UpstreamAttempt*>(aSelf);
  const size_t size = aSize * aCount;
  if (self->m_disposition == ResponseDisposition::Rejected) {
    return size;
  }
  if (!self->m_committed) {
    return 0;
  }
  return self->m_exchange->WriteDownload({ aData, size }) ? size : CURL_WRITEFUNC_PAUSE;
}

bool UpstreamAttempt::SentNothing() const
{
  long sent = 0;
  curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &sent);
  return !m_sendAllowed || sent == 0;
}

AttemptResult UpstreamAttempt::Classify(CURLcode aCode) const
{
  if (m_disposition == ResponseDisposition::Rejected) {
    return AttemptResult::Rejected;
  }
  if (m_disposition == ResponseDisposition::Invalid) {
    return AttemptResult::InvalidResponse;
  }
  if (aCode == CURLE_OK && m_committed) {
    return AttemptResult::Completed;
  }
  if (m_callerGone || m_exchange->CallerGone()) {
    return SentNothing() ? AttemptResult::NotSent : AttemptResult::CallerGone;
  }
  if (m_committed) {
    return AttemptResult::Truncated;
  }
  if (SentNothing()) {
    return AttemptResult::NotSent;
  }
  return aCode == CURLE_OPERATION_TIMEDOUT ? AttemptResult::TimedOut
                                           : AttemptResult::ConnectionLost;
}

void UpstreamAttempt::Finish(CURLcode aCode)
{
  AttemptOutcome outcome;
  outcome.m_result = Classify(aCode);
  outcome.m_status = m_head.m_status;
  outcome.m_duration = m_clock.Monotonic() - m_startedAt;
  outcome.m_connectFailed = outcome.m_result == AttemptResult::NotSent &&
                            (aCode == CURLE_COULDNT_CONNECT || aCode == CURLE_OPERATION_TIMEDOUT);
  outcome.m_detail = m_errorText[0] ? m_errorText.data() : curl_easy_strerror(aCode);
  m_exchange->SetWakeTransport(nullptr);
  if (m_committed) {
    m_exchange->FinishDownload(outcome.m_result == AttemptResult::Completed);
  }
  m_done(outcome);
}

void UpstreamAttempt::ReportNotSent(std::string aDetail)
{
  AttemptOutcome outcome;
  outcome.m_detail = std::move(aDetail);
  m_exchange->SetWakeTransport(nullptr);
  m_done(outcome);
}

} // namespace jaylane::proxy::detail
