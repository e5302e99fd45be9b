#include "jaylane/proxy/Exchange.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstring>
#include <utility>

namespace jaylane::proxy {

namespace {

// Buffers start small because most bodies are small and thousands of requests may be in flight.
constexpr std::size_t kInitialBufferBytes = 4 * 1024;

/// Grows a buffer to hold aSize bytes, at most Exchange::kBufferBytes.
void Reserve(boost::circular_buffer<char>& aBuffer, std::size_t aSize)
{
  if (aSize > aBuffer.capacity()) {
    const auto wanted = std::max({ aSize, 2 * aBuffer.capacity(), kInitialBufferBytes });
    aBuffer.set_capacity(std::min(wanted, Exchange::kBufferBytes));
  }
}

std::size_t Append(boost::circular_buffer<char>& aBuffer, std::string_view aData)
{
  Reserve(aBuffer, std::min(aBuffer.size() + aData.size(), Exchange::kBufferBytes));
  const std::size_t size = std::min(aBuffer.reserve(), aData.size());
  aBuffer.insert(aBuffer.end(), aData.begin(), aData.begin() + static_cast<std::ptrdiff_t>(size));
  return size;
}

std::size_t Extract(boost::circular_buffer<char>& aBuffer, char* aTarget, std::size_t aSize)
{
  const auto first = aBuffer.array_one();
  const auto second = aBuffer.array_two();
  const std::size_t fromFirst = std::min(first.second, aSize);
  const std::size_t fromSecond = std::min(second.second, aSize - fromFirst);
  if (fromFirst > 0) {
    std::memcpy(aTarget, first.first, fromFirst);
  }
  if (fromSecond > 0) {
    std::memcpy(aTarget + fromFirst, second.first, fromSecond);
  }
  aBuffer.erase_begin(fromFirst + fromSecond);
  return fromFirst + fromSecond;
}

std::optional<std::uint64_t> DeclaredLength(const RequestHead& aHead)
{
  const auto text = aHead.m_headers.Find("content-length");
  std::uint64_t length = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc{}) {
    return std::nullopt;
  }
  return length;
}

} // namespace

Exchange::Exchange(RequestHead aHead, base::MonotonicTime aReceivedAt)
  : m_request(std::move(aHead))
  , m_receivedAt(aReceivedAt)
{
}

void Exchange::SetResumeCaller(std::function<void()> aResume)
{
  std::lock_guard lock(m_mutex);
  m_resumeCaller = std::move(aResume);
}

void Exchange::SetWakeTransport(std::function<void()> aWake)
{
  std::lock_guard lock(m_mutex);
  m_wakeTransport = std::move(aWake);
  m_transportWaiting = false;
}

void Exchange::WakeCallerLocked()
{
  if (m_callerSuspended && m_resumeCaller) {
    m_callerSuspended = false;
    m_resumeCaller();
  }
}

void Exchange::WakeTransportLocked()
{
  if (m_transportWaiting && m_wakeTransport) {
    m_transportWaiting = false;
    m_wakeTransport();
  }
}

Exchange::ReadResult Exchange::SuspendCallerLocked(const std::function<void()>& aSuspend)
{
  m_callerSuspended = true;
  // Called under the lock, so that the other side cannot resume the connection before.
  aSuspend();
  return { ReadState::Pending, 0 };
}

std::size_t Exchange::OfferUpload(std::string_view aData, const std::function<void()>& aSuspend)
{
  std::lock_guard lock(m_mutex);
  // The rest of an upload is not used once the response is complete. It is still received and
  // dropped, because closing a connection with unread bytes resets it, and the caller may lose the
  // response.
  if (m_downloadFinished) {
    return aData.size();
  }
  std::size_t taken = 0;
  if (m_replay.size() < kReplayBytes) {
    taken = std::min(kReplayBytes - m_replay.size(), aData.size());
    m_replay.append(aData.substr(0, taken));
  }
  taken += Append(m_upload, aData.substr(taken));
  m_uploadReceived += taken;
  if (taken == 0) {
    SuspendCallerLocked(aSuspend);
  } else {
    WakeTransportLocked();
  }
  return taken;
}

void Exchange::FinishUpload()
{
  std::lock_guard lock(m_mutex);
  m_uploadFinished = true;
  WakeTransportLocked();
}

bool Exchange::UploadBuffered() const
{
  std::lock_guard lock(m_mutex);
  return m_uploadFinished || m_replay.size() == kReplayBytes;
}

std::optional<ResponseHead> Exchange::AwaitResponse(const std::function<void()>& aSuspend)
{
  std::lock_guard lock(m_mutex);
  if (!m_response) {
    SuspendCallerLocked(aSuspend);
  }
  return m_response;
}

Exchange::ReadResult Exchange::ReadDownload(char* aTarget,
                                            std::size_t aSize,
                                            const std::function<void()>& aSuspend)
{
  std::lock_guard lock(m_mutex);
  if (!m_download.empty()) {
    const std::size_t size = Extract(m_download, aTarget, aSize);
    WakeTransportLocked();
    return { ReadState::Data, size };
  }
  if (m_downloadFinished) {
    return { m_downloadComplete ? ReadState::End : ReadState::Failed, 0 };
  }
  return SuspendCallerLocked(aSuspend);
}

void Exchange::AbortByCaller()
{
  std::lock_guard lock(m_mutex);
  m_callerGone = true;
  m_resumeCaller = nullptr;
  m_transportWaiting = true;
  WakeTransportLocked();
}

Exchange::ReadResult Exchange::ReadUpload(std::uint64_t aOffset, char* aTarget, std::size_t aSize)
{
  std::lock_guard lock(m_mutex);
  if (aOffset < m_replay.size()) {
    const auto offset = static_cast<std::size_t>(aOffset);
    const std::size_t size = std::min(m_replay.size() - offset, aSize);
    std::memcpy(aTarget, m_replay.data() + offset, size);
    return { ReadState::Data, size };
  }
  assert(aOffset == m_replay.size() + m_uploadRead);
  if (!m_upload.empty()) {
    const std::size_t size = Extract(m_upload, aTarget, aSize);
    m_uploadRead += size;
    WakeCallerLocked();
    return { ReadState::Data, size };
  }
  if (m_uploadFinished) {
    return { ReadState::End, 0 };
  }
  if (m_callerGone) {
    return { ReadState::Failed, 0 };
  }
  m_transportWaiting = true;
  return { ReadState::Pending, 0 };
}

bool Exchange::CanReplay() const
{
  std::lock_guard lock(m_mutex);
  return m_uploadRead == 0;
}

std::optional<std::uint64_t> Exchange::UploadLength() const
{
  std::lock_guard lock(m_mutex);
  if (m_uploadFinished) {
    return m_uploadReceived;
  }
  return DeclaredLength(m_request);
}

std::string Exchange::UploadPrefix() const
{
  std::lock_guard lock(m_mutex);
  return m_replay;
}

bool Exchange::CommitResponse(ResponseHead aHead)
{
  std::lock_guard lock(m_mutex);
  if (m_response) {
    return false;
  }
  m_response = std::move(aHead);
  WakeCallerLocked();
  return true;
}

bool Exchange::WriteDownload(std::string_view aData)
{
  std::lock_guard lock(m_mutex);
  assert(m_response && aData.size() <= kBufferBytes);
  if (kBufferBytes - m_download.size() < aData.size()) {
    m_transportWaiting = true;
    return false;
  }
  Append(m_download, aData);
  WakeCallerLocked();
  return true;
}

void Exchange::FinishDownload(bool aComplete)
{
  std::lock_guard lock(m_mutex);
  m_downloadFinished = true;
  m_downloadComplete = aComplete;
  WakeCallerLocked();
}

bool Exchange::Respond(ResponseHead aHead, std::string_view aBody)
{
  aHead.m_contentLength = aBody.size();
  std::lock_guard lock(m_mutex);
  if (m_response) {
    return false;
  }
  m_response = std::move(aHead);
  Append(m_download, aBody);
  m_downloadFinished = true;
  m_downloadComplete = true;
  WakeCallerLocked();
  return true;
}

bool Exchange::HasResponse() const
{
  std::lock_guard lock(m_mutex);
  return m_response.has_value();
}

bool Exchange::CallerGone() const
{
  std::lock_guard lock(m_mutex);
  return m_callerGone;
}

} // namespace jaylane::proxy
