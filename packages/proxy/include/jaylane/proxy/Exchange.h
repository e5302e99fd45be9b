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

/// One request of a caller and its response, shared by the caller's connection and the attempt at
/// an upstream. Bodies are streamed through bounded buffers; a side that finds its buffer full or
/// empty is suspended until the other side makes progress. Thread safe.
class Exchange
{
public:
  /// Size of each buffer between the two sides.
  static constexpr std::size_t kBufferBytes = 256 * 1024;
  /// Length of the start of an upload that is kept, so that a retry can send it again.
  static constexpr std::size_t kReplayBytes = 64 * 1024;

  enum class ReadState
  {
    /// Bytes were read.
    Data,
    /// No byte is available yet.
    Pending,
    /// The body is complete.
    End,
    /// The other side ended before the body was complete.
    Failed,
  };

  struct ReadResult
  {
    ReadState m_state = ReadState::Pending;
    /// Number of bytes read.
    std::size_t m_size = 0;
  };

  /// @param aHead the caller's request.
  /// @param aReceivedAt time from which its deadline counts.
  Exchange(RequestHead aHead, base::MonotonicTime aReceivedAt);

  const RequestHead& Request() const { return m_request; }
  base::MonotonicTime ReceivedAt() const { return m_receivedAt; }

  /// @name Caller side
  /// @{

  /// @param aResume resumes the connection after one of the calls below has suspended it.
  void SetResumeCaller(std::function<void()> aResume);

  /// Buffers as much of the upload as there is room for.
  /// @param aData bytes received from the caller.
  /// @param aSuspend called if no byte was buffered, before the other side can resume.
  /// @return number of bytes buffered.
  std::size_t OfferUpload(std::string_view aData, const std::function<void()>& aSuspend);

  /// Marks the upload as complete.
  void FinishUpload();

  /// @return true once the upload is complete or its replay buffer is full.
  bool UploadBuffered() const;

  /// Returns the response head or suspends the connection; does not block.
  /// @param aSuspend called if there is no response yet.
  /// @return the response head, or nothing if the connection was suspended.
  std::optional<ResponseHead> AwaitResponse(const std::function<void()>& aSuspend);

  /// @param aTarget receives bytes of the response body.
  /// @param aSize size of the target.
  /// @param aSuspend called if the result is Pending.
  ReadResult ReadDownload(char* aTarget, std::size_t aSize, const std::function<void()>& aSuspend);

  /// Records that the caller's connection ended before the response was sent in full.
  void AbortByCaller();
  /// @}

  /// @name Upstream side
  /// @{

  /// @param aWake called when a pending read of the upload or write of the response can continue.
  void SetWakeTransport(std::function<void()> aWake);

  /// @param aOffset position in the upload.
  /// @param aTarget receives the bytes at that position.
  /// @param aSize size of the target.
  ReadResult ReadUpload(std::uint64_t aOffset, char* aTarget, std::size_t aSize);

  /// @return whether the upload can be sent again: false once bytes beyond the replay buffer were
  ///   read.
  bool CanReplay() const;

  /// @return length of the upload if it is complete or declared by the caller.
  std::optional<std::uint64_t> UploadLength() const;

  /// @return the buffered start of the upload.
  std::string UploadPrefix() const;

  /// Sets the response head. Only the first call has an effect.
  /// @return false if there was a response before.
  bool CommitResponse(ResponseHead aHead);

  /// @param aData bytes of the response body; buffered as a whole or not at all.
  /// @return false if there is no room; the transport is woken when there is.
  bool WriteDownload(std::string_view aData);

  /// Ends the response body.
  /// @param aComplete false aborts the caller's connection, so that the caller cannot mistake a
  ///   partial response for a complete one.
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

  /// The first kReplayBytes of the upload; the rest passes through m_upload.
  std::string m_replay;
  boost::circular_buffer<char> m_upload;
  /// Bytes read from m_upload.
  std::uint64_t m_uploadRead = 0;
  /// Bytes received in all.
  std::uint64_t m_uploadReceived = 0;
  bool m_uploadFinished = false;
  bool m_callerGone = false;

  std::optional<ResponseHead> m_response;
  boost::circular_buffer<char> m_download;
  bool m_downloadFinished = false;
  bool m_downloadComplete = false;
};

} // namespace jaylane::proxy
