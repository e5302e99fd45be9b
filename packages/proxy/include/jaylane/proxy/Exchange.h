#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/proxy/HttpHead.h"

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace jaylane::proxy {

/// One request of a caller and its response, shared by the caller's connection and the
/// attempt at an upstream. Bodies pass through bounded buffers; a side that finds its
/// buffer full or empty is suspended and woken by the other. Thread safe.
class Exchange
{
public:
  /// Size of each buffer between the two sides.
  static constexpr std::size_t kBufferBytes = 256 * 1024;
  /// The start of an upload that is kept, so that it can be sent again.
  static constexpr std::size_t kReplayBytes = 64 * 1024;

  enum class ReadState
  {
    Data,
    Pending,
    End,
    Failed,
  };

  struct ReadResult
  {
    ReadState m_state = ReadState::Pending;
    std::size_t m_size = 0;
  };

  /// @param aHead the caller's request.
  /// @param aReceivedAt when its head was received.
  Exchange(RequestHead aHead, base::MonotonicTime aReceivedAt);

  const RequestHead& Request() const { return m_request; }
  base::MonotonicTime ReceivedAt() const { return m_receivedAt; }

  /// @name Caller side
  /// @{

  /// @param aResume continues a connection that was suspended by one of the calls below.
  void SetResumeCaller(std::function<void()> aResume);

  /// Takes as much of the upload as there is room for.
  /// @param aData bytes received from the caller.
  /// @param aSuspend called if none was taken, before the other side can resume.
  /// @return number of bytes taken.
  std::size_t OfferUpload(std::string_view aData, const std::function<void()>& aSuspend);

  /// The whole upload was offered.
  void FinishUpload();

  /// @return true once the upload is complete or its replay buffer is full.
  bool UploadBuffered() const;

  /// @param aSuspend called if there is no response yet.
  /// @return the response head, or nothing if the connection was suspended.
  std::optional<ResponseHead> AwaitResponse(const std::function<void()>& aSuspend);

  /// @param aTarget receives bytes of the response body.
  /// @param aSize room there.
  /// @param aSuspend called if the result is Pending.
  ReadResult ReadDownload(char* aTarget, std::size_t aSize, const std::function<void()>& aSuspend);

  /// The caller's connection ended before the response was sent in full.
  void AbortByCaller();
  /// @}

  /// @name Upstream side
  /// @{

  /// @param aWake called when an upload or download that was found Pending can go on.
  void SetWakeTransport(std::function<void()> aWake);

  /// @param aOffset position in the upload.
  /// @param aTarget receives the bytes from there on.
  /// @param aSize room there.
  ReadResult ReadUpload(std::uint64_t aOffset, char* aTarget, std::size_t aSize);

  /// @return false once bytes beyond the replay buffer were handed out.
  bool CanReplay() const;

  /// @return length of the upload if it is complete or declared by the caller.
  std::optional<std::uint64_t> UploadLength() const;

  /// @return the buffered start of the upload.
  std::string UploadPrefix() const;

  /// Makes the response head final. Only the first call has an effect.
  /// @return false if there was a response before.
  bool CommitResponse(ResponseHead aHead);

  /// @param aData bytes of the response body; taken whole or not at all.
  /// @return false if there is no room yet; the transport is woken later.
  bool WriteDownload(std::string_view aData);

  /// @param aComplete false breaks the caller's connection, so that it cannot take the part
  ///   that was sent for the whole.
  void FinishDownload(bool aComplete);

  /// Responds with a small body, unless there was a response before.
  /// @return false if there was a response before.
  bool Respond(ResponseHead aHead, std::string_view aBody);

  bool HasResponse() const;
  bool CallerGone() const;
  /// @}

private:
  void WakeCallerLocked();
  void WakeTransportLocked();
  ReadResult SuspendCallerLocked(const std::function<void()>& aSuspend);

  const RequestHead m_request;
  const base::MonotonicTime m_receivedAt;

  mutable std::mutex m_mutex;
  std::function<void()> m_resumeCaller;
  std::function<void()> m_wakeTransport;
  bool m_callerSuspended = false;
  bool m_transportWaiting = false;

  std::string m_replay;
  boost::circular_buffer<char> m_upload;
  std::uint64_t m_uploadRead = 0;
  std::uint64_t m_uploadReceived = 0;
  bool m_uploadFinished = false;
  bool m_callerGone = false;

  std::optional<ResponseHead> m_response;
  boost::circular_buffer<char> m_download;
  bool m_downloadFinished = false;
  bool m_downloadComplete = false;
};

} // namespace jaylane::proxy
